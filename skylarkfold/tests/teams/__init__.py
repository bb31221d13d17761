"""Tests of teams."""
