"""Admission: bounded queues of requests that wait for an upstream.

:class:`AdmissionQueue` does no I/O: it is given requests, the current time
and measured service times, and returns the next request to dispatch and
those that can't be answered in time.
"""

from skylarkfold.admission._queue import AdmissionQueue
from skylarkfold.admission._results import Admitted
from skylarkfold.admission._results import Expired
from skylarkfold.admission._results import Queued
from skylarkfold.admission._results import Refusal
from skylarkfold.admission._results import RefusalCode
from skylarkfold.admission._results import WaitingCounts
from skylarkfold.admission._scheduler import PriorityScheduler
from skylarkfold.admission._settings import AdmissionSettings

__all__ = [
    'AdmissionQueue',
    'AdmissionSettings',
    'Admitted',
    'Expired',
    'PriorityScheduler',
    'Queued',
    'Refusal',
    'RefusalCode',
    'WaitingCounts',
]
