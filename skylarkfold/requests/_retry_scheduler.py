"""Scheduling of retries after failed attempts."""

from __future__ import annotations

from skylarkfold.requests import _context
from skylarkfold.requests import _execution
from skylarkfold.requests import _retry_budget
from skylarkfold import service as service_module


class RetryScheduler:
    """Scheduler of retries that are safe and within the budget.

    :param context: shared identity, settings and effects of the core.
    """

    __slots__ = ('_budget', '_context', '_pending', '_settings')

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        self._settings = context.settings
        self._budget = _retry_budget.RetryBudget(context.settings)
        self._pending: dict[int, _execution.Execution] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def record_attempt(self, execution: _execution.Execution) -> None:
        """Record the start of an attempt; removes the pending retry.

        :param execution: the execution of the request.
        """
        self.discard(execution.request.number)
        if execution.attempts == 1:
            self._budget.earn()

    def discard(self, number: int) -> None:
        """Remove the pending retry of a request, if there is one.

        :param number: the request's number.
        """
        self._pending.pop(number, None)

    def list_due(
        self, now: float, service_name: str
    ) -> list[_execution.Execution]:
        """List the executions of a service whose retry is due.

        :param now: the current time.
        :param service_name: the service.
        """
        return [
            each
            for each in self._pending.values()
            if each.request.service == service_name and each.retry_at <= now
        ]

    def list_services(self) -> set[str]:
        """List the services that have pending retries."""
        return {each.request.service for each in self._pending.values()}

    def schedule(
        self,
        now: float,
        execution: _execution.Execution,
        service: service_module.Service | None,
    ) -> bool:
        """Schedule a retry if one is allowed, and charge the budget.

        :param now: the current time.
        :param execution: the execution whose attempt has just failed.
        :param service: its service, None if it is no longer configured.
        :returns: whether a retry was scheduled.
        """
        retry_at = self._compute_retry_time(now, execution, service)
        if retry_at is None:
            return False
        execution.state = _execution.ExecutionState.WAITING
        execution.retry_at = retry_at
        self._pending[execution.request.number] = execution
        return True

    def _compute_retry_time(
        self,
        now: float,
        execution: _execution.Execution,
        service: service_module.Service | None,
    ) -> float | None:
        retry_at = now + self._compute_delay(execution)
        if execution.may_have_run and not execution.request.idempotent:
            return None
        if execution.attempts >= self._settings.maximum_attempts:
            return None
        if retry_at >= execution.deadline:
            return None
        if not has_other_upstream(execution, service):
            return None
        return retry_at if self._budget.spend() else None

    def _compute_delay(self, execution: _execution.Execution) -> float:
        return self._context.jitter(
            self._settings.retry_delay_seconds,
            f'{execution.request.number}|{execution.attempts}',
        )


def has_other_upstream(
    execution: _execution.Execution, service: service_module.Service | None
) -> bool:
    """Return whether an upstream is left that has not failed the request.

    :param execution: the execution of the request.
    :param service: its service, None if it is no longer configured.
    """
    if service is None:
        return False
    return any(
        each.takes_new_work and each.name not in execution.failed
        for each in service.upstreams
    )
