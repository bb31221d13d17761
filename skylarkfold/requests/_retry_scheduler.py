"""Whether and when an attempt is followed by another, and who waits."""

from __future__ import annotations

from skylarkfold.requests import _context
from skylarkfold.requests import _execution
from skylarkfold.requests import _retry_budget
from skylarkfold import service as service_module


class RetryScheduler:
    """Allows retries that are safe, useful and within the budget.

    :param context: what the parts of the core share.
    """

    __slots__ = ('_budget', '_context', '_settings', '_waiting')

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        self._settings = context.settings
        self._budget = _retry_budget.RetryBudget(context.settings)
        self._waiting: dict[int, _execution.Execution] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def record_attempt(self, execution: _execution.Execution) -> None:
        """Count an attempt that has begun; its exchange waits no more.

        :param exchange: the exchange.
        """
        self.discard(execution.request.number)
        if execution.attempts == 1:
            self._budget.earn()

    def discard(self, number: int) -> None:
        """Try an exchange no more.

        :param number: its request's number.
        """
        self._waiting.pop(number, None)

    def list_due(
        self, now: float, service_name: str
    ) -> list[_execution.Execution]:
        """List the exchanges of a service that may be tried again.

        :param now: the time.
        :param service_name: the service.
        """
        return [
            each
            for each in self._waiting.values()
            if each.request.service == service_name and each.retry_at <= now
        ]

    def list_services(self) -> set[str]:
        """List the services for which an exchange waits."""
        return {each.request.service for each in self._waiting.values()}

    def schedule(
        self,
        now: float,
        execution: _execution.Execution,
        service: service_module.Service | None,
    ) -> bool:
        """Let an exchange wait for a retry, taken from the budget.

        :param now: the time.
        :param exchange: the exchange whose attempt has just failed.
        :param service: its service, None where it is no longer known.
        :returns: False where it must not be tried again.
        """
        retry_at = self._compute_retry_time(now, execution, service)
        if retry_at is None:
            return False
        execution.state = _execution.ExecutionState.WAITING
        execution.retry_at = retry_at
        self._waiting[execution.request.number] = execution
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
    """Tell whether an upstream is left that has not failed an exchange.

    :param exchange: the exchange.
    :param service: its service, None where it is no longer known.
    """
    if service is None:
        return False
    return any(
        each.takes_new_work and each.name not in execution.failed
        for each in service.upstreams
    )
