"""Beacons that an instance sends to its peers."""

from __future__ import annotations

import heapq

from skylarkfold.relay import _callers
from skylarkfold.relay import _codec
from skylarkfold.relay import _effect
from skylarkfold.relay import _item
from skylarkfold.relay import _messages
from skylarkfold.relay import _peer
from skylarkfold.relay import _peers
from skylarkfold.relay import _rate_limiter
from skylarkfold.relay import _settings
from skylarkfold.relay import _topic
from skylarkfold import revision as revisions
from skylarkfold import upstream_load

_NEVER = float('-inf')
_Loads = dict[int, upstream_load.UpstreamLoad]


class Announcer:
    """Builder of this instance's beacons and of the load reports in them.

    "Near" stands for the neighbours in this instance's zone, "far" for those
    in other zones.

    :param own: this instance.
    :param peers: the known instances.
    :param topics: the replicated topics.
    :param settings: the relay's settings.
    :ivar callers: the reports on the demand of callers.
    """

    __slots__ = (
        '_next_far_details',
        '_next_near_details',
        '_other_zones_load_limiter',
        '_own',
        '_own_load_limiter',
        '_peers',
        '_settings',
        '_topics',
        '_zone_load_limiter',
        '_zone_loads',
        'callers',
    )

    def __init__(
        self,
        own: _peer.Peer,
        peers: _peers.PeerTable,
        topics: list[_topic.Topic],
        settings: _settings.RelaySettings,
    ) -> None:
        self._own = own
        self._peers = peers
        self._topics = topics
        self._settings = settings
        budget = settings.load_bytes_per_second
        self._own_load_limiter = _rate_limiter.LoadReportLimiter(budget)
        self._zone_load_limiter = _rate_limiter.LoadReportLimiter(budget)
        self._other_zones_load_limiter = _rate_limiter.LoadReportLimiter(
            budget
        )
        # The loads of each other zone and when they were reported.
        self._zone_loads: dict[str, tuple[float, _Loads]] = {}
        self._next_near_details = _NEVER
        self._next_far_details = _NEVER
        self.callers = _callers.CallerReports(
            own.zone,
            settings.caller_bytes_per_second,
            settings.caller_word_seconds,
        )

    def notify_zone(
        self,
        now: float,
        doubts: tuple[int, ...] = (),
        lost: tuple[int, ...] = (),
    ) -> list[object]:
        """Send the neighbours in this zone a beacon about upstreams.

        :param now: the current time.
        :param doubts: incarnations of upstreams in doubt; peers that have
            heard from them lately answer.
        :param lost: incarnations of upstreams that were found unreachable.
        :returns: the effects to perform.
        """
        hosts = self._peers.list_hosts(is_near=True)
        if not hosts:
            return []
        beacon = self.build(now)
        beacon.doubts = doubts
        beacon.lost = lost
        return [_effect.SendBeacon(hosts, beacon)]

    def answer(
        self, now: float, host: str, last_seen: dict[int, float]
    ) -> list[object]:
        """Answer a peer that asked about upstreams in doubt.

        :param now: the current time.
        :param host: the peer's host.
        :param last_seen: how many seconds ago each upstream was heard here,
            by incarnation.
        :returns: the effects to perform.
        """
        if not last_seen:
            return []
        beacon = self.build(now)
        beacon.last_seen = last_seen
        return [_effect.SendBeacon([host], beacon)]

    def push(
        self,
        now: float,
        topic: _topic.Topic,
        base: revisions.Revision,
        changed: list[_item.Item],
        source: str,
    ) -> list[object]:
        """Send changes of a topic to the neighbours that lack them.

        Large changes are only announced; the neighbours fetch them.

        :param now: the current time.
        :param topic: the topic.
        :param base: the topic's position before the changes.
        :param changed: the changed objects.
        :param source: the host that sent the changes, which is left out.
        :returns: the effects to perform.
        """
        hosts = [
            peer.host
            for peer in self._list_lagging_neighbours(topic)
            if peer.host != source
        ]
        if not hosts:
            return []
        delta = None
        is_same_era = base.era == topic.position.era
        if (
            is_same_era
            and _codec.measure_items(changed) <= self._settings.push_bytes
        ):
            delta = _messages.TopicDelta(topic.number, base, tuple(changed))
        return [_effect.SendBeacon(hosts, self.build(now, delta))]

    def _list_lagging_neighbours(
        self, topic: _topic.Topic
    ) -> list[_peer.Peer]:
        lagging = []
        for name in self._peers.list_neighbours():
            peer = self._peers.members[name]
            if not peer.positions or not peer.is_reachable:
                continue
            if peer.positions[topic.number].revision < topic.changed:
                lagging.append(peer)
        return lagging

    def send_near(self, now: float) -> list[object]:
        """Send the regular beacon to the neighbours in this zone.

        :param now: the current time.
        :returns: the effects to perform.
        """
        hosts = self._peers.list_hosts(is_near=True)
        if not hosts:
            return []
        own = self._own
        loads: list[_messages.LoadReport] = []
        if self._own_load_limiter.may_send(now):
            loads.append(
                self._build_load_report(own.name, False, 0.0, own.loads)
            )
            self._own_load_limiter.record_reports(now, loads, len(hosts))
        known_instances: tuple[_messages.KnownInstance, ...] = ()
        ages: dict[int, float] = {}
        if now >= self._next_near_details:
            self._next_near_details = now + self._settings.slow_seconds
            known_instances, ages = self._peers.gossip.choose_for_zone(now)
            loads += self._build_zone_reports(now, len(hosts))
        beacon = self.build(
            now, loads=tuple(loads), known_instances=known_instances
        )
        beacon.ages = ages
        beacon.silent = self._peers.gossip.list_silent(now, is_near=True)
        beacon.callers = self.callers.choose_near(now, len(hosts))
        return [_effect.SendBeacon(hosts, beacon)]

    def send_far(self, now: float) -> list[object]:
        """Send the regular beacon to the neighbours in other zones.

        Traffic between zones is expensive, so these beacons hold less.

        :param now: the current time.
        :returns: the effects to perform.
        """
        hosts = self._peers.list_hosts(is_near=False)
        if not hosts:
            return []
        loads: tuple[_messages.LoadReport, ...] = ()
        known_instances: tuple[_messages.KnownInstance, ...] = ()
        if now >= self._next_far_details:
            self._next_far_details = now + self._settings.slow_seconds
            known_instances = self._peers.gossip.choose_for_other_zones(now)
            if self._zone_load_limiter.may_send(now):
                total = self._peers.sum_loads()
                loads = (
                    self._build_load_report(self._own.zone, True, 0.0, total),
                )
                self._zone_load_limiter.record_reports(now, loads, len(hosts))
        beacon = self.build(now, loads=loads, known_instances=known_instances)
        beacon.silent = self._peers.gossip.list_silent(now, is_near=False)
        beacon.callers = self.callers.choose_far(now, len(hosts))
        return [_effect.SendBeacon(hosts, beacon)]

    def _build_zone_reports(
        self, now: float, hosts: int
    ) -> list[_messages.LoadReport]:
        if not self._other_zones_load_limiter.may_send(now):
            return []
        reports = [
            self._build_load_report(zone, True, max(0.0, now - at), loads)
            for zone, (at, loads) in self._zone_loads.items()
            if now - at <= 2 * self._settings.slow_seconds
        ]
        self._other_zones_load_limiter.record_reports(now, reports, hosts)
        return reports

    def _build_load_report(
        self, source: str, is_zone: bool, age_seconds: float, loads: _Loads
    ) -> _messages.LoadReport:
        if len(loads) > self._settings.load_entries:
            busiest = heapq.nlargest(
                self._settings.load_entries,
                loads.items(),
                key=lambda each: (each[1].busy, each[1].flows),
            )
            loads = dict(busiest)
        return _messages.LoadReport(source, is_zone, age_seconds, loads)

    def contact(self, now: float, hosts: list[str]) -> list[object]:
        """Send hosts a beacon that asks for an answer.

        :param now: the current time.
        :param hosts: the hosts; this instance's own is left out.
        :returns: the effects to perform.
        """
        others = [host for host in hosts if host != self._own.host]
        if not others:
            return []
        # The first host to answer is asked for a snapshot. The order differs
        # between instances, so that not all that start at the same moment ask
        # the same one.
        first = self._own.digest % len(others)
        others = others[first:] + others[:first]
        return [_effect.SendBeacon(others, self.build(now, is_asking=True))]

    def handle_loads(
        self, now: float, beacon: _messages.Beacon
    ) -> list[object]:
        """Process the load reports in a peer's beacon.

        :param now: the current time.
        :param beacon: the beacon.
        :returns: the effects to perform.
        """
        effects: list[object] = []
        for report in beacon.loads:
            if not report.is_zone:
                self._peers.members[beacon.name].loads = report.loads
                effects.append(
                    _effect.PeerLoadReported(beacon.name, report.loads)
                )
                continue
            at = now - report.age_seconds
            known, _ = self._zone_loads.get(report.source, (_NEVER, {}))
            if report.source != self._own.zone and at > known:
                self._zone_loads[report.source] = (at, report.loads)
                source = f'zone:{report.source}'
                effects.append(_effect.PeerLoadReported(source, report.loads))
        return effects

    def build(
        self,
        now: float,
        delta: _messages.TopicDelta | None = None,
        loads: tuple[_messages.LoadReport, ...] = (),
        known_instances: tuple[_messages.KnownInstance, ...] = (),
        is_asking: bool = False,
    ) -> _messages.Beacon:
        """Build a beacon.

        :param now: the current time.
        :param delta: changes of a topic.
        :param loads: load reports.
        :param known_instances: other instances, for the receiver to learn of.
        :param is_asking: whether the receiver is asked to answer.
        :returns: the beacon.
        """
        return _messages.Beacon(
            self._own.name,
            self._own.zone,
            self._own.capacity,
            self._own.is_leaving,
            is_asking,
            tuple(topic.build_position(now) for topic in self._topics),
            delta,
            loads,
            known_instances,
        )
