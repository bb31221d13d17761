"""The rules that are compared, each as a core of one instance."""

from __future__ import annotations

import dataclasses
import typing

from collections.abc import Callable

import xxhash

from skylarkfold import configuration as configuration_module
from skylarkfold import core as core_module
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event as event_module
from skylarkfold import flow
from skylarkfold import flows
from skylarkfold import instance as instance_module
from skylarkfold import message
from skylarkfold import service as service_module


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """A rule by which instances find a flow's upstream.

    :param name: what the results call it.
    :param make_core: makes the core of one instance.
    :param messages: the union of the core's peer messages.
    :param data_messages: those that carry a caller's datagram.
    :param preference: what the services of the run prefer.
    """

    name: str
    make_core: Callable[[instance_module.InstanceSettings], core_module.Core]
    messages: object = message.PeerMessage
    data_messages: tuple[type, ...] = ()
    preference: service_module.Preference = (
        service_module.Preference.CONTINUITY
    )


class ModuloCore:
    """Takes the flow's hash modulo the number of usable upstreams.

    :param settings: the identity of the instance.
    """

    def __init__(self, settings: instance_module.InstanceSettings) -> None:
        self._services: dict[endpoint.Endpoint, service_module.Service] = {}
        self._usable: dict[str, tuple[service_module.Upstream, ...]] = {}
        self._unhealthy: set[tuple[str, str]] = set()
        self._chosen: dict[flow.FlowKey, service_module.Upstream] = {}

    def handle(self, now: float, event: object) -> list[object]:
        """Take one event.

        :param now: the time in seconds.
        :param event: what happened.
        :returns: effects in order.
        """
        if isinstance(event, event_module.DatagramReceived):
            return [self._forward(now, event)]
        if isinstance(event, event_module.ConfigurationChanged):
            self._configure(event.configuration)
        if isinstance(event, event_module.LoadReported):
            self._report(event)
        return []

    def _configure(
        self, configuration: configuration_module.Configuration
    ) -> None:
        services = configuration.services.values()
        self._services = {each.address: each for each in services}
        self._list_usable()

    def _report(self, event: event_module.LoadReported) -> None:
        subject = (event.service, event.upstream)
        if event.reachable is (subject not in self._unhealthy):
            return
        self._unhealthy ^= {subject}
        self._list_usable()

    def _list_usable(self) -> None:
        self._chosen.clear()
        for service in self._services.values():
            self._usable[service.name] = tuple(
                each
                for each in service.upstreams
                if each.takes_new_work
                and (service.name, each.name) not in self._unhealthy
            )

    def _forward(
        self, now: float, event: event_module.DatagramReceived
    ) -> object:
        service = self._services.get(event.address)
        if service is None or not self._usable[service.name]:
            return effect.DropDatagram(
                event.address, event.caller, effect.Reason.NO_UPSTREAM
            )
        key = flow.FlowKey(service.name, event.caller)
        return effect.ForwardDatagram(
            service,
            self._choose(now, service, key),
            event.caller,
            event.payload,
            effect.Reason.PLACED,
        )

    def _choose(
        self,
        now: float,
        service: service_module.Service,
        key: flow.FlowKey,
    ) -> service_module.Upstream:
        chosen = self._chosen.get(key)
        if chosen is None:
            chosen = self._compute(self._usable[service.name], key)
            self._chosen[key] = chosen
        return chosen

    def _compute(
        self, usable: tuple[service_module.Upstream, ...], key: flow.FlowKey
    ) -> service_module.Upstream:
        return usable[flow.hash_flow(key) % len(usable)]


class RendezvousCore(ModuloCore):
    """Takes the upstream whose hash with the flow is the highest."""

    def _compute(
        self, usable: tuple[service_module.Upstream, ...], key: flow.FlowKey
    ) -> service_module.Upstream:
        digest = flow.hash_flow(key)
        return max(usable, key=lambda each: _score(digest, each))


class RendezvousTableCore(RendezvousCore):
    """Adds a table of the flows that this instance itself has seen."""

    def __init__(self, settings: instance_module.InstanceSettings) -> None:
        super().__init__(settings)
        self._table: dict[
            flow.FlowKey, tuple[service_module.Upstream, float]
        ] = {}

    def _choose(
        self,
        now: float,
        service: service_module.Service,
        key: flow.FlowKey,
    ) -> service_module.Upstream:
        upstream = self._find(now, service, key)
        if upstream is None:
            upstream = super()._choose(now, service, key)
        self._table[key] = (upstream, now)
        return upstream

    def _find(
        self,
        now: float,
        service: service_module.Service,
        key: flow.FlowKey,
    ) -> service_module.Upstream | None:
        upstream, last_seen = self._table.get(key, (None, now))
        if upstream is None or now - last_seen > service.flow_idle_seconds:
            return None
        if (service.name, upstream.name) in self._unhealthy:
            return None
        return service.get_upstream(upstream.name)


def _score(digest: int, upstream: service_module.Upstream) -> float:
    """Weigh an upstream for a flow by the weighted rendezvous rule."""
    mixed = xxhash.xxh3_64_intdigest(upstream.name.encode(), seed=digest)
    # The lowest -log(u) / weight wins; compared as u ** (1 / weight).
    return ((mixed + 1) / (2**64 + 1)) ** (1 / upstream.weight)


BASELINES = (
    Rule('modulo', ModuloCore),
    Rule('rendezvous', RendezvousCore),
    Rule('rendezvous-table', RendezvousTableCore),
)


def _make_flow_core(
    settings: instance_module.InstanceSettings,
) -> core_module.Core:
    return flows.FlowCore(settings, flows.FlowSettings())


def _list_data_messages() -> tuple[type, ...]:
    return tuple(
        each
        for each in typing.get_args(flows.MESSAGES)
        if 'payload' in each.__struct_fields__
    )


OWN_RULES = tuple(
    Rule(
        f'skylarkfold/{preference}',
        _make_flow_core,
        flows.MESSAGES,
        _list_data_messages(),
        preference,
    )
    for preference in service_module.Preference
)
