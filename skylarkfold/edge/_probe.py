"""Probes of upstreams' health and load endpoints.

A result may be stale or wrong; it is only reported to the node.
"""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from skylarkfold import configuration as configuration_module
from skylarkfold.edge import _http_session
from skylarkfold.edge import _runtime
from skylarkfold.edge import _settings
from skylarkfold import event
from skylarkfold import service as service_module

_PROBE_TIMEOUT_SECONDS = 1.0
_NO_TARGETS_DELAY_SECONDS = 0.5


class _Load(msgspec.Struct):
    running: int = 0
    flows: int = 0


class Prober:
    """Probes upstreams in turn, at a limited rate.

    :param runtime: the runtime that all parts of the daemon share.
    :param settings: the probe interval and the rate limit.
    """

    def __init__(
        self, runtime: _runtime.Runtime, settings: _settings.EdgeSettings
    ) -> None:
        self._runtime = runtime
        self._settings = settings
        self._targets: list[
            tuple[service_module.Service, service_module.Upstream]
        ] = []

    def configure(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Set the upstreams to probe.

        :param configuration: the configuration in force.
        """
        self._targets = [
            (service, upstream)
            for service in configuration.services.values()
            for upstream in service.upstreams
            if upstream.request_port
        ]

    async def run(self) -> None:
        """Probe all upstreams repeatedly until cancelled."""
        timeout = aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_SECONDS)
        async with _http_session.make_session(timeout=timeout) as session:
            while True:
                await self._probe_all(session)

    async def _probe_all(self, session: aiohttp.ClientSession) -> None:
        targets = self._targets
        if not targets:
            await asyncio.sleep(_NO_TARGETS_DELAY_SECONDS)
            return
        interval = max(
            1.0 / self._settings.probes_per_second,
            self._settings.probe_seconds / len(targets),
        )
        for service, upstream in targets:
            self._runtime.start(self._probe(session, service, upstream))
            await asyncio.sleep(interval)

    async def _probe(
        self,
        session: aiohttp.ClientSession,
        service: service_module.Service,
        upstream: service_module.Upstream,
    ) -> None:
        base_url = f'http://{upstream.address.host}:{upstream.request_port}'
        healthy = reachable = False
        load = _Load()
        try:
            async with session.get(f'{base_url}/health') as response:
                reachable = True
                healthy = response.status == 200
            async with session.get(f'{base_url}/load') as response:
                body = await response.read()
                load = msgspec.json.decode(body, type=_Load)
        except (aiohttp.ClientError, OSError, TimeoutError):
            healthy = False
        except (msgspec.MsgspecError, ValueError):
            load = _Load()
        # An answered datagram shows that an upstream is reachable even if
        # its probe timed out.
        if upstream.address in self._runtime.heard:
            self._runtime.heard.discard(upstream.address)
            reachable = True
        self._runtime.handle(
            event.LoadReported(
                service.name,
                upstream.name,
                healthy,
                load.running,
                load.flows,
                reachable,
            )
        )
