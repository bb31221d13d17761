"""The names of all metrics, and counters that are sent to statsd."""

from __future__ import annotations

import collections

import statsd

from skylarkfold import endpoint

DATAGRAMS_FORWARDED = 'datagrams.forwarded'
DATAGRAMS_ANSWERED = 'datagrams.answered'
DATAGRAMS_DROPPED = 'datagrams.dropped'
DATAGRAMS_MALFORMED = 'datagrams.malformed'
STREAMS_OPENED = 'streams.opened'
STREAMS_REFUSED = 'streams.refused'
REQUESTS_RECEIVED = 'requests.received'
REQUESTS_OVERSIZED = 'requests.oversized'
ATTEMPTS = 'attempts'
PEER_MESSAGES_SENT = 'peers.messages_sent'
PEER_BYTES_SENT = 'peers.bytes_sent'
PEER_MESSAGES_DROPPED = 'peers.messages_dropped'
PEER_MESSAGES_MALFORMED = 'peers.messages_malformed'
PEERS_REFUSED = 'peers.refused'
PLATFORM_CALLS = 'platform.calls'
LOG_LINES_DROPPED = 'log.lines_dropped'
NODE_FAILURES = 'node.failures'

# Counted by the decision cores.
DISTRIBUTION_BUSY = 'distribution.busy'
DISTRIBUTION_DIGEST_DIFFERS = 'distribution.digest-differs'
DISTRIBUTION_GAP = 'distribution.gap'
DISTRIBUTION_GIVEN_UP = 'distribution.given-up'
DISTRIBUTION_LATE = 'distribution.late'
DISTRIBUTION_MALFORMED = 'distribution.malformed'
DISTRIBUTION_RETAINED = 'distribution.retained'
DISTRIBUTION_STALE = 'distribution.stale'
DISTRIBUTION_WOKEN = 'distribution.woken'
FLOWS_DROPPED_HELD = 'flows.dropped.held'
FLOWS_HELD = 'flows.held'
FLOWS_PLACED = 'flows.placed'
FLOWS_RANKING_CHANGED = 'flows.ranking-changed'
FLOWS_REDIRECTED = 'flows.redirected'
FLOWS_TABLE_MALFORMED = 'flows.table-malformed'
MEMBERSHIP_MALFORMED = 'membership.malformed'
MEMBERSHIP_OWN_NAME = 'membership.own-name'
REQUESTS_GONE_MALFORMED = 'requests.gone_malformed'
REQUESTS_HOLDERS_LOST = 'requests.holders_lost'
REQUESTS_HOLDERS_MALFORMED = 'requests.holders_malformed'
REQUESTS_LATE_ANSWERS = 'requests.late_answers'
REQUESTS_PAUSES = 'requests.pauses'
REQUESTS_REPLAYED = 'requests.replayed'
REQUESTS_STALE_PASSES = 'requests.stale_passes'
STORE_LOST = 'store.lost'
STORE_REFUSED = 'store.refused'
STORE_STALE = 'store.stale'

# Prefixes, to which a dot and a reason, verdict or kind are appended.
FLOWS_DROPPED = 'flows.dropped'
REQUESTS_ANSWERED = 'requests'
STORE_CALLS = 'store'

_PREFIX = 'skylarkfold'


class Counters:
    """Counters that are kept in memory and sent to statsd periodically.

    :param instance: the name of this instance, part of each metric's name.
    :param server: the address of statsd; None to send nothing.
    :ivar totals: the counters by name, since the start.
    """

    def __init__(
        self, instance: str, server: endpoint.Endpoint | None
    ) -> None:
        self.totals: dict[str, int] = collections.defaultdict(int)
        self._sent_totals: dict[str, int] = {}
        self._client: statsd.StatsClient | None = None
        if server is not None:
            self._client = statsd.StatsClient(
                server.host, server.port, prefix=f'{_PREFIX}.{instance}'
            )

    def add(self, name: str, amount: int = 1) -> None:
        """Add to a counter.

        :param name: the name of the counter.
        :param amount: the amount to add.
        """
        self.totals[name] += amount

    def flush(self) -> None:
        """Send the increments since the last call."""
        totals = dict(self.totals)
        if self._client is None or totals == self._sent_totals:
            return
        with self._client.pipeline() as pipeline:
            for name, total in totals.items():
                amount = total - self._sent_totals.get(name, 0)
                if amount:
                    pipeline.incr(name, amount)
        self._sent_totals = totals
