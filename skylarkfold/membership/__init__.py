"""Which instances there are, and how each is seen from here."""

from skylarkfold.membership._core import MembershipCore
from skylarkfold.membership._listing import FIRST_CALL
from skylarkfold.membership._messages import Fact
from skylarkfold.membership._messages import Heartbeat
from skylarkfold.membership._messages import Introduction
from skylarkfold.membership._messages import MESSAGES
from skylarkfold.membership._messages import Rumor
from skylarkfold.membership._settings import MembershipSettings
from skylarkfold.overlay import list_neighbours
from skylarkfold.overlay import rank_in_zone

__all__ = [
    'FIRST_CALL',
    'Fact',
    'Heartbeat',
    'Introduction',
    'MESSAGES',
    'MembershipCore',
    'MembershipSettings',
    'Rumor',
    'list_neighbours',
    'rank_in_zone',
]
