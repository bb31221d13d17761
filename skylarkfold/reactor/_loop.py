"""An event loop for sockets, timers and signals."""

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

# The longest time that a loop without timers blocks.
_MAX_WAIT_SECONDS = 10.0


class Timer:
    """A scheduled callback.

    :param due: when it is due, in seconds of the loop's clock.
    :param callback: the callback; None after it was cancelled.
    """

    __slots__ = ('callback', 'due')

    def __init__(self, due: float, callback: Callable[[], object]) -> None:
        self.due = due
        self.callback: Callable[[], object] | None = callback

    def __lt__(self, other: Timer) -> bool:
        return self.due < other.due

    def cancel(self) -> None:
        """Cancel the callback."""
        self.callback = None


class Loop:
    """Runs callbacks for ready sockets, due timers and signals.

    An exception of a callback is logged and does not stop the loop.

    :ivar failures: how many callbacks have raised an exception.
    :ivar lag: how late the last due timer was, in seconds; it rises if the
        process gets too little processor time.
    """

    __slots__ = (
        '_callbacks_by_descriptor',
        '_epoll',
        '_is_stopped',
        '_signals',
        '_timers',
        '_wakeup',
        'failures',
        'lag',
    )

    def __init__(self) -> None:
        self._epoll = select.epoll()
        # Events and callbacks by descriptor.
        self._callbacks_by_descriptor: dict[int, tuple[int, Callable]] = {}
        self._timers: list[Timer] = []
        self._signals: dict[int, Callable[[], object]] = {}
        self._wakeup: (
            tuple[light_imports.Socket, light_imports.Socket] | None
        ) = None
        self._is_stopped = False
        self.failures = 0
        self.lag = 0.0

    def now(self) -> float:
        """Return the time of a monotonic clock, in seconds."""
        return time.monotonic()

    def watch(
        self, ready: light_imports.Socket, events: int, callback: Callable
    ) -> None:
        """Run a callback whenever a socket is ready.

        :param ready: the socket; if it is watched already, its events and its
            callback are replaced.
        :param events: ``READ``, ``WRITE`` or both.
        :param callback: called with the events that are ready.
        """
        number = ready.fileno()
        previous = self._callbacks_by_descriptor.get(number)
        if previous is None:
            self._epoll.register(number, events)
        elif previous[0] != events:
            self._epoll.modify(number, events)
        self._callbacks_by_descriptor[number] = (events, callback)

    def unwatch(self, ready: light_imports.Socket) -> None:
        """Stop watching a socket, if it is watched."""
        number = ready.fileno()
        if self._callbacks_by_descriptor.pop(number, None) is not None:
            self._epoll.unregister(number)

    def call_later(
        self, seconds: float, callback: Callable[[], object]
    ) -> Timer:
        """Schedule a callback.

        :param seconds: the delay.
        :param callback: the callback.
        :returns: the timer, by which it can be cancelled.
        """
        timer = Timer(self.now() + seconds, callback)
        heapq.heappush(self._timers, timer)
        return timer

    def call_every(
        self, seconds: float, callback: Callable[[], object]
    ) -> None:
        """Run a callback periodically.

        :param seconds: the interval between calls.
        :param callback: the callback.
        """

        def repeat() -> None:
            self.call_later(seconds, repeat)
            callback()

        self.call_later(seconds, repeat)

    def on_signal(self, number: int, callback: Callable[[], object]) -> None:
        """Run a callback from the loop when a signal arrives.

        :param number: the signal's number.
        :param callback: the callback.
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
        self.watch(receiver, READ, self._dispatch_signals)

    def _dispatch_signals(self, _events: int) -> None:
        for number in self._wakeup[0].recv(64):
            callback = self._signals.get(number)
            if callback is not None:
                callback()

    def stop(self) -> None:
        """Make :meth:`run` return after the current callbacks."""
        self._is_stopped = True

    def run(self) -> None:
        """Run callbacks until :meth:`stop` is called; may be run again."""
        self._is_stopped = False
        while not self._is_stopped:
            ready = self._epoll.poll(self._compute_wait())
            # Timers that become due during the callbacks run in the next
            # iteration, since the data that they guard may have arrived.
            due = self._pop_due_timers()
            watched = [
                (*self._callbacks_by_descriptor[at], reported)
                for at, reported in ready
            ]
            for events, callback, reported in watched:
                self._run_callback(callback, _filter_events(events, reported))
            for timer in due:
                if timer.callback is not None:
                    self._run_callback(timer.callback)

    def _compute_wait(self) -> float:
        while self._timers and self._timers[0].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return _MAX_WAIT_SECONDS
        wait = self._timers[0].due - self.now()
        return min(max(wait, 0.0), _MAX_WAIT_SECONDS)

    def _pop_due_timers(self) -> list[Timer]:
        now = self.now()
        due: list[Timer] = []
        while self._timers and self._timers[0].due <= now:
            due.append(heapq.heappop(self._timers))
        if due:
            self.lag = now - due[0].due
        return due

    def _run_callback(self, callback: Callable, *arguments: object) -> None:
        try:
            callback(*arguments)
        except Exception:
            self.failures += 1
            _logger.exception('a callback failed')

    def close(self) -> None:
        """Close the loop's file descriptors."""
        if self._wakeup is not None:
            light_imports.set_wakeup_fd(-1)
            for each in self._wakeup:
                each.close()
        self._epoll.close()


def _filter_events(watched: int, reported: int) -> int:
    """Return the events to pass to a callback.

    :param watched: the events that are watched.
    :param reported: the events reported by epoll; on an error or a hang-up,
        all watched events are passed.
    :returns: the events.
    """
    if reported & ~(READ | WRITE):
        return watched
    return watched & reported


def _ignore_signal(_number: int, _frame: object) -> None:
    """Do nothing: the loop handles signals through the wakeup socket."""
