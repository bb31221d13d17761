"""One flow's story from the log lines of several instances."""

from skylarkfold.explain._clocks import align
from skylarkfold.explain._line import Line
from skylarkfold.explain._line import read_lines
from skylarkfold.explain._story import Story
from skylarkfold.explain._story import tell
from skylarkfold.explain._text import format_story

__all__ = [
    'Line',
    'Story',
    'align',
    'format_story',
    'read_lines',
    'tell',
]
