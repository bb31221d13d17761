"""The daemon: decisions, sockets, timers and signals."""

from __future__ import annotations

import gc

from skylarkfold import affinity
from skylarkfold import deferred_log
from skylarkfold import errors
from skylarkfold.forwarder import _departure
from skylarkfold.forwarder import _gauges
from skylarkfold.forwarder import _metrics
from skylarkfold.forwarder import _peer_messages
from skylarkfold.forwarder import _peers
from skylarkfold.forwarder import _platform
from skylarkfold.forwarder import _probe
from skylarkfold.forwarder import _reporter
from skylarkfold.forwarder import _retention_policy
from skylarkfold.forwarder import _rhythm
from skylarkfold.forwarder import _settings
from skylarkfold.forwarder import _sharing
from skylarkfold.forwarder import _store_sync
from skylarkfold.forwarder import _topics
from skylarkfold.forwarder import _traffic
from skylarkfold import light_imports
from skylarkfold import machine
from skylarkfold import reactor
from skylarkfold import relay
from skylarkfold import revision as revisions
from skylarkfold import room as rooms

# Packets read before timers and other sockets have their turn.
_BATCH_PACKETS = 64
_PACKET_BYTES = 2048
# How often the relay is told this instance's load; as often as it tells.
_LOAD_SECONDS = 0.2
_FLUSH_SECONDS = 0.1
_COUNTERS_SECONDS = 10.0
# How often the settings are looked at; they may change without a signal.
_SETTINGS_SECONDS = 1.0
# After the start the log, the collector of garbage and callers' shares wait
# for so long: those that came back after a restart of everything go first.
_SETTLED_SECONDS = 2.0


