"""Shares of callers where a service has too little room for all of them.

Max-min fair shares over callers: who asks for less than its share loses
nothing, who asks for more is brought down to it. Counts are of all
instances, as far as their words arrive. Pure decisions: time is an argument.
"""

from skylarkfold.shares._callers import CallerShares
from skylarkfold.shares._callers import digest_service
from skylarkfold.shares._callers import Room
from skylarkfold.shares._level import Claim
from skylarkfold.shares._level import compute_level
from skylarkfold.shares._network import Network
from skylarkfold.shares._network import NetworkTable
from skylarkfold.shares._settings import SharesSettings
from skylarkfold.shares._share import OverShare
from skylarkfold.shares._view import Fleet

__all__ = [
    'CallerShares',
    'Claim',
    'Fleet',
    'Network',
    'NetworkTable',
    'OverShare',
    'Room',
    'SharesSettings',
    'compute_level',
    'digest_service',
]
