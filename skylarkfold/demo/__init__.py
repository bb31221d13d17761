"""Demo of the whole system as separate processes on loopback."""

from skylarkfold.demo._run import run

__all__ = ['run']
