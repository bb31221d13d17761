"""Affinity by tokens that packets carry.

The first packet of a flow is placed on an upstream and marked with that
upstream's token. Both ends repeat the token in all later packets, so any
instance can forward them knowing only the list of upstreams: no flow state is
shared between instances.

The modules here perform no I/O: time is an argument, effects are returned.
"""

from skylarkfold.affinity._core import AffinityCore
from skylarkfold.affinity._effect import ConfirmRoutes
from skylarkfold.affinity._effect import Drop
from skylarkfold.affinity._effect import Forward
from skylarkfold.affinity._effect import NotifyPeers
from skylarkfold.affinity._effect import Probe
from skylarkfold.affinity._effect import ProbeOutcome
from skylarkfold.affinity._effect import QueryPeers
from skylarkfold.affinity._effect import Reason
from skylarkfold.affinity._effect import RecordDecision
from skylarkfold.affinity._effect import Reset
from skylarkfold.affinity._evacuation import Evacuations
from skylarkfold.affinity._packet import format_flow
from skylarkfold.affinity._packet import pack_address
from skylarkfold.affinity._packet import Packet
from skylarkfold.affinity._route import Route
from skylarkfold.affinity._route import RouteTable
from skylarkfold.affinity._settings import AffinitySettings
from skylarkfold.affinity._upstream import Upstream
from skylarkfold.affinity._warm_up import WarmUp

__all__ = [
    'AffinityCore',
    'AffinitySettings',
    'ConfirmRoutes',
    'Drop',
    'Evacuations',
    'Forward',
    'NotifyPeers',
    'Packet',
    'Probe',
    'ProbeOutcome',
    'QueryPeers',
    'Reason',
    'RecordDecision',
    'Reset',
    'Route',
    'RouteTable',
    'Upstream',
    'WarmUp',
    'format_flow',
    'pack_address',
]
