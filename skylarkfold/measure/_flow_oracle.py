"""The oracle: which upstream each flow first reached, and its service."""

from __future__ import annotations

import collections
import dataclasses

from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import flow
from skylarkfold import service as service_module


@dataclasses.dataclass(slots=True)
class Binding:
    """What the oracle knows of one flow.

    :param upstream: the name of the upstream that it first reached.
    :param current: the name of the one that it reached last.
    :param begun: when it first reached it, in seconds.
    :param last_forward: when a packet of it last reached an upstream.
    :param broken: when it first reached another upstream, if it did.
    """

    upstream: str
    current: str
    begun: float
    last_forward: float
    broken: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Break:
    """A packet that reached another upstream than its flow's first.

    :param key: the flow.
    :param at: the time in seconds.
    :param begun: when the flow began.
    :param first: the upstream that it first reached.
    :param then: the other upstream.
    :param instance: the instance that forwarded the packet.
    """

    key: flow.FlowKey
    at: float
    begun: float
    first: str
    then: str
    instance: str


class Oracle:
    """Judges each packet that an instance forwards.

    A flow whose upstream died is released: the packets that follow count
    as that upstream's loss and as nothing else.

    :param services: the service that owns each address, for the whole run.
    """

    def __init__(self, services: dict[endpoint.Endpoint, str]) -> None:
        self.breaks: list[Break] = []
        self.misdirected: list[effect.ForwardDatagram] = []
        self.dead_upstreams: set[tuple[str, str]] = set()
        self.bindings: dict[flow.FlowKey, Binding] = {}
        self.first_reached: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.forwarded = 0
        self.dropped: collections.Counter[str] = collections.Counter()
        self.released: set[flow.FlowKey] = set()
        self._services = services
        self._owners: dict[endpoint.Endpoint, tuple[str, str]] = {}

    def learn(self, service: service_module.Service) -> None:
        """Learn which addresses belong to a service's upstreams.

        An instance may know an upstream before or without the settings
        that name it, so the run's truth counts and not its view.

        :param service: a service as it was accepted.
        """
        for upstream in service.upstreams:
            subject = (service.name, upstream.name)
            self._owners[upstream.address] = subject

    def record_forward(
        self, now: float, instance: str, sent: effect.ForwardDatagram
    ) -> None:
        """Judge one forwarded packet.

        :param now: the time in seconds.
        :param instance: who forwarded it.
        :param sent: what it forwarded.
        """
        self.forwarded += 1
        service = sent.service
        self._judge_service(sent)
        key = flow.FlowKey(service.name, sent.caller)
        binding = self.bindings.get(key)
        if binding is None:
            self._bind(now, key, sent.upstream.name)
            return
        idle = now - binding.last_forward
        if idle >= service.flow_idle_seconds:
            self._bind(now, key, sent.upstream.name)
            return
        binding.last_forward = now
        binding.current = sent.upstream.name
        if binding.upstream != sent.upstream.name:
            self._judge_move(now, instance, key, sent.upstream.name)

    def record_drop(self, drop: effect.DropDatagram) -> None:
        """Count one dropped packet.

        :param drop: what was dropped.
        """
        self.dropped[str(drop.reason)] += 1

    def forget(self, key: flow.FlowKey) -> None:
        """Forget a flow that its caller has ended.

        :param key: the flow.
        """
        self.bindings.pop(key, None)

    def count_current(
        self, since: float
    ) -> collections.Counter[tuple[str, str]]:
        """Count the flows on each upstream.

        :param since: flows without a packet since then are left out.
        :returns: numbers by the names of service and upstream.
        """
        return collections.Counter(
            (key.service, each.current)
            for key, each in self.bindings.items()
            if each.last_forward >= since
        )

    def _judge_service(self, sent: effect.ForwardDatagram) -> None:
        name = sent.service.name
        owner = self._services.get(sent.service.address)
        reached = self._owners.get(sent.upstream.address)
        if owner != name or reached != (name, sent.upstream.name):
            self.misdirected.append(sent)

    def _bind(self, now: float, key: flow.FlowKey, upstream: str) -> None:
        self.bindings[key] = Binding(upstream, upstream, now, now)
        self.first_reached[(key.service, upstream)] += 1

    def _judge_move(
        self, now: float, instance: str, key: flow.FlowKey, upstream: str
    ) -> None:
        binding = self.bindings[key]
        if (key.service, binding.upstream) in self.dead_upstreams:
            self.released.add(key)
            return
        if binding.broken is not None:
            return
        binding.broken = now
        found = Break(
            key, now, binding.begun, binding.upstream, upstream, instance
        )
        self.breaks.append(found)
