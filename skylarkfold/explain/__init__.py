"""Flow histories and fleet timelines from the logs of several instances."""

from skylarkfold.explain._clocks import align_clocks
from skylarkfold.explain._history import build_history
from skylarkfold.explain._history import FlowHistory
from skylarkfold.explain._history_text import format_history
from skylarkfold.explain._line import Line
from skylarkfold.explain._line import read_lines
from skylarkfold.explain._timeline import Entry
from skylarkfold.explain._timeline import format_entries
from skylarkfold.explain._timeline import list_entries

__all__ = [
    'Entry',
    'FlowHistory',
    'Line',
    'align_clocks',
    'build_history',
    'format_entries',
    'format_history',
    'list_entries',
    'read_lines',
]
