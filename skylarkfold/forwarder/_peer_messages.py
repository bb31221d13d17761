"""Batched messages about upstreams to the peers of the zone."""

from __future__ import annotations

from skylarkfold import affinity
from skylarkfold.forwarder import _metrics
from skylarkfold.forwarder import _reporter
from skylarkfold import relay


class PeerMessageBatch:
    """Collects queries and notices, so that one beacon carries all of them.

    A failing zone or link raises dozens of queries at once; a beacon for each
    would overload the peers.

    :param reporter: counts the queries.
    """

    __slots__ = (
        '_queried',
        '_reporter',
        '_unreachable',
    )

    def __init__(self, reporter: _reporter.Reporter) -> None:
        self._reporter = reporter
        self._queried: dict[int, None] = {}
        self._unreachable: dict[int, None] = {}

    def add_query(self, effect: affinity.QueryPeers) -> None:
        """Add a query: have peers received packets from an upstream?

        :param effect: names the upstream.
        """
        self._reporter.count(_metrics.PEERS_ASKED)
        self._queried[effect.upstream.incarnation] = None

    def add_notice(self, effect: affinity.NotifyPeers) -> None:
        """Add a notice that an upstream was found unreachable.

        :param effect: names the upstream.
        """
        self._unreachable[effect.upstream.incarnation] = None

    def send(self, now: float, announcer: relay.Announcer) -> list[object]:
        """Build a beacon with the collected messages, and clear them.

        :param now: the time.
        :param announcer: builds the beacon.
        :returns: the effects that send it; none if nothing was collected.
        """
        if not self._queried and not self._unreachable:
            return []
        doubts, lost = tuple(self._queried), tuple(self._unreachable)
        self._queried.clear()
        self._unreachable.clear()
        return announcer.notify_zone(now, doubts, lost)
