"""How much room an instance has of its own: link, and what gets lost there.

Everything that an instance sends and gets shares one link. What is judged by
silence elsewhere asks here first whether the silence may be this instance's.
"""

from skylarkfold.room._admission import BulkAdmission
from skylarkfold.room._admission import BulkDecision
from skylarkfold.room._headroom import InstanceHeadroom
from skylarkfold.room._link import LinkMeter
from skylarkfold.room._loss import LossMeter
from skylarkfold.room._settings import RoomSettings

__all__ = [
    'BulkAdmission',
    'BulkDecision',
    'InstanceHeadroom',
    'LinkMeter',
    'LossMeter',
    'RoomSettings',
]
