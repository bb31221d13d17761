"""Measurements of the decisions, each a module of its own."""