class Forwarder:
    """One instance: feeds its decisions and performs their effects.

    :param settings: its identity, addresses and limits.
    :param file: where they are read again.
    :param own: what is not the platform's to say.
    :param platform: the platform's bytes.
    :param packets: the socket for callers' packets; they wait in the
        kernel until this instance reads them.
    :raises OSError: if an address can't be bound.
    """

    def __init__(
        self,
        settings: machine.MachineSettings,
        file: machine.SettingsFile,
        own: _settings.ForwarderSettings,
        platform: _platform.Platform,
        packets: light_imports.Socket,
    ) -> None:
        self._settings = settings
        self._file = file
        self._knowledge = _topics.Knowledge(platform, settings)
        _settings.apply_machine_settings(own, settings)
        own.relay.topics = self._knowledge.topics
        own.relay.shared_topics = self._knowledge.shared_topics
        own.relay.lasting_topics = self._knowledge.lasting_topics
        self._platform = platform
        self._packets = packets
        self._loop = reactor.Loop()
        self._reporter = _reporter.Reporter(
            settings.name, own.log, platform.list_counters
        )
        room = rooms.InstanceHeadroom(own.room, settings.link_bytes_per_second)
        self._link = _traffic.LinkCount(room)
        self._affinity = affinity.AffinityCore(
            settings.zone, own.affinity, room
        )
        self._questions = _peer_messages.Questions(self._reporter)
        self._relay = relay.RelayCore(
            settings.name,
            settings.zone,
            settings.peer_address[0],
            own.relay,
            settings.capacity,
            _retention_policy.Precedence(platform, own),
        )
        self._relay.set_seeds(settings.seeds)
        self._sharing = _sharing.CallerSharing(
            self._affinity, self._relay, self._reporter
        )
        self._own = own
        self._peers = _peers.PeerSockets(
            self._loop, settings.peer_address, self
        )
        self._store = _store_sync.StoreLink(
            self._loop,
            platform,
            self._knowledge,
            self._relay,
            self._affinity,
            self._reporter,
            self._perform,
        )
        self._departure: _departure.Departure | None = None
        self._packet_at = float('-inf')
        self._next_tick = self._loop.call_later(0.0, self._tick)
        self._performers = {
            affinity.Forward: self._forward,
            affinity.Reset: self._reset,
            affinity.Drop: _ignore,
            affinity.QueryPeers: self._questions.ask,
            affinity.Probe: self._probe,
            affinity.RecordDecision: self._reporter.record,
            affinity.NotifyPeers: self._questions.tell,
            relay.CancelCall: self._store.cancel,
            relay.CallStore: self._store.call,
            relay.TopicChanged: self._store.take_change,
            relay.Fetch: self._peers.fetch,
            relay.RecordEvent: self._note,
            relay.CallerDemandReported: lambda wanted: self._sharing.take(
                self._loop.now(), wanted
            ),
            relay.LastSeenReported: self._take_heard,
            relay.PeerLoadReported: self._take_load,
            relay.UnreachableReported: self._take_lost,
            relay.LastSeenRequested: self._tell_heard,
            relay.SendBeacon: self._peers.send,
        }
        self._servers = [
            reactor.HttpServer(
                self._loop, settings.ready_address, self._answer_check
            )
        ]
        if own.metrics_port:
            address = (settings.peer_address[0], own.metrics_port)
            self._servers.append(
                reactor.HttpServer(self._loop, address, self._show_metrics)
            )

    def run(self) -> None:
        """Serve until a planned stop is finished."""
        loop = self._loop
        loop.watch(self._packets, reactor.READ, lambda _: self._take_packets())
        loop.on_signal(light_imports.SIGTERM, self._stop)
        loop.on_signal(light_imports.SIGINT, self._stop)
        loop.on_signal(light_imports.SIGHUP, self._reload)
        loop.call_every(_LOAD_SECONDS, self._tell_load)
        loop.call_every(_FLUSH_SECONDS, self._flush)
        loop.call_every(_COUNTERS_SECONDS, self._say_counters)
        loop.call_every(_SETTINGS_SECONDS, lambda: self._reload(False))
        loop.call_later(_SETTLED_SECONDS, self._settle)
        loop.call_later(_SETTLED_SECONDS, self._begin_sharing)
        self._reporter.log('started', zone=self._settings.zone)
        try:
            self._perform(self._relay.tick(loop.now()))
            loop.run()
            self._close()
        finally:
            self._settle()

    @property
    def _is_ready(self) -> bool:
        departure = self._departure
        is_in = departure is None or departure.left_at is None
        return self._affinity.is_ready and is_in

    def _settle(self) -> None:
        gc.enable()
        self._reporter.open()
        self._reporter.flush()

    def _begin_sharing(self) -> None:
        is_asked = self._platform.asks_for_shares(self._settings)
        self._sharing.put(self._own, is_asked)

    def _stop(self) -> None:
        if self._departure is None:
            now = self._loop.now()
            grace = self._settings.grace_seconds
            self._departure = _departure.Departure(now, grace)
            self._reporter.log('stopping', grace_seconds=grace)
            self._check_departure(now, self._departure)

    def _reload(self, is_forced: bool = True) -> None:
        try:
            settings = self._file.reread(is_forced)
        except errors.SettingsError as error:
            self._reporter.log(
                'settings', deferred_log.ERROR, reason='kept', error=str(error)
            )
            return
        if settings is None:
            return
        before, self._settings = self._settings, settings
        is_asked = self._platform.asks_for_shares(settings)
        self._sharing.reload(self._own, is_asked)
        self._relay.set_seeds(settings.seeds)
        if settings.zones != before.zones:
            self._knowledge.zones = settings.zones
            self._store.apply_all()
        reason = 'reloaded'
        if settings.list_addresses() != before.list_addresses():
            # The sockets are bound: only a restart moves them.
            reason = 'restart-needed'
        self._reporter.log('settings', reason=reason, seeds=settings.seeds)

    def _take_packets(self) -> None:
        now = self._packet_at = self._loop.now()
        receive = self._packets.recv
        decode = self._platform.decode_packet
        for _ in range(_BATCH_PACKETS):
            try:
                data = receive(_PACKET_BYTES)
            except BlockingIOError:
                break
            self._link.count_received(len(data))
            packet = decode(data)
            if packet is None:
                self.count(_metrics.PACKET_MALFORMED)
                continue
            self._perform(self._affinity.handle_packet(now, packet))
        self._link.note(now)
        self._follow_up(now)

    def _follow_up(self, now: float) -> None:
        """Ask peers, and look again when something is due."""
        self._perform(self._questions.send(now, self._relay.announcer))
        pause = _rhythm.compute_pause(
            now, self._affinity.find_due(now), self._relay.is_ready
        )
        if self._next_tick.due <= now + pause:
            return
        self._next_tick.cancel()
        self._next_tick = self._loop.call_later(pause, self._tick)

    def _perform(self, effects: list[object]) -> None:
        for wanted in effects:
            self._performers[type(wanted)](wanted)

    def _forward(self, wanted: affinity.Forward) -> None:
        upstream = wanted.upstream
        data = self._platform.encode_forward(upstream, wanted.data)
        self._send(data, upstream.address)

    def _reset(self, wanted: affinity.Reset) -> None:
        data, caller = self._platform.encode_reset(
            wanted.flow, wanted.acknowledged
        )
        self._send(data, caller)

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        self._link.count_sent(len(data))
        try:
            self._packets.sendto(data, address)
        except OSError as error:
            # A full buffer or an address without a way to it: the packet
            # is lost, as it may be on any link, and its sender repeats.
            self.count(f'{_metrics.SEND_FAILED}.{error.errno}')

    def _take_lost(self, wanted: relay.UnreachableReported) -> None:
        now = self._loop.now()
        self._perform(
            self._affinity.handle_unreachable(now, wanted.incarnations)
        )
        self._follow_up(now)

    def _tell_heard(self, wanted: relay.LastSeenRequested) -> None:
        now = self._loop.now()
        last_seen = self._affinity.list_last_seen(now, wanted.incarnations)
        announcer = self._relay.announcer
        self._perform(announcer.answer(now, wanted.host, last_seen))

    def _take_heard(self, wanted: relay.LastSeenReported) -> None:
        self._affinity.handle_last_seen(self._loop.now(), wanted.last_seen)

    def _probe(self, wanted: affinity.Probe) -> None:
        _probe.probe(self._loop, wanted, self._take_probe)

    def _take_probe(
        self, upstream: affinity.Upstream, outcome: str, is_control: bool
    ) -> None:
        self.count(f'{_metrics.PROBE}.{outcome}')
        now = self._loop.now()
        self._perform(
            self._affinity.handle_probe_result(
                now, upstream.name, outcome, upstream.incarnation, is_control
            )
        )
        self._follow_up(now)

    def handle_beacon(self, host: str, beacon: relay.Beacon) -> None:
        """Take a peer's beacon.

        :param host: where it came from.
        :param beacon: the beacon.
        """
        now = self._loop.now()
        self._perform(self._relay.handle_beacon(now, host, beacon))

    def handle_fetch(
        self, topic: int, position: revisions.Revision
    ) -> relay.Page | None:
        """Answer a peer that lacks something.

        :param topic: the topic's number.
        :param position: the peer's position.
        :returns: the page, None for none.
        """
        return self._relay.handle_fetch(self._loop.now(), topic, position)

    def handle_page(self, fetch: relay.Fetch, page: relay.Page | None) -> None:
        """Take the end of a fetch.

        :param fetch: what was asked.
        :param page: the answer, None for none.
        """
        self._perform(self._relay.handle_page(self._loop.now(), fetch, page))

    def count(self, name: str) -> None:
        """Count an event.

        :param name: the counter.
        """
        self._reporter.count(name)

    def _take_load(self, wanted: relay.PeerLoadReported) -> None:
        now = self._loop.now()
        self._affinity.handle_load(now, wanted.source, wanted.loads)

    def _tell_load(self) -> None:
        now = self._loop.now()
        self._relay.set_loads(self._affinity.list_loads(now))
        self._sharing.refresh(now, len(self._settings.zones))
        if self._settings.warm_up_slack is not None:
            mates = self._relay.peers.list_mates()
            self._affinity.set_mates(now, self._settings.name, mates)

    def _note(self, wanted: relay.RecordEvent) -> None:
        self.count(f'{_metrics.RELAY}.{wanted.reason}')
        self._reporter.log('relay', reason=wanted.reason, **wanted.details)

    def _tick(self) -> None:
        # Whatever fails in between, there is a next one.
        self._next_tick = self._loop.call_later(
            _rhythm.REST_SECONDS, self._tick
        )
        now = self._loop.now()
        lag = self._reporter.histograms[_metrics.LAG_SECONDS]
        lag.observe(self._loop.lag)
        self._link.note(now)
        self._perform(self._affinity.tick(now))
        self._perform(self._relay.tick(now))
        self._store.note_age(now)
        if self._departure is not None:
            self._check_departure(now, self._departure)
        self._follow_up(now)

    def _check_departure(
        self, now: float, departure: _departure.Departure
    ) -> None:
        if departure.must_leave(now, self._relay.may_leave(now)):
            self._reporter.log('leaving')
            self._perform(self._relay.leave(now))
        if departure.is_over(now, self._packet_at):
            self._loop.stop()

    def _answer_check(self, _path: str) -> tuple[int, bytes]:
        return (200, b'') if self._is_ready else (503, b'')

    def _show_metrics(self, _path: str) -> tuple[int, bytes]:
        gauges = _gauges.list_gauges(
            self._loop.now(), self._affinity, self._relay, self._is_ready
        )
        return 200, self._reporter.format_metrics(self._affinity, gauges)

    def _flush(self) -> None:
        self._reporter.flush()

    def _say_counters(self) -> None:
        totals = self._reporter.list_totals(self._affinity)
        self._reporter.log('counters', **totals)

    def _close(self) -> None:
        self._store.close()
        self._peers.close()
        for server in self._servers:
            server.close()
        self._packets.close()
        self._loop.close()
        self._say_counters()
        self._reporter.log('stopped')


def _ignore(_wanted: object) -> None:
    """Perform what needs nothing."""
