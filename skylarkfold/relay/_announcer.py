"""What an instance tells its peers."""

from __future__ import annotations

import heapq

from skylarkfold.relay import _callers
from skylarkfold.relay import _codec
from skylarkfold.relay import _effect
from skylarkfold.relay import _item
from skylarkfold.relay import _messages
from skylarkfold.relay import _pace
from skylarkfold.relay import _peer
from skylarkfold.relay import _peers
from skylarkfold.relay import _settings
from skylarkfold.relay import _topic
from skylarkfold import revision as revisions
from skylarkfold import upstream_load

_NEVER = float('-inf')
_Loads = dict[int, upstream_load.UpstreamLoad]


class Announcer:
    """Builds this instance's beacons and keeps the loads that they carry.

    :param own: this instance.
    :param peers: the others.
    :param topics: what is known here.
    :param settings: the relay's settings.
    :ivar callers: what is told of callers.
    """

    __slots__ = (
        '_far_pace',
        '_near_pace',
        '_next_slow_far',
        '_next_slow_near',
        '_own',
        '_peers',
        '_settings',
        '_topics',
        '_zone_loads',
        '_zones_pace',
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
        # Loads of other zones with the time of each.
        budget = settings.load_bytes_per_second
        self._near_pace = _pace.LoadPace(budget)
        self._far_pace = _pace.LoadPace(budget)
        self._zones_pace = _pace.LoadPace(budget)
        self._zone_loads: dict[str, tuple[float, _Loads]] = {}
        self._next_slow_near = _NEVER
        self._next_slow_far = _NEVER
        self.callers = _callers.CallerWords(
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
        """Tell the neighbours of this zone of upstreams.

        :param now: the time.
        :param doubts: incarnations of those in doubt; whoever hears them
            says so.
        :param lost: incarnations of those found out of reach.
        :returns: effects.
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
        """Answer a peer that asked which upstreams are heard here.

        :param now: the time.
        :param host: the peer.
        :param last_seen: how many seconds ago, by incarnation.
        :returns: effects.
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
        """Tell the neighbours of changes.

        :param now: the time.
        :param topic: the topic.
        :param base: up to which revision it was known here before.
        :param changed: the objects that are new.
        :param source: the host that they came from.
        :returns: effects.
        """
        hosts = [
            peer.host
            for peer in self._list_behind(topic)
            if peer.host != source
        ]
        if not hosts:
            return []
        delta = None
        is_same_era = base.era == topic.position.era
        if (
            is_same_era
            and _codec.measure(changed) <= self._settings.push_bytes
        ):
            delta = _messages.TopicDelta(topic.number, base, tuple(changed))
        return [_effect.SendBeacon(hosts, self.build(now, delta))]

    def _list_behind(self, topic: _topic.Topic) -> list[_peer.Peer]:
        behind = []
        for name in self._peers.list_neighbours():
            peer = self._peers.members[name]
            if not peer.positions or not peer.is_reachable:
                continue
            if peer.positions[topic.number].revision < topic.changed:
                behind.append(peer)
        return behind

    def send_near(self, now: float) -> list[object]:
        """Tell the neighbours of this zone how far this instance is.

        :param now: the time.
        :returns: effects.
        """
        hosts = self._peers.list_hosts(is_near=True)
        if not hosts:
            return []
        own = self._own
        loads: list[_messages.LoadReport] = []
        if self._near_pace.is_due(now):
            loads.append(self._report(own.name, False, 0.0, own.loads))
            self._near_pace.note(now, loads, len(hosts))
        known_instances: tuple[_messages.KnownInstance, ...] = ()
        ages: dict[int, float] = {}
        if now >= self._next_slow_near:
            self._next_slow_near = now + self._settings.slow_seconds
            known_instances, ages = self._peers.gossip.tell_mates(now)
            loads += self._report_zones(now, len(hosts))
        beacon = self.build(
            now, loads=tuple(loads), known_instances=known_instances
        )
        beacon.ages = ages
        beacon.silent = self._peers.gossip.list_silent(now, is_near=True)
        beacon.callers = self.callers.choose_near(now, len(hosts))
        return [_effect.SendBeacon(hosts, beacon)]

    def send_far(self, now: float) -> list[object]:
        """Tell the neighbours in other zones, whose bytes are dear.

        :param now: the time.
        :returns: effects.
        """
        hosts = self._peers.list_hosts(is_near=False)
        if not hosts:
            return []
        loads: tuple[_messages.LoadReport, ...] = ()
        known_instances: tuple[_messages.KnownInstance, ...] = ()
        if now >= self._next_slow_far:
            self._next_slow_far = now + self._settings.slow_seconds
            known_instances = self._peers.gossip.choose_heads(now)
            if self._far_pace.is_due(now):
                total = self._peers.sum_loads()
                loads = (self._report(self._own.zone, True, 0.0, total),)
                self._far_pace.note(now, loads, len(hosts))
        beacon = self.build(now, loads=loads, known_instances=known_instances)
        beacon.silent = self._peers.gossip.list_silent(now, is_near=False)
        beacon.callers = self.callers.choose_far(now, len(hosts))
        return [_effect.SendBeacon(hosts, beacon)]

    def _report_zones(
        self, now: float, hosts: int
    ) -> list[_messages.LoadReport]:
        if not self._zones_pace.is_due(now):
            return []
        reports = [
            self._report(zone, True, max(0.0, now - at), loads)
            for zone, (at, loads) in self._zone_loads.items()
            if now - at <= 2 * self._settings.slow_seconds
        ]
        self._zones_pace.note(now, reports, hosts)
        return reports

    def _report(
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
        """Ask at hosts that nothing is heard of.

        :param now: the time.
        :param hosts: the hosts; this instance's own is left out.
        :returns: effects.
        """
        others = [host for host in hosts if host != self._own.host]
        if not others:
            return []
        # Whoever answers first is asked for all it knows: not the same one by
        # all that start in the same moment.
        first = self._own.digest % len(others)
        others = others[first:] + others[:first]
        return [_effect.SendBeacon(others, self.build(now, is_asking=True))]

    def handle_loads(
        self, now: float, beacon: _messages.Beacon
    ) -> list[object]:
        """Take the loads that a peer tells.

        :param now: the time.
        :param beacon: its beacon.
        :returns: effects.
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

        :param now: the time.
        :param delta: changes that travel with it.
        :param loads: of upstreams, here or in zones.
        :param known_instances: names of others.
        :param is_asking: whether an answer is wanted.
        :returns: the beacon.
        """
        return _messages.Beacon(
            self._own.name,
            self._own.zone,
            self._own.capacity,
            self._own.is_leaving,
            is_asking,
            tuple(topic.describe(now) for topic in self._topics),
            delta,
            loads,
            known_instances,
        )
