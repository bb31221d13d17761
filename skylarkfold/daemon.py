"""The entry daemon: runs one node and its sockets."""

from __future__ import annotations

import asyncio
import logging
import signal
import time

from aiohttp import web

from skylarkfold import _cores
from skylarkfold import _effect_executor
from skylarkfold import _sockets
from skylarkfold import configuration as configuration_module
from skylarkfold import edge
from skylarkfold import effect
from skylarkfold import errors
from skylarkfold import event
from skylarkfold import log
from skylarkfold import metric
from skylarkfold import settings as settings_module

_FLUSH_SECONDS = 0.05
_METRICS_SECONDS = 1.0
_LISTEN_RETRY_SECONDS = 1.0
# Time for the final messages to be sent before the process ends.
_LEAVE_FLUSH_SECONDS = 0.2

_logger = logging.getLogger(log.LOGGER_NAME)


class Daemon:
    """Passes events from the sockets to a node and performs its effects.

    :param settings: the instance's settings.
    """

    def __init__(self, settings: settings_module.EntrySettings) -> None:
        self._settings = settings
        name = settings.instance.name
        self._counters = metric.Counters(name, settings.statsd)
        self._decisions = log.DecisionLog(name, settings.log)
        self._cores = _cores.build_cores(settings, time.time_ns() // 1_000_000)
        self._node = _cores.build_node(self._cores)
        self._configuration = configuration_module.EMPTY
        self._stopped = asyncio.Event()
        self._has_been_ready = False
        self._is_listening = False
        self._has_handed_over = False
        self._has_left = False
        self._admin: web.AppRunner | None = None
        self._runtime = edge.Runtime(
            asyncio.get_running_loop().time,
            self._counters,
            self._decisions,
            settings.log.packets,
        )
        self._runtime.handle = self.handle
        self._sockets = _sockets.build_sockets(
            settings, self._runtime, self._cores
        )
        self._executor = _effect_executor.EffectExecutor(self._sockets)
        self._executor.register(effect.StopFinished, self._finish_handover)
        self._executor.register(
            effect.PublishMembership, self._ignore_membership
        )
        self._executor.register(
            effect.PublishConfiguration, self._apply_configuration
        )

    async def run(self) -> None:
        """Serve until a planned stop has finished.

        :raises AddressInUseError: if the instance's own address can't be
            bound.
        """
        await self._open()
        _logger.info('started %s', self._settings.instance.name)
        try:
            await self._stopped.wait()
        finally:
            await self._close()

    async def _open(self) -> None:
        await self._listen()
        await self._sockets.attempts.open()
        await self._sockets.platform.open()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop)
        self._runtime.start(self._run_ticks())
        self._runtime.start(self._run_flushes())
        self._runtime.start(self._sockets.prober.run())
        self._runtime.start(self._retry_listeners())

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        instance = self._settings.instance
        host = instance.bind_host or instance.peer_address.host
        admin = self._settings.admin_address
        try:
            await loop.create_datagram_endpoint(
                lambda: self._sockets.upstream_socket, local_addr=(host, 0)
            )
            await self._sockets.peers.listen(instance.peer_address)
            if admin is not None:
                self._admin = await edge.listen_admin(admin, self.describe)
        except OSError as error:
            raise errors.AddressInUseError(str(error)) from error

    async def _close(self) -> None:
        await self._sockets.listeners.close()
        await self._sockets.streams.close()
        await self._sockets.peers.close()
        await self._runtime.cancel_all()
        await self._sockets.attempts.close()
        await self._sockets.platform.close()
        if self._admin is not None:
            await self._admin.cleanup()
        self._sockets.upstream_socket.close()
        while self._decisions.flush():
            pass
        self._counters.flush()
        _logger.info('stopped %s', self._settings.instance.name)

    def stop(self) -> None:
        """Begin a planned stop; :meth:`run` returns when it has finished."""
        _logger.info('stopping %s', self._settings.instance.name)
        self._runtime.start(self._sockets.listeners.stop_accepting())
        loop = asyncio.get_running_loop()
        loop.call_later(self._settings.edge.stop_seconds, self._leave)
        self.handle(event.StopRequested())

    def handle(self, received: object) -> None:
        """Pass one event to the node and perform its effects.

        Exceptions are logged and counted, so that a single failing event
        does not stop the daemon.

        :param received: the event.
        """
        try:
            for produced in self._node.handle(self._runtime.clock(), received):
                self._executor.execute(produced)
        except Exception:
            self._counters.add(metric.NODE_FAILURES)
            _logger.exception('failed to handle %s', type(received).__name__)

    def _finish_handover(self, produced: effect.StopFinished) -> None:
        self._has_handed_over = True
        self._check_stopped()

    def _ignore_membership(self, produced: effect.PublishMembership) -> None:
        """Do nothing: peers' addresses are looked up when needed."""

    def _apply_configuration(
        self, produced: effect.PublishConfiguration
    ) -> None:
        self._configuration = produced.configuration
        self._sockets.prober.configure(produced.configuration)
        self._sockets.streams.configure(produced.configuration)
        if self._has_been_ready:
            self._start_listeners()

    def _start_listeners(self) -> None:
        self._runtime.start(
            self._sockets.listeners.configure(self._configuration)
        )

    async def _run_ticks(self) -> None:
        while True:
            self.handle(event.Tick())
            self._check_ready()
            self._check_stopped()
            await asyncio.sleep(self._settings.edge.tick_seconds)

    def _check_stopped(self) -> None:
        # Streams can't be handed over: wait until they end or the time limit
        # of the stop expires.
        if (
            not self._has_handed_over
            or self._sockets.streams
            or self._sockets.requests
        ):
            return
        self._leave()

    def _leave(self) -> None:
        """Announce to the other instances that this one leaves, then end."""
        if self._has_left:
            return
        self._has_left = True
        for produced in self._cores.membership.leave(self._runtime.clock()):
            self._executor.execute(produced)
        loop = asyncio.get_running_loop()
        loop.call_later(_LEAVE_FLUSH_SECONDS, self._stopped.set)

    def _check_ready(self) -> None:
        if self._has_been_ready or not self._cores.is_ready:
            return
        self._has_been_ready = True
        self._runtime.start(self._start_serving())

    async def _start_serving(self) -> None:
        await self._sockets.listeners.configure(self._configuration)
        self._is_listening = True
        _logger.info('ready %s', self._settings.instance.name)
        print(f'ready {self._settings.instance.name}', flush=True)

    async def _retry_listeners(self) -> None:
        while True:
            await asyncio.sleep(_LISTEN_RETRY_SECONDS)
            if self._has_been_ready and self._sockets.listeners.has_failed:
                await self._sockets.listeners.configure(self._configuration)

    async def _run_flushes(self) -> None:
        last_metrics = 0.0
        dropped = 0
        while True:
            await asyncio.sleep(_FLUSH_SECONDS)
            self._decisions.flush()
            if self._decisions.dropped > dropped:
                newly_dropped = self._decisions.dropped - dropped
                self._counters.add(metric.LOG_LINES_DROPPED, newly_dropped)
                dropped = self._decisions.dropped
            if self._runtime.clock() - last_metrics >= _METRICS_SECONDS:
                last_metrics = self._runtime.clock()
                self._counters.flush()

    @property
    def _is_serving(self) -> bool:
        if not self._is_listening or self._sockets.listeners.has_failed:
            return False
        return self._cores.is_ready

    def describe(self) -> edge.InstanceStatus:
        """Return the current status for operators.

        :returns: the status.
        """
        members = self._cores.membership.membership.members
        return edge.InstanceStatus(
            instance=self._settings.instance.name,
            ready=self._is_serving,
            revision=self._cores.distribution.revision,
            services=sorted(self._configuration.services),
            members=[
                edge.MemberStatus(
                    each.name, each.zone, each.state.value, each.revision
                )
                for _, each in sorted(members.items())
            ],
            counters=dict(self._counters.totals),
        )


async def serve(settings: settings_module.EntrySettings) -> None:
    """Run one instance until its planned stop has finished.

    :param settings: the instance's settings.
    :raises AddressInUseError: if the instance's own address can't be bound.
    :raises SettingsError: if its certificates are invalid.
    """
    log.configure(settings.instance.name, settings.log)
    await Daemon(settings).run()
