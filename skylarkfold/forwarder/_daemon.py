"""The daemon: decisions, sockets, timers and signals."""

from __future__ import annotations

import functools
import logging
import signal
import socket

from skylarkfold import affinity
from skylarkfold import errors
from skylarkfold.forwarder import _lines
from skylarkfold.forwarder import _peers
from skylarkfold.forwarder import _platform
from skylarkfold.forwarder import _probe
from skylarkfold.forwarder import _settings
from skylarkfold import reactor
from skylarkfold import relay

# Packets read before timers and other sockets have their turn.
_BATCH_PACKETS = 64
_PACKET_BYTES = 2048
# How often due decisions are made; a fraction of the patience with a
# first packet.
_TICK_SECONDS = 0.01
_FLUSH_SECONDS = 0.1
# Names of changed objects in one log line.
_LOGGED_NAMES = 20
_COUNTERS_SECONDS = 10.0
# How often the settings are looked at; they may change without a signal.
_SETTINGS_SECONDS = 1.0
# How long a planned stop waits for others of the zone to be in rotation. Two
# missed checks later, at most 1.2 s, it must be out: within 4 s in all.
_HOLD_SECONDS = 2.2
# A planned stop goes on forwarding until the readiness checks, two a
# second, have missed twice and the routers have heard of it.
_LEAVE_SECONDS = 1.6
# Then until no packet has come for so long.
_QUIET_SECONDS = 0.4
# What is left of the grace when a stop ends in any case.
_GRACE_RESERVE_SECONDS = 1.0

_logger = logging.getLogger(_lines.LOGGER_NAME)


