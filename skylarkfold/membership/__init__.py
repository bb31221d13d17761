"""Membership of the cluster: discovery, failure detection and gossip."""

from skylarkfold.membership._core import MembershipCore
from skylarkfold.membership._messages import Gossip
from skylarkfold.membership._messages import Heartbeat
from skylarkfold.membership._messages import Hello
from skylarkfold.membership._messages import MemberUpdate
from skylarkfold.membership._messages import MESSAGES
from skylarkfold.membership._platform_list import FIRST_CALL_NUMBER
from skylarkfold.membership._settings import MembershipSettings
from skylarkfold.overlay import list_neighbours
from skylarkfold.overlay import rank_in_zone

__all__ = [
    'FIRST_CALL_NUMBER',
    'Gossip',
    'Heartbeat',
    'Hello',
    'MESSAGES',
    'MemberUpdate',
    'MembershipCore',
    'MembershipSettings',
    'list_neighbours',
    'rank_in_zone',
]
