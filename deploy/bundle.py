"""Writes the code of all that a start loads into one file, in a build."""

from skylarkfold import bundle
from skylarkfold.platform import __main__

__main__.load()
bundle.write()
