"""Processes of a run: stand-ins, entry instances and the caller."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import pathlib
import signal
from typing import Any

import aiohttp
import msgspec

from skylarkfold import endpoint
from skylarkfold.load import _operator
from skylarkfold.load import _ports
from skylarkfold.load import _process
from skylarkfold.load import _result
from skylarkfold.load import _scenario
from skylarkfold.load import _traffic
from skylarkfold import standin

CALLER_HOST = 1
SERVICE_HOST = 2
FIRST_INSTANCE_HOST = 10
FABRIC_LAG_SECONDS = 0.3
REQUEST_TIMEOUT_SECONDS = 60.0

Records = dict[str, standin.UpstreamRecord]


@dataclasses.dataclass(slots=True)
class Instance:
    """Running entry instance.

    :param name: the instance's name.
    :param zone: its availability zone.
    :param host: its IP address for traffic of callers and peers.
    :param peer_port: its port for streams of peers.
    :param admin_port: its port for operators.
    :param process: its process.
    """

    name: str
    zone: str
    host: str
    peer_port: int
    admin_port: int
    process: _process.Process


class Deployment:
    """All processes of a scenario.

    :param scenario: the scenario to run.
    :param folder: the folder for settings and logs.
    :ivar instances: the running instances by number.
    :ivar steady: by service, the upstreams that accept new work throughout.
    :ivar stopped_hosts: hosts of instances that were stopped or killed.
    """

    def __init__(
        self, scenario: _scenario.Scenario, folder: pathlib.Path
    ) -> None:
        self._scenario = scenario
        self._folder = folder
        self._subnet = _ports.choose_subnet()
        self._started_count = 0
        self._other_processes: list[_process.Process] = []
        self.instances: dict[int, Instance] = {}
        self.steady: dict[str, list[str]] = {}
        self.stopped_hosts: set[str] = set()

    async def __aenter__(self) -> Deployment:
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._session.close()
        processes = [each.process for each in self.instances.values()]
        processes += self._other_processes
        await asyncio.gather(*(each.stop() for each in processes))

    async def start(self) -> None:
        """Start all processes and apply the settings."""
        await asyncio.gather(self._start_platform(), self._start_upstreams())
        self.operator = _operator.Operator(
            self._scenario.team,
            self._platform_url,
            self._folder,
            self._session,
        )
        hosts = [
            self._get_instance_host(n) for n in range(self._scenario.instances)
        ]
        ports = await self._apply_settings(hosts)
        await asyncio.gather(
            *(self.start_instance(n) for n in range(len(hosts)))
        )
        await self._start_caller(ports)

    async def _start_process(
        self, name: str, arguments: list[str]
    ) -> tuple[_process.Process, str]:
        log = self._folder / f'{name}.err'
        process = _process.Process(name, arguments, log)
        return process, await process.start()

    async def _start_platform(self) -> None:
        arguments = ['-m', 'skylarkfold', 'platform-standin']
        process, address = await self._start_process('platform', arguments)
        self._other_processes.append(process)
        self._platform_url = f'http://{address}'

    async def _start_upstreams(self) -> None:
        services = {
            name: standin.ServiceSettings(
                {
                    f'{name}-{number}': standin.UpstreamSettings(
                        slots=shape.slots, behaviour=shape.behaviour
                    )
                    for number in range(1, shape.upstreams + 1)
                }
            )
            for name, shape in self._scenario.services.items()
        }
        for name, settings in services.items():
            self.steady[name] = list(settings.upstreams)
        path = self._folder / 'upstreams.json'
        path.write_bytes(
            msgspec.json.encode(standin.UpstreamStandinSettings(services))
        )
        arguments = ['-m', 'skylarkfold', 'upstream-standin']
        arguments += ['--settings', str(path)]
        process, address = await self._start_process('upstreams', arguments)
        self._other_processes.append(process)
        self._upstreams_url = f'http://{address}'

    async def read_records(self) -> Records:
        """Return the records of all upstreams, by name."""
        async with self._session.get(
            f'{self._upstreams_url}/records'
        ) as response:
            body = await response.read()
        return msgspec.json.decode(body, type=Records)

    async def _apply_settings(
        self, hosts: list[str]
    ) -> dict[str, _traffic.ServicePorts]:
        records = await self.read_records()
        services: dict[str, Any] = {}
        ports = {}
        for name, shape in self._scenario.services.items():
            port = _ports.find_port(hosts)
            request_port = _ports.find_port(hosts)
            ports[name] = _traffic.ServicePorts(port, request_port)
            services[name] = {
                'address': f'{self._subnet}.{SERVICE_HOST}:{port}',
                'request_port': request_port,
                'preference': shape.preference,
                'flow_idle_seconds': shape.flow_idle_seconds,
                'first_datagram': shape.first_datagram,
                'upstreams': self._describe_upstreams(name, records),
            }
        await self.operator.apply({'services': services})
        return ports

    def _describe_upstreams(
        self, service: str, records: Records
    ) -> dict[str, dict[str, Any]]:
        names = [
            name
            for name, record in records.items()
            if record.service == service
        ]
        return {
            name: self.describe_upstream(number, records[name])
            for number, name in enumerate(names)
        }

    def describe_upstream(
        self, number: int, record: standin.UpstreamRecord
    ) -> dict[str, Any]:
        """Return an upstream's entry for the team's settings.

        :param number: the upstream's number within its service.
        :param record: the record of the running upstream.
        :returns: the entry.
        """
        shape = self._scenario.services[record.service]
        zones = self._scenario.zones
        return {
            'address': record.address,
            'request_port': record.request_port,
            'zone': zones[number % len(zones)],
            'slots': shape.slots,
            'connections': shape.connections,
        }

    def _get_instance_host(self, number: int) -> str:
        return f'{self._subnet}.{FIRST_INSTANCE_HOST + number}'

    async def start_instance(self, number: int) -> None:
        """Start an entry instance under a new name.

        It is registered with the platform before it starts, and receives
        traffic of callers once it is ready.

        :param number: the number of the instance or of the one it replaces.
        """
        instance = self._build_instance(number)
        await self._register_instance(instance, leaving=False)
        await instance.process.start()
        self.instances[number] = instance
        await self._update_caller_targets()

    def _build_instance(self, number: int) -> Instance:
        zones = self._scenario.zones
        host = self._get_instance_host(number)
        zone = zones[number % len(zones)]
        self._started_count += 1
        name = f'entry-{number + 1}-{self._started_count}'
        peer_port = _ports.find_port([host])
        admin_port = _ports.find_port([host])
        path = self._write_settings(name, zone, host, peer_port, admin_port)
        arguments = ['-m', 'skylarkfold', 'entry', '--settings', str(path)]
        log = self._folder / f'{name}.err'
        process = _process.Process(name, arguments, log)
        return Instance(name, zone, host, peer_port, admin_port, process)

    def _write_settings(
        self, name: str, zone: str, host: str, peer_port: int, admin_port: int
    ) -> pathlib.Path:
        settings = {
            'instance': {
                'name': name,
                'zone': zone,
                'region': self._scenario.region,
                'peer_address': f'{host}:{peer_port}',
                'bind_host': host,
            },
            'platform': {'url': f'{self._platform_url}/via/{zone}'},
            'admin_address': f'{host}:{admin_port}',
            'log': {'path': str(self._folder / f'{name}.log')},
            **self._scenario.entry,
        }
        path = self._folder / f'{name}.json'
        path.write_text(json.dumps(settings, indent=2))
        return path

    async def _register_instance(
        self, instance: Instance, leaving: bool
    ) -> None:
        entry = {
            'zone': instance.zone,
            'region': self._scenario.region,
            'address': f'{instance.host}:{instance.peer_port}',
            'leaving': leaving,
        }
        url = f'{self._platform_url}/instances/{instance.name}'
        await self._put(url, entry)

    async def _put(self, url: str, body: object) -> bytes:
        timeout = aiohttp.ClientTimeout(REQUEST_TIMEOUT_SECONDS)
        async with self._session.put(
            url, json=body, timeout=timeout
        ) as response:
            response.raise_for_status()
            return await response.read()

    async def _deregister_instance(self, instance: Instance) -> None:
        url = f'{self._platform_url}/instances/{instance.name}'
        async with self._session.delete(url):
            return

    async def stop_instance(self, number: int) -> int:
        """Stop an entry instance gracefully.

        Callers stop sending to it a short time after it is told to stop.

        :param number: the instance's number.
        :returns: its exit status.
        """
        instance = self._remove_instance(number)
        await self._register_instance(instance, leaving=True)
        instance.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(FABRIC_LAG_SECONDS)
        await self._update_caller_targets()
        self._other_processes.append(instance.process)
        status = await instance.process.wait()
        await self._deregister_instance(instance)
        return status

    def _remove_instance(self, number: int) -> Instance:
        instance = self.instances.pop(number)
        self.stopped_hosts.add(instance.host)
        return instance

    async def kill_instance(self, number: int) -> None:
        """Kill an entry instance.

        :param number: the instance's number.
        """
        instance = self._remove_instance(number)
        instance.process.send_signal(signal.SIGKILL)
        await instance.process.wait()
        await asyncio.sleep(FABRIC_LAG_SECONDS)
        await self._update_caller_targets()
        await self._deregister_instance(instance)

    async def pause_instance(self, number: int, for_seconds: float) -> None:
        """Suspend the process of an entry instance for a while.

        :param number: the instance's number.
        :param for_seconds: the duration.
        """
        process = self.instances[number].process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_seconds)
        process.send_signal(signal.SIGCONT)

    async def set_faults(
        self, faults: dict[str, float | bool | int], zone: str = ''
    ) -> None:
        """Set faults of the platform stand-in.

        :param faults: the fault settings to change.
        :param zone: the affected zone; empty for all zones.
        """
        zone_path = f'/via/{zone}' if zone else ''
        await self._put(f'{self._platform_url}{zone_path}/faults', faults)

    async def set_behaviour(
        self, upstream: str, behaviour: dict[str, Any]
    ) -> None:
        """Change the behaviour of an upstream stand-in."""
        await self._put(
            f'{self._upstreams_url}/behaviour/{upstream}', behaviour
        )

    async def start_upstream(
        self, service: str, upstream: str
    ) -> standin.UpstreamRecord:
        """Start an additional upstream.

        :param service: the upstream's service.
        :param upstream: its name.
        :returns: its record, with its addresses.
        """
        shape = self._scenario.services[service]
        settings = standin.UpstreamSettings(
            slots=shape.slots, behaviour=shape.behaviour
        )
        url = f'{self._upstreams_url}/upstreams/{service}/{upstream}'
        body = await self._put(url, dataclasses.asdict(settings))
        return msgspec.json.decode(body, type=standin.UpstreamRecord)

    async def kill_upstream(self, service: str, upstream: str) -> None:
        """Stop an upstream without a drain."""
        self.steady[service].remove(upstream)
        url = f'{self._upstreams_url}/upstreams/{service}/{upstream}'
        async with self._session.delete(url) as response:
            response.raise_for_status()

    async def _start_caller(
        self, ports: dict[str, _traffic.ServicePorts]
    ) -> None:
        plan = _traffic.CallerPlan(
            seed=self._scenario.seed,
            host=f'{self._subnet}.{CALLER_HOST}',
            services=ports,
            targets=self._list_targets(),
            traffic=self._scenario.traffic,
        )
        path = self._folder / 'caller.json'
        path.write_bytes(msgspec.json.encode(plan))
        arguments = ['-m', 'skylarkfold.load.caller', str(path)]
        process, address = await self._start_process('caller', arguments)
        self._other_processes.append(process)
        self._caller_url = f'http://{address}'

    _caller_url = ''

    def _list_targets(self) -> list[str]:
        return [each.host for each in self.instances.values()]

    async def _update_caller_targets(self) -> None:
        if self._caller_url:
            await self._put(
                f'{self._caller_url}/targets', self._list_targets()
            )

    async def start_traffic(self) -> None:
        """Start the traffic of the caller."""
        await self._put(f'{self._caller_url}/start', {})

    async def finish_traffic(self) -> _result.CallerResults:
        """Stop the traffic of the caller.

        :returns: the results.
        """
        body = await self._put(f'{self._caller_url}/finish', {})
        return msgspec.json.decode(body, type=_result.CallerResults)

    async def read_platform_counts(self) -> dict[str, int]:
        """Return the platform's call counts."""
        async with self._session.get(
            f'{self._platform_url}/counts'
        ) as response:
            return await response.json()

    async def read_status(self, instance: Instance) -> dict[str, Any]:
        """Return the status that an instance reports."""
        address = endpoint.Endpoint(instance.host, instance.admin_port)
        async with self._session.get(f'http://{address}/status') as response:
            return await response.json()
