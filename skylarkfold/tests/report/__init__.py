"""Tests of reports on measures, journal entries and sweeps."""
