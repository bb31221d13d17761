"""Runs the command line as ``python -m skylarkfold``."""

from skylarkfold import cli

if __name__ == '__main__':
    cli.main()
