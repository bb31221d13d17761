"""Distribution of the platform's objects to all instances."""

from skylarkfold.distribution._core import DistributionCore
from skylarkfold.distribution._messages import Busy
from skylarkfold.distribution._messages import Delta
from skylarkfold.distribution._messages import Fetch
from skylarkfold.distribution._messages import Item
from skylarkfold.distribution._messages import MESSAGES
from skylarkfold.distribution._messages import Position
from skylarkfold.distribution._platform_watch import FIRST_CALL_NUMBER
from skylarkfold.distribution._settings import DistributionSettings

__all__ = [
    'Busy',
    'Delta',
    'DistributionCore',
    'DistributionSettings',
    'FIRST_CALL_NUMBER',
    'Fetch',
    'Item',
    'MESSAGES',
    'Position',
]
