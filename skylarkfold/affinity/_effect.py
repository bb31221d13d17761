"""What the decisions ask of their surroundings."""

from __future__ import annotations

from skylarkfold.affinity import _upstream


class Reason:
    """Why a decision fell as it did; the codes of the log lines."""

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
    """How a probe of an upstream ended."""

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
    """Tell a caller that its flow has ended.

    :param flow: the flow.
    :param acknowledged: the caller's last acknowledgement.
    """

    __slots__ = ('acknowledged', 'flow')

    def __init__(self, flow: bytes, acknowledged: int) -> None:
        self.flow = flow
        self.acknowledged = acknowledged


class Drop:
    """Give no answer.

    :param reason: counted.
    """

    __slots__ = ('reason',)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class QueryPeers:
    """Ask the peers of this zone when they last heard an upstream.

    What they say comes back through ``AffinityCore.handle_last_seen``.
    """

    __slots__ = ('upstream',)

    def __init__(self, upstream: _upstream.Upstream) -> None:
        self.upstream = upstream


class NotifyPeers:
    """Tell the peers of this zone that an upstream was found lost.

    They look for themselves; see ``AffinityCore.handle_unreachable``.
    """

    __slots__ = ('upstream',)

    def __init__(self, upstream: _upstream.Upstream) -> None:
        self.upstream = upstream


class Probe:
    """Find out whether an upstream takes connections.

    The end comes back through ``AffinityCore.handle_probe_result``.

    :param upstream: which one.
    :param timeout_seconds: when it has failed.
    :param is_control: whether it is sent beside the probe of another one.
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
    """Write a log line for a decision.

    :param kind: what was decided: ``open``, ``doubt``, ``reset`` ...
    :param reason: one of :class:`Reason`, or a state.
    :param flow: the flow, empty where there is none.
    :param upstream: the upstream's name, empty where there is none.
    :param details: what decided it, by name.
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
