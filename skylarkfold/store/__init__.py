"""Platform client: conditional writes with rate limits and back-off.

Writes whose answers are lost are resolved by reads, which may be stale.
"""

from skylarkfold.backoff import Backoff
from skylarkfold.store._core import FIRST_CALL_NUMBER
from skylarkfold.store._core import StoreCore
from skylarkfold.store._settings import StoreSettings
from skylarkfold.store._write_outcome import get_version
from skylarkfold.store._write_outcome import resolve_write
from skylarkfold.store._write_outcome import WriteOutcome
from skylarkfold.token_bucket import TokenBucket

__all__ = [
    'Backoff',
    'FIRST_CALL_NUMBER',
    'StoreCore',
    'StoreSettings',
    'TokenBucket',
    'WriteOutcome',
    'get_version',
    'resolve_write',
]
