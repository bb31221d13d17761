"""How much room an instance has of its own: link, and what gets lost there.

Everything that an instance sends and gets shares one link. What is judged by
silence elsewhere asks here first whether the silence may be this instance's.
"""

from skylarkfold.room._gate import BulkGate
from skylarkfold.room._gate import Verdict
from skylarkfold.room._instance import InstanceRoom
from skylarkfold.room._link import LinkMeter
from skylarkfold.room._loss import LossMeter
from skylarkfold.room._settings import RoomSettings

__all__ = [
    'BulkGate',
    'InstanceRoom',
    'LinkMeter',
    'LossMeter',
    'RoomSettings',
    'Verdict',
]
