"""What the platform's store holds, kept up to date on every instance."""

from skylarkfold.relay._call import Answer
from skylarkfold.relay._call import Call
from skylarkfold.relay._call import Status
from skylarkfold.relay._core import RelayCore
from skylarkfold.relay._effect import CallStore
from skylarkfold.relay._effect import Changed
from skylarkfold.relay._effect import Confirmed
from skylarkfold.relay._effect import Stale
from skylarkfold.relay._item import Item
from skylarkfold.relay._settings import RelaySettings

__all__ = [
    'Answer',
    'Call',
    'CallStore',
    'Changed',
    'Confirmed',
    'Item',
    'RelayCore',
    'RelaySettings',
    'Stale',
    'Status',
]
