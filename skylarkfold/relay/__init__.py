"""Replication of the platform's store to every instance of the fleet.

The package does no I/O: the caller passes in the time and performs the
effects that are returned. It is built for instances that have to start fast;
``distribution`` and ``membership`` serve fleets whose instances hold state
for each other.
"""

from skylarkfold.relay._announcer import Announcer
from skylarkfold.relay._codec import decode_beacon
from skylarkfold.relay._codec import decode_fetch
from skylarkfold.relay._codec import decode_page
from skylarkfold.relay._codec import encode_beacon
from skylarkfold.relay._codec import encode_fetch
from skylarkfold.relay._codec import encode_page
from skylarkfold.relay._codec import measure_values
from skylarkfold.relay._core import RelayCore
from skylarkfold.relay._effect import CallerDemandReported
from skylarkfold.relay._effect import CallStore
from skylarkfold.relay._effect import CancelCall
from skylarkfold.relay._effect import Fetch
from skylarkfold.relay._effect import LastSeenReported
from skylarkfold.relay._effect import LastSeenRequested
from skylarkfold.relay._effect import PeerLoadReported
from skylarkfold.relay._effect import RecordEvent
from skylarkfold.relay._effect import SendBeacon
from skylarkfold.relay._effect import TopicChanged
from skylarkfold.relay._effect import UnreachableReported
from skylarkfold.relay._item import Item
from skylarkfold.relay._messages import Beacon
from skylarkfold.relay._messages import CallerReport
from skylarkfold.relay._messages import Page
from skylarkfold.relay._messages import Position
from skylarkfold.relay._messages import RetainedItem
from skylarkfold.relay._messages import TopicDelta
from skylarkfold.relay._retained import NoRetention
from skylarkfold.relay._retained import RetentionPolicy
from skylarkfold.relay._settings import RelaySettings
from skylarkfold.relay._store_call import Answer
from skylarkfold.relay._store_call import Call
from skylarkfold.relay._store_call import Status
from skylarkfold.relay._store_call import UNUSABLE_STATUSES

__all__ = [
    'Announcer',
    'Answer',
    'Beacon',
    'Call',
    'CallStore',
    'CallerDemandReported',
    'CallerReport',
    'CancelCall',
    'Fetch',
    'Item',
    'LastSeenReported',
    'LastSeenRequested',
    'NoRetention',
    'Page',
    'PeerLoadReported',
    'Position',
    'RecordEvent',
    'RelayCore',
    'RelaySettings',
    'RetainedItem',
    'RetentionPolicy',
    'SendBeacon',
    'Status',
    'UNUSABLE_STATUSES',
    'TopicChanged',
    'TopicDelta',
    'UnreachableReported',
    'decode_beacon',
    'decode_fetch',
    'decode_page',
    'encode_beacon',
    'encode_fetch',
    'encode_page',
    'measure_values',
]
