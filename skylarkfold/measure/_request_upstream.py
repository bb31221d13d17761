"""A model of an upstream that runs requests in slots."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses

from skylarkfold.measure import _request_case
from skylarkfold.measure import _request_clock
from skylarkfold import request as request_module
from skylarkfold import verdict

Ended = Callable[[request_module.Outcome, request_module.Answer | None], None]

_STATUS_OK = 200
_STATUS_SHED = 503


@dataclasses.dataclass(slots=True)
class Work:
    """A request at an upstream.

    :param number: the request's number in the whole run.
    :param service_seconds: how long a usual upstream would run it.
    :param deadline: when it must have begun.
    :param ended: told the outcome, None once it was cancelled.
    """

    number: int
    service_seconds: float
    deadline: float
    ended: Ended | None


class UpstreamModel:
    """Runs requests in slots, keeps a bounded queue and sheds the rest.

    :param clock: the virtual clock.
    :param case: the run.
    :param is_odd: whether the scenario is about this one.
    """

    def __init__(
        self,
        clock: _request_clock.VirtualClock,
        case: _request_case.Case,
        is_odd: bool,
    ) -> None:
        self._clock = clock
        self._case = case
        self._scenario = _request_case.Scenario.PLAIN
        if is_odd:
            self._scenario = case.scenario
        self._queue: collections.deque[Work] = collections.deque()
        self.running = 0
        self.runs: list[int] = []

    @property
    def reported_running(self) -> int:
        """What its load endpoint says."""
        if self._scenario is _request_case.Scenario.LYING:
            return 0
        return self.running + len(self._queue)

    def take(self, work: Work) -> None:
        """Take a request: run it, let it wait or shed it.

        :param work: the request.
        """
        if self.running < self._case.slots:
            self._run(work)
        elif len(self._queue) < self._case.backlog:
            self._queue.append(work)
        else:
            self._refuse(work)

    def cancel(self, work: Work) -> None:
        """Forget a request that waits; what runs goes on to its end.

        :param work: the request.
        """
        work.ended = None
        if work in self._queue:
            self._queue.remove(work)

    def _run(self, work: Work) -> None:
        self.running += 1
        seconds = work.service_seconds * self._get_factor()
        self.runs.append(work.number)
        self._clock.call_later(seconds, lambda: self._finish(work))

    def _finish(self, work: Work) -> None:
        self.running -= 1
        if work.ended is not None:
            answer = request_module.Answer(verdict.Verdict.RAN, _STATUS_OK)
            work.ended(request_module.Outcome.ANSWERED, answer)
        while self._queue and self.running < self._case.slots:
            following = self._queue.popleft()
            if self._clock.now > following.deadline:
                self._refuse(following)
            else:
                self._run(following)

    def _refuse(self, work: Work) -> None:
        if work.ended is not None:
            answer = request_module.Answer(
                verdict.Verdict.NOT_RUN, _STATUS_SHED
            )
            work.ended(request_module.Outcome.REFUSED, answer)

    def _get_factor(self) -> float:
        scenario = self._scenario
        if scenario is _request_case.Scenario.PLAIN:
            return 1.0
        if scenario is _request_case.Scenario.COLD:
            if len(self.runs) >= self._case.cold_requests:
                return 1.0
        return self._case.slow_factor
