"""The platform client: budget, back-off, lost answers, older data."""

from skylarkfold.backoff import Backoff
from skylarkfold.budget import CallBudget
from skylarkfold.store._core import FIRST_CALL
from skylarkfold.store._core import StoreCore
from skylarkfold.store._judgement import Finding
from skylarkfold.store._judgement import get_version
from skylarkfold.store._judgement import judge_read
from skylarkfold.store._settings import StoreSettings

__all__ = [
    'FIRST_CALL',
    'Backoff',
    'CallBudget',
    'Finding',
    'StoreCore',
    'StoreSettings',
    'get_version',
    'judge_read',
]
