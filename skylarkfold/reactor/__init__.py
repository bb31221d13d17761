"""Sockets, timers and HTTP for processes that must start fast.

Built directly on epoll. Importing asyncio and uvloop takes about 90 ms of
processor time, which on a fifth of a core delays a restarted instance by
almost half a second (``skylarkfold measure start``).
"""

from skylarkfold.reactor._http import Failure
from skylarkfold.reactor._http import HttpClient
from skylarkfold.reactor._http import HttpServer
from skylarkfold.reactor._http import Reply
from skylarkfold.reactor._loop import Loop
from skylarkfold.reactor._loop import READ
from skylarkfold.reactor._loop import Timer
from skylarkfold.reactor._loop import WRITE
from skylarkfold.reactor._stream import connect
from skylarkfold.reactor._stream import Listener
from skylarkfold.reactor._stream import Stream

__all__ = [
    'READ',
    'WRITE',
    'Failure',
    'HttpClient',
    'HttpServer',
    'Listener',
    'Loop',
    'Reply',
    'Stream',
    'Timer',
    'connect',
]
