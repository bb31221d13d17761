"""Effects that decisions ask the caller of the core to perform."""

from __future__ import annotations

from skylarkfold.affinity import _upstream


class Reason:
    """Reasons of decisions, as written in log lines."""

    PLACED = 'placed'
    PLACED_AGAIN = 'placed-again'
    REPEATED = 'repeated'
    TOKEN = 'token'
    NO_ROUTE = 'no-route'
    ROUTE_UNKNOWN = 'route-unknown'
    ROUTE_REMOVED = 'route-removed'
    NO_UPSTREAM = 'no-upstream'
    CROWDED = 'crowded'
    LINK_FULL = 'link-full'
    OVER_SHARE = 'over-share'
    NO_TOKEN = 'no-token'
    TOKEN_UNKNOWN = 'token-unknown'
    OTHER_SERVICE = 'other-service'
    OUT_OF_REACH = 'out-of-reach'
    REPLACED = 'replaced'
    RESTARTED = 'restarted'
    NOT_ANSWERED = 'not-answered'
    NOT_OPENED = 'not-opened'
    SLOW = 'slow'
    FAST = 'fast'
    USUAL = 'usual'


class ProbeOutcome:
    """Outcomes of probes."""

    ALIVE = 'alive'
    REFUSED = 'refused'
    SILENT = 'silent'


class Forward:
    """Send a caller's packet to an upstream."""

    __slots__ = ('data', 'upstream')

    def __init__(self, upstream: _upstream.Upstream, data: bytes) -> None:
        self.upstream = upstream
        self.data = data


class Reset:
    """Reset a caller's flow.

    :param flow: the flow.
    :param acknowledged: the caller's last acknowledgement.
    """

    __slots__ = ('acknowledged', 'flow')

    def __init__(self, flow: bytes, acknowledged: int) -> None:
        self.flow = flow
        self.acknowledged = acknowledged


class Drop:
    """Drop a packet without an answer.

    :param reason: the reason that is counted.
    """

    __slots__ = ('reason',)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class ConfirmRoutes:
    """Ask the store now whether the known routes are complete."""

    __slots__ = ()


class QueryPeers:
    """Ask the peers of this zone when they last heard an upstream.

    Their answers are passed to ``AffinityCore.handle_last_seen``.
    """

    __slots__ = ('upstream',)

    def __init__(self, upstream: _upstream.Upstream) -> None:
        self.upstream = upstream


class NotifyPeers:
    """Notify the peers of this zone that an upstream is unreachable.

    They probe it themselves; see ``AffinityCore.handle_unreachable``.
    """

    __slots__ = ('upstream',)

    def __init__(self, upstream: _upstream.Upstream) -> None:
        self.upstream = upstream


class Probe:
    """Probe whether an upstream accepts connections.

    The result is passed to ``AffinityCore.handle_probe_result``.

    :param upstream: the upstream.
    :param timeout_seconds: the timeout of the probe.
    :param is_control: whether it is the control of another upstream's probe.
    """

    __slots__ = ('is_control', 'timeout_seconds', 'upstream')

    def __init__(
        self,
        upstream: _upstream.Upstream,
        timeout_seconds: float,
        is_control: bool = False,
    ) -> None:
        self.upstream = upstream
        self.timeout_seconds = timeout_seconds
        self.is_control = is_control


class RecordDecision:
    """Write a log line about a decision.

    :param kind: the kind of decision, such as ``open``, ``doubt`` or
        ``reset``.
    :param reason: one of :class:`Reason`, or a state.
    :param flow: the packed flow, empty if there is none.
    :param upstream: the upstream's name, empty if there is none.
    :param details: the values that led to the decision, by name.
    """

    __slots__ = ('details', 'flow', 'kind', 'reason', 'upstream')

    def __init__(
        self,
        kind: str,
        reason: str,
        flow: bytes = b'',
        upstream: str = '',
        details: dict[str, object] | None = None,
    ) -> None:
        self.kind = kind
        self.reason = reason
        self.flow = flow
        self.upstream = upstream
        self.details = details or {}
