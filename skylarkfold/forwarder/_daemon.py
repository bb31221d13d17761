"""The daemon: connects the cores to sockets, timers and signals."""

from __future__ import annotations

import gc

from skylarkfold import affinity
from skylarkfold import deferred_log
from skylarkfold import errors
from skylarkfold.forwarder import _departure
from skylarkfold.forwarder import _gauges
from skylarkfold.forwarder import _metrics
from skylarkfold.forwarder import _packets
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

# Interval for updating the load in beacons; the same as between beacons.
_LOAD_SECONDS = 0.2
_FLUSH_SECONDS = 0.1
_COUNTERS_SECONDS = 10.0
# Interval for checking the settings file, which may change without a SIGHUP.
_SETTINGS_SECONDS = 1.0
# Delay after the start before garbage collection, log output and caller
# shares are enabled, so that waiting callers are served first.
_STARTUP_SECONDS = 2.0


class Forwarder:
    """One instance: feeds events to its cores and performs the effects.

    :param settings: the instance's identity, addresses and limits.
    :param file: the file from which these settings are reloaded.
    :param forwarder_settings: the settings that are not in that file.
    :param platform: translates the platform's packets and objects.
    :param packets: the bound socket for callers' packets; the kernel queues
        them until :meth:`run` reads them.
    :raises OSError: if an address can't be bound.
    """

    def __init__(
        self,
        settings: machine.MachineSettings,
        file: machine.SettingsFile,
        forwarder_settings: _settings.ForwarderSettings,
        platform: _platform.Platform,
        packets: light_imports.Socket,
    ) -> None:
        self._settings = settings
        self._file = file
        self._topic_applier = _topics.TopicApplier(platform, settings)
        _settings.apply_machine_settings(forwarder_settings, settings)
        forwarder_settings.relay.topics = self._topic_applier.topics
        forwarder_settings.relay.shared_topics = (
            self._topic_applier.shared_topics
        )
        forwarder_settings.relay.lasting_topics = (
            self._topic_applier.lasting_topics
        )
        self._platform = platform
        self._packets = packets
        self._loop = reactor.Loop()
        self._reporter = _reporter.Reporter(
            settings.name, forwarder_settings.log, platform.list_counters
        )
        room = rooms.InstanceHeadroom(
            forwarder_settings.room, settings.link_bytes_per_second
        )
        self._traffic_counter = _traffic.TrafficCounter(room)
        self._affinity = affinity.AffinityCore(
            settings.zone, forwarder_settings.affinity, room
        )
        self._peer_message_batch = _peer_messages.PeerMessageBatch(
            self._reporter
        )
        self._relay = relay.RelayCore(
            settings.name,
            settings.zone,
            settings.peer_address[0],
            forwarder_settings.relay,
            settings.capacity,
            _retention_policy.ItemRetentionPolicy(
                platform, forwarder_settings
            ),
        )
        self._relay.set_seeds(settings.seeds)
        self._sharing = _sharing.CallerSharing(
            self._affinity, self._relay, self._reporter
        )
        self._forwarder_settings = forwarder_settings
        self._peers = _peers.PeerSockets(
            self._loop, settings.peer_address, self
        )
        self._store_sync = _store_sync.StoreSync(
            self._loop,
            platform,
            self._topic_applier,
            self._relay,
            self._affinity,
            self._reporter,
            self._perform,
        )
        self._departure: _departure.Departure | None = None
        self._receiver = _packets.PacketReceiver(
            self._loop,
            packets,
            platform,
            self._traffic_counter,
            self._reporter,
            lambda now, packet: self._perform(
                self._affinity.handle_packet(now, packet)
            ),
        )
        self._tick_timer = self._loop.call_later(0.0, self._tick)
        self._effect_handlers = {
            affinity.Forward: self._forward,
            affinity.Reset: self._reset,
            affinity.Drop: _ignore,
            affinity.ConfirmRoutes: self._store_sync.confirm_routes,
            affinity.QueryPeers: self._peer_message_batch.add_query,
            affinity.Probe: self._probe,
            affinity.RecordDecision: self._reporter.record,
            affinity.NotifyPeers: self._peer_message_batch.add_notice,
            relay.CancelCall: self._store_sync.cancel,
            relay.CallStore: self._store_sync.call,
            relay.TopicChanged: self._store_sync.apply_change,
            relay.Fetch: self._peers.fetch,
            relay.RecordEvent: self._record_event,
            relay.CallerDemandReported: lambda effect: (
                self._sharing.handle_report(self._loop.now(), effect)
            ),
            relay.LastSeenReported: self._handle_last_seen,
            relay.PeerLoadReported: self._handle_peer_load,
            relay.UnreachableReported: self._handle_unreachable,
            relay.LastSeenRequested: self._answer_last_seen,
            relay.SendBeacon: self._peers.send,
        }
        self._servers = [
            reactor.HttpServer(
                self._loop, settings.ready_address, self._serve_readiness
            )
        ]
        if forwarder_settings.metrics_port:
            address = (
                settings.peer_address[0],
                forwarder_settings.metrics_port,
            )
            self._servers.append(
                reactor.HttpServer(self._loop, address, self._serve_metrics)
            )

    def run(self) -> None:
        """Serve until a graceful shutdown has finished."""
        loop = self._loop
        loop.watch(
            self._packets, reactor.READ, lambda _: self._receive_packets()
        )
        loop.on_signal(light_imports.SIGTERM, self._stop)
        loop.on_signal(light_imports.SIGINT, self._stop)
        loop.on_signal(light_imports.SIGHUP, self._reload)
        loop.call_every(_LOAD_SECONDS, self._update_load)
        loop.call_every(_FLUSH_SECONDS, self._flush)
        loop.call_every(_COUNTERS_SECONDS, self._log_counters)
        loop.call_every(_SETTINGS_SECONDS, lambda: self._reload(False))
        loop.call_later(_STARTUP_SECONDS, self._end_startup)
        loop.call_later(_STARTUP_SECONDS, self._start_sharing)
        self._reporter.log('started', zone=self._settings.zone)
        try:
            self._perform(self._relay.tick(loop.now()))
            loop.run()
            self._close()
        finally:
            self._end_startup()

    @property
    def _is_ready(self) -> bool:
        departure = self._departure
        is_in = departure is None or departure.left_at is None
        return self._affinity.is_ready and is_in

    def _end_startup(self) -> None:
        gc.enable()
        self._reporter.start_writing()
        self._reporter.flush()

    def _start_sharing(self) -> None:
        is_enabled_by_platform = self._platform.asks_for_shares(self._settings)
        self._sharing.apply_settings(
            self._forwarder_settings, is_enabled_by_platform
        )

    def _stop(self) -> None:
        if self._departure is None:
            now = self._loop.now()
            grace = self._settings.grace_seconds
            self._departure = _departure.Departure(now, grace)
            self._reporter.log('stopping', grace_seconds=grace)
            self._advance_departure(now, self._departure)

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
        previous, self._settings = self._settings, settings
        is_enabled_by_platform = self._platform.asks_for_shares(settings)
        self._sharing.reload_settings(
            self._forwarder_settings, is_enabled_by_platform
        )
        self._relay.set_seeds(settings.seeds)
        if settings.zones != previous.zones:
            self._topic_applier.zones = settings.zones
            self._store_sync.apply_all()
        reason = 'reloaded'
        if settings.list_addresses() != previous.list_addresses():
            # The sockets stay bound to the old addresses until a restart.
            reason = 'restart-needed'
        self._reporter.log('settings', reason=reason, seeds=settings.seeds)

    def _receive_packets(self) -> None:
        self._receiver.receive()
        now = self._loop.now()
        self._traffic_counter.report(now)
        self._flush_and_reschedule(now)

    def _flush_and_reschedule(self, now: float) -> None:
        """Send batched messages to peers, and move the tick forward if due."""
        self._perform(
            self._peer_message_batch.send(now, self._relay.announcer)
        )
        delay = _rhythm.compute_pause(
            now, self._affinity.find_due(now), self._relay.is_ready
        )
        if self._tick_timer.due <= now + delay:
            return
        self._tick_timer.cancel()
        self._tick_timer = self._loop.call_later(delay, self._tick)

    def _perform(self, effects: list[object]) -> None:
        for effect in effects:
            self._effect_handlers[type(effect)](effect)

    def _forward(self, effect: affinity.Forward) -> None:
        upstream = effect.upstream
        data = self._platform.encode_forward(upstream, effect.data)
        self._send(data, upstream.address)

    def _reset(self, effect: affinity.Reset) -> None:
        data, caller = self._platform.encode_reset(
            effect.flow, effect.acknowledged
        )
        self._send(data, caller)

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        self._traffic_counter.count_sent(len(data))
        try:
            self._packets.sendto(data, address)
        except OSError as error:
            # The send buffer is full or there is no route: drop the packet;
            # its sender retransmits it.
            self.count(f'{_metrics.SEND_FAILED}.{error.errno}')

    def _handle_unreachable(self, effect: relay.UnreachableReported) -> None:
        now = self._loop.now()
        self._perform(
            self._affinity.handle_unreachable(now, effect.incarnations)
        )
        self._flush_and_reschedule(now)

    def _answer_last_seen(self, effect: relay.LastSeenRequested) -> None:
        now = self._loop.now()
        last_seen = self._affinity.list_last_seen(now, effect.incarnations)
        announcer = self._relay.announcer
        self._perform(announcer.answer(now, effect.host, last_seen))

    def _handle_last_seen(self, effect: relay.LastSeenReported) -> None:
        self._affinity.handle_last_seen(self._loop.now(), effect.last_seen)

    def _probe(self, effect: affinity.Probe) -> None:
        _probe.probe(self._loop, effect, self._handle_probe_result)

    def _handle_probe_result(
        self, upstream: affinity.Upstream, outcome: str, is_control: bool
    ) -> None:
        self.count(f'{_metrics.PROBE}.{outcome}')
        now = self._loop.now()
        self._perform(
            self._affinity.handle_probe_result(
                now, upstream.name, outcome, upstream.incarnation, is_control
            )
        )
        self._flush_and_reschedule(now)

    def handle_beacon(self, host: str, beacon: relay.Beacon) -> None:
        """Handle a beacon from a peer.

        :param host: the address that it came from.
        :param beacon: the beacon.
        """
        now = self._loop.now()
        self._perform(self._relay.handle_beacon(now, host, beacon))

    def handle_fetch(
        self, topic: int, position: revisions.Revision
    ) -> relay.Page | None:
        """Return the page that a peer's fetch asks for.

        :param topic: the topic's number.
        :param position: the peer's position in the topic.
        :returns: the page; None if there is none for it.
        """
        return self._relay.handle_fetch(self._loop.now(), topic, position)

    def handle_page(self, fetch: relay.Fetch, page: relay.Page | None) -> None:
        """Handle the result of a fetch from a peer.

        :param fetch: the fetch.
        :param page: the page; None if the fetch failed.
        """
        self._perform(self._relay.handle_page(self._loop.now(), fetch, page))

    def count(self, name: str) -> None:
        """Increment a counter.

        :param name: the counter's name.
        """
        self._reporter.count(name)

    def _handle_peer_load(self, effect: relay.PeerLoadReported) -> None:
        now = self._loop.now()
        self._affinity.handle_load(now, effect.source, effect.loads)

    def _update_load(self) -> None:
        now = self._loop.now()
        self._relay.set_loads(self._affinity.list_loads(now))
        self._sharing.refresh(now, len(self._settings.zones))
        if self._settings.warm_up_slack is not None:
            mates = self._relay.peers.list_mates()
            self._affinity.set_mates(now, self._settings.name, mates)

    def _record_event(self, effect: relay.RecordEvent) -> None:
        self.count(f'{_metrics.RELAY}.{effect.reason}')
        self._reporter.log('relay', reason=effect.reason, **effect.details)

    def _tick(self) -> None:
        # Scheduled first, so that an exception below does not end the ticks.
        self._tick_timer = self._loop.call_later(
            _rhythm.REST_SECONDS, self._tick
        )
        now = self._loop.now()
        lag = self._reporter.histograms[_metrics.LAG_SECONDS]
        lag.observe(self._loop.lag)
        self._traffic_counter.report(now)
        self._perform(self._affinity.tick(now))
        self._perform(self._relay.tick(now))
        self._store_sync.report_age(now)
        if self._departure is not None:
            self._advance_departure(now, self._departure)
        self._flush_and_reschedule(now)

    def _advance_departure(
        self, now: float, departure: _departure.Departure
    ) -> None:
        if departure.must_leave(now, self._relay.may_leave(now)):
            self._reporter.log('leaving')
            self._perform(self._relay.leave(now))
        if departure.is_over(now, self._receiver.last_packet_at):
            self._loop.stop()

    def _serve_readiness(self, _path: str) -> tuple[int, bytes]:
        return (200, b'') if self._is_ready else (503, b'')

    def _serve_metrics(self, _path: str) -> tuple[int, bytes]:
        gauges = _gauges.list_gauges(
            self._loop.now(), self._affinity, self._relay, self._is_ready
        )
        return 200, self._reporter.format_metrics(self._affinity, gauges)

    def _flush(self) -> None:
        self._reporter.flush()

    def _log_counters(self) -> None:
        totals = self._reporter.list_totals(self._affinity)
        self._reporter.log('counters', **totals)

    def _close(self) -> None:
        self._store_sync.close()
        self._peers.close()
        for server in self._servers:
            server.close()
        self._packets.close()
        self._loop.close()
        self._log_counters()
        self._reporter.log('stopped')


def _ignore(_effect: object) -> None:
    """Perform an effect that requires no action."""