class Forwarder:
    """One instance: feeds its decisions and performs their effects.

    :param settings: its identity, addresses and limits.
    :param platform: the platform's bytes.
    :param packets: the socket for callers' packets; they wait in the
        kernel until this instance reads them.
    :raises OSError: if an address can't be bound.
    """

    def __init__(
        self,
        settings: _settings.ForwarderSettings,
        platform: _platform.Platform,
        packets: socket.socket,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._lines = _lines.configure(settings.name)
        self.loop = reactor.Loop()
        self._affinity = affinity.AffinityCore(
            settings.zone, settings.affinity
        )
        self._relay = relay.RelayCore(
            settings.name,
            settings.zone,
            settings.peer_address[0],
            settings.relay,
            settings.capacity,
        )
        self._relay.set_seeds(settings.seeds)
        self._peers = _peers.PeerSockets(
            self.loop, settings.peer_address, self
        )
        self._store = platform.open_store(self.loop)
        self._packets = packets
        self._stopping_at: float | None = None
        self._leaving_at: float | None = None
        self._packet_at = float('-inf')
        self._was_ready = False
        self._performers = {
            affinity.Forward: self._forward,
            affinity.Reset: self._reset,
            affinity.Drop: _ignore,
            affinity.AskPeers: self._ask_peers,
            affinity.Probe: self._probe,
            affinity.Record: self._record,
            relay.CallStore: self._call_store,
            relay.Changed: self._take_change,
            relay.Fetch: self._peers.fetch,
            relay.Note: self._note,
            relay.TakeHeard: self._take_heard,
            relay.TakeLoad: self._take_load,
            relay.TellHeard: self._tell_heard,
            relay.SendBeacon: self._peers.send,
        }
        self._server = reactor.HttpServer(
            self.loop, settings.ready_address, self._answer_check
        )

    def run(self) -> None:
        """Serve until a planned stop is finished."""
        loop = self.loop
        loop.watch(self._packets, reactor.READ, lambda _: self._take_packets())
        loop.on_signal(signal.SIGTERM, self.stop)
        loop.on_signal(signal.SIGINT, self.stop)
        loop.on_signal(signal.SIGHUP, self._reload)
        loop.call_every(_TICK_SECONDS, self._tick)
        loop.call_every(_FLUSH_SECONDS, self._flush)
        loop.call_every(_COUNTERS_SECONDS, self._say_counters)
        loop.call_every(_SETTINGS_SECONDS, lambda: self._reload(False))
        self._log('started', zone=self._settings.zone)
        self._perform(self._relay.tick(loop.now()))
        loop.run()
        self._close()

    def stop(self) -> None:
        """Begin a planned stop: leave rotation first, then end."""
        if self._stopping_at is None:
            self._stopping_at = self.loop.now()
            self._log('stopping')
            self._check_stop(self._stopping_at)

    def _reload(self, is_forced: bool = True) -> None:
        try:
            settings = self._platform.reread_settings(is_forced)
        except errors.SettingsError as error:
            self._log('settings', level='error', reason='kept', error=error)
            return
        if settings is None:
            return
        before, self._settings = self._settings, settings
        self._relay.set_seeds(settings.seeds)
        reason = 'reloaded'
        if settings.list_addresses() != before.list_addresses():
            # The sockets are bound: only a restart moves them.
            reason = 'restart-needed'
        self._log('settings', reason=reason, seeds=settings.seeds)

    @property
    def is_ready(self) -> bool:
        """Whether callers' packets should be sent here."""
        return self._affinity.is_ready and self._leaving_at is None

    def _take_packets(self) -> None:
        now = self._packet_at = self.loop.now()
        receive = self._packets.recv
        decode = self._platform.decode_packet
        for _ in range(_BATCH_PACKETS):
            try:
                data = receive(_PACKET_BYTES)
            except BlockingIOError:
                return
            packet = decode(data)
            if packet is None:
                self._affinity.counters['drop.malformed'] += 1
                continue
            self._perform(self._affinity.take_packet(now, packet))

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
        try:
            self._packets.sendto(data, address)
        except OSError as error:
            # A full buffer or an address without a way to it: the packet
            # is lost, as it may be on any link, and its sender repeats.
            self._affinity.counters[f'send.{error.errno}'] += 1

    def _ask_peers(self, wanted: affinity.AskPeers) -> None:
        now = self.loop.now()
        self.count('peers.asked')
        self._perform(self._relay.ask(now, (wanted.upstream.token,)))

    def _tell_heard(self, wanted: relay.TellHeard) -> None:
        now = self.loop.now()
        heard = self._affinity.list_heard(now, wanted.tokens)
        self._perform(self._relay.answer(now, wanted.host, heard))

    def _take_heard(self, wanted: relay.TakeHeard) -> None:
        self._affinity.take_heard(self.loop.now(), wanted.heard)

    def _probe(self, wanted: affinity.Probe) -> None:
        _probe.probe(self.loop, wanted, self._take_probe)

    def _take_probe(self, name: str, outcome: str) -> None:
        now = self.loop.now()
        self._affinity.counters[f'probe.{outcome}'] += 1
        self._perform(self._affinity.take_probe(now, name, outcome))

    def _call_store(self, wanted: relay.CallStore) -> None:
        self._affinity.counters['store.calls'] += 1
        self._store.call(
            wanted.call, functools.partial(self._take_answer, wanted.call)
        )

    def _take_answer(self, call: relay.Call, answer: relay.Answer) -> None:
        self._affinity.counters[f'store.{answer.status}'] += 1
        if answer.status != relay.Status.OK:
            self._log(
                'store',
                reason=answer.status,
                topic=call.topic,
                level='warning',
            )
        now = self.loop.now()
        self._perform(self._relay.take_answer(now, call, answer))

    def _take_change(self, wanted: relay.Changed) -> None:
        now = self.loop.now()
        self._log(
            'known',
            topic=wanted.topic,
            revision=wanted.revision,
            source=wanted.source or 'store',
            names=wanted.paths[:_LOGGED_NAMES],
        )
        items = self._relay.list_items(wanted.topic)
        if wanted.topic == self._platform.routes_topic:
            routes = self._platform.decode_routes(items)
            if routes is not None:
                self._perform(self._affinity.set_routes(now, routes))
        else:
            upstreams = self._platform.decode_upstreams(items)
            self._perform(self._affinity.set_upstreams(now, upstreams))
        if self.is_ready and not self._was_ready:
            self._was_ready = True
            self._log('ready', version=self._affinity.version)

    def take_beacon(self, host: str, beacon: relay.Beacon) -> None:
        """Take a peer's beacon.

        :param host: where it came from.
        :param beacon: the beacon.
        """
        now = self.loop.now()
        self._perform(self._relay.take_beacon(now, host, beacon))

    def take_fetch(self, topic: int, position: int) -> relay.Page | None:
        """Answer a peer that lacks something.

        :param topic: the topic's number.
        :param position: the peer's position.
        :returns: the page, None for none.
        """
        return self._relay.take_fetch(self.loop.now(), topic, position)

    def take_page(self, fetch: relay.Fetch, page: relay.Page | None) -> None:
        """Take the end of a fetch.

        :param fetch: what was asked.
        :param page: the answer, None for none.
        """
        self._perform(self._relay.take_page(self.loop.now(), fetch, page))

    def count(self, name: str) -> None:
        """Count an event.

        :param name: the counter.
        """
        self._affinity.counters[name] += 1

    def _take_load(self, wanted: relay.TakeLoad) -> None:
        now = self.loop.now()
        self._affinity.take_load(now, wanted.source, wanted.flows)

    def _note(self, wanted: relay.Note) -> None:
        self.count(f'relay.{wanted.reason}')
        self._log('relay', reason=wanted.reason, **wanted.details)

    def _tick(self) -> None:
        now = self.loop.now()
        self._perform(self._affinity.tick(now))
        self._relay.set_load(self._affinity.list_flows())
        self._perform(self._relay.tick(now))
        age = self._relay.compute_age(now, self._platform.routes_topic)
        if age is not None:
            self._affinity.note_confirmed(now - age)
        if self._stopping_at is not None:
            self._check_stop(now)

    def _check_stop(self, now: float) -> None:
        most = self._settings.grace_seconds - _GRACE_RESERVE_SECONDS
        taken = now - self._stopping_at
        if self._leaving_at is None:
            is_late = taken > _HOLD_SECONDS
            if is_late or self._relay.may_leave(now):
                self._leaving_at = now
                self._log('leaving', waited_ms=int(taken * 1000))
                self._perform(self._relay.leave(now))
            return
        is_out = now - self._leaving_at > _LEAVE_SECONDS
        is_quiet = now - self._packet_at > _QUIET_SECONDS
        if (is_out and is_quiet) or taken > most:
            self.loop.stop()

    def _answer_check(self, _path: str) -> tuple[int, bytes]:
        return (200, b'') if self.is_ready else (503, b'')

    def _flush(self) -> None:
        self._lines.flush()

    def _say_counters(self) -> None:
        counters = dict(sorted(self._affinity.counters.items()))
        self._log('counters', **counters)

    def _record(self, wanted: affinity.Record) -> None:
        fields: dict[str, object] = {'reason': wanted.reason}
        if wanted.flow:
            fields['flow'] = affinity.format_flow(wanted.flow)
        if wanted.upstream:
            fields['upstream'] = wanted.upstream
        fields.update(wanted.details)
        _logger.info(wanted.kind, extra={'fields': fields})

    def _log(
        self, message: str, level: str = 'info', **fields: object
    ) -> None:
        number = logging.getLevelNamesMapping()[level.upper()]
        _logger.log(number, message, extra={'fields': fields})

    def _close(self) -> None:
        self._store.close()
        self._peers.close()
        self._server.close()
        self._packets.close()
        self.loop.close()
        self._say_counters()
        self._log('stopped')
        self._lines.flush()


def _ignore(_wanted: object) -> None:
    """Perform what needs nothing."""
