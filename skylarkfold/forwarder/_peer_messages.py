"""What the peers of a zone are to be asked and told of upstreams."""

from __future__ import annotations

from skylarkfold import affinity
from skylarkfold.forwarder import _metrics
from skylarkfold.forwarder import _reporter
from skylarkfold import relay


class Questions:
    """Gathers it, so that one beacon carries what a moment brings.

    A zone that falls silent, or a link that loses packets, raises dozens of
    questions at once; a beacon each would be a load of its own.

    :param reporter: counts questions.
    """

    __slots__ = ('_doubts', '_lost', '_reporter')

    def __init__(self, reporter: _reporter.Reporter) -> None:
        self._reporter = reporter
        self._doubts: dict[int, None] = {}
        self._lost: dict[int, None] = {}

    def ask(self, wanted: affinity.QueryPeers) -> None:
        """Have peers asked whether they heard an upstream.

        :param wanted: names the upstream.
        """
        self._reporter.count(_metrics.PEERS_ASKED)
        self._doubts[wanted.upstream.incarnation] = None

    def tell(self, wanted: affinity.NotifyPeers) -> None:
        """Have peers told that an upstream was found out of reach.

        :param wanted: names the upstream.
        """
        self._lost[wanted.upstream.incarnation] = None

    def send(self, now: float, announcer: relay.Announcer) -> list[object]:
        """Send what has been gathered.

        :param now: the time.
        :param announcer: builds the beacon.
        :returns: effects; none where there is nothing to ask or tell.
        """
        if not self._doubts and not self._lost:
            return []
        doubts, lost = tuple(self._doubts), tuple(self._lost)
        self._doubts.clear()
        self._lost.clear()
        return announcer.notify_zone(now, doubts, lost)
