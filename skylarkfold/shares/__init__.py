"""Shares of callers where a service has too little room for all of them.

Max-min fair shares over callers: who asks for less than its share loses
nothing, who asks for more is brought down to it. Counts are of all
instances, as far as their words arrive. Pure decisions: time is an argument.
"""

from skylarkfold.shares._caller_shares import CallerShares
from skylarkfold.shares._caller_shares import Capacity
from skylarkfold.shares._caller_shares import hash_service
from skylarkfold.shares._demand_view import FleetSize
from skylarkfold.shares._fill_level import compute_fill_level
from skylarkfold.shares._fill_level import ShareRequest
from skylarkfold.shares._network import Network
from skylarkfold.shares._network import NetworkTable
from skylarkfold.shares._over_share import OverShare
from skylarkfold.shares._settings import SharesSettings

__all__ = [
    'CallerShares',
    'Capacity',
    'FleetSize',
    'Network',
    'NetworkTable',
    'OverShare',
    'ShareRequest',
    'SharesSettings',
    'compute_fill_level',
    'hash_service',
]
