"""Fair shares of callers for services without enough capacity for all.

Shares are max-min fair: a caller that asks for less than its share is never
refused, one that asks for more is limited to it. Demand is counted over all
instances, as far as their reports arrive. The package does no I/O and takes
the time as an argument.
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
