"""Caller that holds datagram flows."""

from __future__ import annotations

import asyncio
import time

import msgspec

from skylarkfold.load import _latency
from skylarkfold.load import _network_path
from skylarkfold.load import _result
from skylarkfold.load import _traffic
from skylarkfold import standin

MAX_TRACKED_DATAGRAMS = 16

_encoder = msgspec.msgpack.Encoder()
_reply_decoder = msgspec.msgpack.Decoder(standin.EchoReply)
_probe_decoder = msgspec.msgpack.Decoder(standin.Probe)


class Flow(asyncio.DatagramProtocol):
    """Datagram flow with its own socket, whose packets go to any instance.

    :param number: the flow's number within its caller.
    :param traffic: the traffic that the flow belongs to.
    :param latency: the recorder of its latencies.
    """

    def __init__(
        self,
        number: int,
        traffic: _traffic.Datagrams,
        latency: _latency.LatencyRecorder,
    ) -> None:
        self._number = number
        self._traffic = traffic
        self._latency = latency
        self._sent_at: dict[int, float] = {}
        self.result = _result.FlowResult(traffic.name, traffic.service, '')
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Record the flow's local address."""
        self.transport = transport
        host, port = transport.get_extra_info('sockname')
        self.result.caller = f'{host}:{port}'

    def send(self, target: tuple[str, int]) -> None:
        """Send the next datagram.

        :param target: the host of an instance and the port of the service.
        """
        now = time.monotonic()
        self.result.sent += 1
        self.result.first_sent = self.result.first_sent or now
        self.result.last_sent = now
        self._sent_at[self.result.sent] = now
        self._sent_at.pop(self.result.sent - MAX_TRACKED_DATAGRAMS, None)
        probe = standin.Probe(
            self.result.sent, self._traffic.service, self._number
        )
        self.transport.sendto(_encoder.encode(probe), target)

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        """Record a reply, as misdelivered if it is not for this flow."""
        now = time.monotonic()
        try:
            reply = _reply_decoder.decode(data)
            probe = _probe_decoder.decode(reply.payload)
        except msgspec.DecodeError:
            self.result.misdelivered += 1
            return
        if not self._is_own_reply(reply, probe):
            self.result.misdelivered += 1
            return
        self._record_reply(now, reply.upstream, probe.sequence)

    def _is_own_reply(
        self, reply: standin.EchoReply, probe: standin.Probe
    ) -> bool:
        service = self._traffic.service
        return (
            reply.caller == self.result.caller
            and reply.service == service == probe.service
            and probe.flow == self._number
        )

    def _record_reply(self, now: float, upstream: str, sequence: int) -> None:
        self.result.answered += 1
        self.result.last_answered = now
        upstreams = self.result.upstreams
        upstreams[upstream] = upstreams.get(upstream, 0) + 1
        sent = self._sent_at.pop(sequence, None)
        if sent is not None:
            self._latency.record(self._traffic.name, now - sent)

    def error_received(self, error: OSError) -> None:
        """Ignore ICMP errors of instances whose port is closed."""


class FlowCaller:
    """Holder of the datagram flows of one traffic entry.

    :param traffic: the traffic to generate.
    :param path: the network path of the flows.
    """

    def __init__(
        self, traffic: _traffic.Datagrams, path: _network_path.NetworkPath
    ) -> None:
        self._traffic = traffic
        self._path = path
        self._started = 0
        self.results: list[_result.FlowResult] = []

    async def run(self) -> None:
        """Open the flows and hold them until cancelled."""
        await asyncio.sleep(self._traffic.start_seconds)
        pause = self._traffic.ramp_seconds / max(1, self._traffic.flows)
        async with asyncio.TaskGroup() as group:
            for _ in range(self._traffic.flows):
                group.create_task(self._hold_flows())
                await asyncio.sleep(pause)

    async def _hold_flows(self) -> None:
        while True:
            await self._hold_flow()

    async def _hold_flow(self) -> None:
        flow = await self._open_flow()
        lifetime_seconds = self._traffic.lifetime_seconds
        ends_at = time.monotonic() + (lifetime_seconds or float('inf'))
        next_send = time.monotonic()
        try:
            while next_send < ends_at:
                flow.send((self._path.fabric.choose(), self._path.port))
                next_send += self._traffic.interval_seconds
                await asyncio.sleep(max(0.0, next_send - time.monotonic()))
        finally:
            flow.transport.close()

    async def _open_flow(self) -> Flow:
        loop = asyncio.get_running_loop()
        self._started += 1
        number = self._started
        _, flow = await loop.create_datagram_endpoint(
            lambda: Flow(number, self._traffic, self._path.latency),
            local_addr=(self._path.host, 0),
        )
        self.results.append(flow.result)
        return flow
