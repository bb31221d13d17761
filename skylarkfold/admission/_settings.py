"""Settings of admission."""

from __future__ import annotations

import dataclasses

from skylarkfold import request


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Bounds of the admission queue and rules for refusals.

    :param class_requests: requests that may wait for one service in one
        class.
    :param class_bytes: bytes of bodies and headers that may wait for one
        service in one class.
    :param total_requests: requests that may wait on the instance.
    :param total_bytes: bytes that may wait on the instance.
    :param alert_age_seconds: the longest wait of an alert.
    :param exchange_age_seconds: the longest wait of an exchange.
    :param bulk_age_seconds: the longest wait of bulk.
    :param floor_share: the minimum share of turns that each lower class
        gets while higher ones wait.
    :param wait_share: the share of the time to its deadline that a request
        may be expected to wait when it is offered; the rest is left for
        its execution, a retry and inexact estimates.
    :param deviations: the mean deviations that are added to the mean
        service time to estimate whether a request meets its deadline.
    :param minimum_retry_seconds: the shortest retry time given to a
        refused caller.
    :param maximum_retry_seconds: the longest one.
    """

    class_requests: int = 256
    class_bytes: int = 4 * 1024 * 1024
    total_requests: int = 2048
    total_bytes: int = 32 * 1024 * 1024
    alert_age_seconds: float = 10.0
    exchange_age_seconds: float = 20.0
    bulk_age_seconds: float = 60.0
    floor_share: float = 0.1
    wait_share: float = 0.5
    deviations: float = 2.0
    minimum_retry_seconds: float = 0.1
    maximum_retry_seconds: float = 30.0

    def get_age_seconds(self, priority: request.Priority) -> float:
        """Return the longest wait of a class.

        :param priority: the class.
        :returns: the wait in seconds.
        """
        if priority is request.Priority.ALERT:
            return self.alert_age_seconds
        if priority is request.Priority.EXCHANGE:
            return self.exchange_age_seconds
        return self.bulk_age_seconds
