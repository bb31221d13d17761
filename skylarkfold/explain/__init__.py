"""Stories from the log lines of several instances: a flow's, a fleet's."""

from skylarkfold.explain._clocks import align
from skylarkfold.explain._line import Line
from skylarkfold.explain._line import read_lines
from skylarkfold.explain._story import Story
from skylarkfold.explain._story import tell
from skylarkfold.explain._text import format_story
from skylarkfold.explain._timeline import Entry
from skylarkfold.explain._timeline import format_entries
from skylarkfold.explain._timeline import list_entries

__all__ = [
    'Entry',
    'Line',
    'Story',
    'align',
    'format_entries',
    'format_story',
    'list_entries',
    'read_lines',
    'tell',
]
