"""Headroom of an instance's network link, and admission of bulk transfers.

All traffic of an instance shares one link. Before a missing answer counts
against an upstream, callers of this package check whether the link of the
instance itself may have delayed or dropped it.
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
