"""Results of a caller process.

Times are from the monotonic clock, which all processes of a machine share.
"""

from __future__ import annotations

import dataclasses
import enum


class AttemptOutcome(enum.StrEnum):
    """Outcome of one attempt to send a request.

    ``UNSENT``: the connection failed. ``NO_ANSWER``: the connection broke or
    no answer arrived in time. ``WRONG``: the answer was incomplete or belonged
    to another request. ``UNKNOWN_VERDICT``: the response had no valid verdict.
    """

    RAN = 'ran'
    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    UNSENT = 'unsent'
    NO_ANSWER = 'no-answer'
    WRONG = 'wrong'
    UNKNOWN_VERDICT = 'unknown-verdict'

    @property
    def is_verdict(self) -> bool:
        """Whether the load balancer reported a verdict and a valid answer."""
        return self in (
            AttemptOutcome.RAN,
            AttemptOutcome.NOT_RUN,
            AttemptOutcome.MAY_HAVE_RUN,
        )


@dataclasses.dataclass(slots=True)
class AttemptResult:
    """One attempt to send a request.

    :param key: the key under which upstreams count the attempt.
    :param target: the host of the instance.
    :param sent: the time of sending, in seconds.
    :param ended: the time at which the outcome was known, in seconds.
    :param outcome: the outcome.
    :param code: the code of the rejection; empty if there is none.
    """

    key: str
    target: str
    sent: float
    ended: float
    outcome: AttemptOutcome
    code: str = ''


@dataclasses.dataclass(slots=True)
class RequestResult:
    """Request with all its attempts."""

    traffic: str
    service: str
    repeatable: bool
    attempts: list[AttemptResult]

    @property
    def outcome(self) -> AttemptOutcome:
        """Outcome of the last attempt."""
        return self.attempts[-1].outcome


@dataclasses.dataclass(slots=True)
class FlowResult:
    """Datagram flow.

    :param caller: the flow's local address.
    :param sent: the number of datagrams sent.
    :param answered: the number of datagrams answered.
    :param upstreams: the number of replies by upstream.
    :param misdelivered: the number of replies for another service or flow.
    :param first_sent: the time of the first datagram, in seconds.
    :param last_sent: the time of the last datagram, in seconds.
    :param last_answered: the time of the last reply, in seconds.
    """

    traffic: str
    service: str
    caller: str
    sent: int = 0
    answered: int = 0
    upstreams: dict[str, int] = dataclasses.field(default_factory=dict)
    misdelivered: int = 0
    first_sent: float = 0.0
    last_sent: float = 0.0
    last_answered: float = 0.0


@dataclasses.dataclass(slots=True)
class StreamResult:
    """TCP stream.

    :param target: the host of the instance.
    :param upstream: the upstream's name; empty if no greeting arrived.
    :param broken: the error that ended the stream early; empty if none did.
    :param broken_at: the time of that error, in seconds.
    """

    traffic: str
    service: str
    target: str
    upstream: str = ''
    messages: int = 0
    broken: str = ''
    broken_at: float = 0.0


@dataclasses.dataclass(slots=True)
class CallerResults:
    """All results of a caller process.

    :param latencies: by traffic name, an encoded HdrHistogram of latencies
        in microseconds, from sending a datagram or the first attempt of a
        request to the reply.
    """

    flows: list[FlowResult] = dataclasses.field(default_factory=list)
    streams: list[StreamResult] = dataclasses.field(default_factory=list)
    requests: list[RequestResult] = dataclasses.field(default_factory=list)
    latencies: dict[str, str] = dataclasses.field(default_factory=dict)
