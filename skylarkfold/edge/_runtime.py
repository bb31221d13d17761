"""Clock, logs, counters and background tasks that a daemon shares."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging

from skylarkfold import endpoint
from skylarkfold import log
from skylarkfold import metric

_logger = logging.getLogger(log.LOGGER_NAME)


class Runtime:
    """Clock, logs, counters, background tasks and the event handler.

    :param clock: returns the seconds of a monotonic clock.
    :param counters: the metric counters.
    :param decisions: the decision log.
    :param log_packets: whether each forwarded datagram is logged.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        counters: metric.Counters,
        decisions: log.DecisionLog,
        log_packets: bool,
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.decisions = decisions
        self.log_packets = log_packets
        self.handle: Callable[[object], None] = _discard_event
        # Addresses of upstreams that answered a datagram since their last
        # probe.
        self.heard: set[endpoint.Endpoint] = set()
        self._tasks: set[asyncio.Task] = set()

    def handle_later(self, event: object) -> None:
        """Pass an event to the node after the current callback.

        :param event: the event.
        """
        asyncio.get_running_loop().call_soon(self.handle, event)

    def start(self, coroutine: Coroutine) -> asyncio.Task:
        """Run a coroutine in the background and log it if it fails.

        :param coroutine: the coroutine.
        :returns: its task.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_done)
        return task

    def _handle_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        _logger.error('background task failed: %r', error, exc_info=error)

    async def cancel_all(self) -> None:
        """Cancel all background tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _discard_event(event: object) -> None:
    """Discard events that come before the node's handler is set."""
