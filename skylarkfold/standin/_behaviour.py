"""How a stand-in upstream behaves."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """What an upstream does with its work and says about itself.

    :param service_seconds: how long a request runs.
    :param cold_seconds: how long after its start it is cold.
    :param cold_factor: how much longer a request runs while it is cold.
    :param queue_limit: how many requests wait for a slot before it sheds.
    :param shedding: refuse all requests as overloaded.
    :param draining: refuse all new requests; what runs goes on.
    :param hanging: take requests and datagrams and never answer them.
    :param lose_answers: how many next requests run and then lose their
        connection instead of an answer.
    :param cut_answers: how many next answers break off half-way.
    :param reported_healthy: what the health endpoint says; None for the
        truth.
    :param reported_running: what the load endpoint says; None for the
        truth.
    :param report_lag_seconds: how old its reports may be.
    """

    service_seconds: float = 0.005
    cold_seconds: float = 0.0
    cold_factor: float = 5.0
    queue_limit: int = 4
    shedding: bool = False
    draining: bool = False
    hanging: bool = False
    lose_answers: int = 0
    cut_answers: int = 0
    reported_healthy: bool | None = None
    reported_running: int | None = None
    report_lag_seconds: float = 0.0
