"""The event loop: ready sockets, due timers and signals."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import select
import time

from skylarkfold import deferred_log
from skylarkfold import light_imports

READ = select.EPOLLIN
WRITE = select.EPOLLOUT

_logger = deferred_log.LOGGER

# Wakes a loop without timers; nothing depends on the value.
_LONGEST_WAIT_SECONDS = 10.0


class Timer:
    """A call that is due at some time.

    :param due: when, in seconds of the loop's clock.
    :param callback: what to call; None once it is cancelled.
    """

    __slots__ = ('callback', 'due')

    def __init__(self, due: float, callback: Callable[[], object]) -> None:
        self.due = due
        self.callback: Callable[[], object] | None = callback

    def __lt__(self, other: Timer) -> bool:
        return self.due < other.due

    def cancel(self) -> None:
        """Never call it."""
        self.callback = None


class Loop:
    """Calls back for ready sockets, due timers and signals.

    A callback that raises is logged; the loop goes on, since one event
    that can't be handled must not end the process.

    :ivar failures: how many callbacks raised.
    :ivar lag: how late the last due timer was, in seconds: a process
        that is starved of processor time sees it rise.
    """

    __slots__ = (
        '_is_stopped',
        '_poll',
        '_signals',
        '_timers',
        '_wakeup',
        '_watched',
        'failures',
        'lag',
    )

    def __init__(self) -> None:
        self._poll = select.epoll()
        # Events and callbacks by descriptor.
        self._watched: dict[int, tuple[int, Callable]] = {}
        self._timers: list[Timer] = []
        self._signals: dict[int, Callable[[], object]] = {}
        self._wakeup: (
            tuple[light_imports.Socket, light_imports.Socket] | None
        ) = None
        self._is_stopped = False
        self.failures = 0
        self.lag = 0.0

    def now(self) -> float:
        """Read the clock: seconds that never go back."""
        return time.monotonic()

    def watch(
        self, ready: light_imports.Socket, events: int, callback: Callable
    ) -> None:
        """Call back when a socket is ready.

        :param ready: the socket; one that is watched already changes its
            events and its callback.
        :param events: ``READ``, ``WRITE`` or both.
        :param callback: takes the events that are ready.
        """
        number = ready.fileno()
        before = self._watched.get(number)
        if before is None:
            self._poll.register(number, events)
        elif before[0] != events:
            self._poll.modify(number, events)
        self._watched[number] = (events, callback)

    def unwatch(self, ready: light_imports.Socket) -> None:
        """Stop watching a socket; one that is not watched is ignored."""
        number = ready.fileno()
        if self._watched.pop(number, None) is not None:
            self._poll.unregister(number)

    def call_later(
        self, seconds: float, callback: Callable[[], object]
    ) -> Timer:
        """Call back once, after a while.

        :param seconds: the pause.
        :param callback: what to call.
        :returns: the timer, to cancel it.
        """
        timer = Timer(self.now() + seconds, callback)
        heapq.heappush(self._timers, timer)
        return timer

    def call_every(
        self, seconds: float, callback: Callable[[], object]
    ) -> None:
        """Call back again and again.

        :param seconds: the pause between two calls.
        :param callback: what to call.
        """

        def repeat() -> None:
            self.call_later(seconds, repeat)
            callback()

        self.call_later(seconds, repeat)

    def on_signal(self, number: int, callback: Callable[[], object]) -> None:
        """Call back from the loop when a signal arrives.

        :param number: the signal.
        :param callback: what to call.
        """
        if self._wakeup is None:
            self._open_wakeup()
        self._signals[number] = callback
        light_imports.set_signal_handler(number, _ignore_signal)

    def _open_wakeup(self) -> None:
        receiver, sender = light_imports.socketpair()
        receiver.setblocking(False)
        sender.setblocking(False)
        self._wakeup = (receiver, sender)
        light_imports.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
        self.watch(receiver, READ, self._take_signals)

    def _take_signals(self, _events: int) -> None:
        for number in self._wakeup[0].recv(64):
            callback = self._signals.get(number)
            if callback is not None:
                callback()

    def stop(self) -> None:
        """End :meth:`run` after the present callbacks."""
        self._is_stopped = True

    def run(self) -> None:
        """Call back until :meth:`stop` is called; may be called again."""
        self._is_stopped = False
        while not self._is_stopped:
            ready = self._poll.poll(self._find_wait())
            # Timers that fall due while the callbacks run wait for the
            # next turn: what they watch for may have arrived meanwhile.
            due = self._take_due()
            watched = [(*self._watched[at], found) for at, found in ready]
            for events, callback, found in watched:
                self._call(callback, _select(events, found))
            for timer in due:
                if timer.callback is not None:
                    self._call(timer.callback)

    def _find_wait(self) -> float:
        while self._timers and self._timers[0].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return _LONGEST_WAIT_SECONDS
        wait = self._timers[0].due - self.now()
        return min(max(wait, 0.0), _LONGEST_WAIT_SECONDS)

    def _take_due(self) -> list[Timer]:
        now = self.now()
        due: list[Timer] = []
        while self._timers and self._timers[0].due <= now:
            due.append(heapq.heappop(self._timers))
        if due:
            self.lag = now - due[0].due
        return due

    def _call(self, callback: Callable, *arguments: object) -> None:
        try:
            callback(*arguments)
        except Exception:
            self.failures += 1
            _logger.exception('a callback failed')

    def close(self) -> None:
        """Give its descriptors back."""
        if self._wakeup is not None:
            light_imports.set_wakeup_fd(-1)
            for each in self._wakeup:
                each.close()
        self._poll.close()


def _select(wanted: int, found: int) -> int:
    """Tell which of the events that are watched for are there.

    :param wanted: those that are watched for.
    :param found: what the kernel found; an end or an error is a reason to
        read and to write.
    :returns: the events.
    """
    if found & ~(READ | WRITE):
        return wanted
    return wanted & found


def _ignore_signal(_number: int, _frame: object) -> None:
    """Leave the signal to the loop, which is woken by its number."""
