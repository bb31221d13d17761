"""Results of all measures: their file, pages, plots and comparisons."""

from skylarkfold.report._capacity_page import format_capacity
from skylarkfold.report._comparison import compare
from skylarkfold.report._comparison import Difference
from skylarkfold.report._growth import compare_sizes
from skylarkfold.report._growth import Growth
from skylarkfold.report._journal import compare_entries
from skylarkfold.report._journal import is_entry
from skylarkfold.report._journal import read_entry
from skylarkfold.report._page import format_page
from skylarkfold.report._results import Measured
from skylarkfold.report._results import read_results
from skylarkfold.report._results import Results
from skylarkfold.report._results import write_results
from skylarkfold.report._run import run_measures

__all__ = [
    'Difference',
    'Growth',
    'Measured',
    'Results',
    'compare',
    'compare_entries',
    'compare_sizes',
    'format_capacity',
    'format_page',
    'is_entry',
    'read_entry',
    'read_results',
    'run_measures',
    'write_results',
]
