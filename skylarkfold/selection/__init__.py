"""Upstream selection for requests.

:class:`Selector` does no I/O: it is given the configuration, dispatches
and outcomes, and returns the upstream for the next request.
"""

from skylarkfold.selection._choice import Choice
from skylarkfold.selection._choice import ChoiceReason
from skylarkfold.selection._messages import MESSAGES
from skylarkfold.selection._messages import SlotDemand
from skylarkfold.selection._messages import SlotGrant
from skylarkfold.selection._messages import SlotNotice
from skylarkfold.selection._selector import Selector
from skylarkfold.selection._settings import Policy
from skylarkfold.selection._settings import SelectionSettings

__all__ = [
    'MESSAGES',
    'Choice',
    'ChoiceReason',
    'Policy',
    'SelectionSettings',
    'Selector',
    'SlotDemand',
    'SlotGrant',
    'SlotNotice',
]
