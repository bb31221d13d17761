"""Two bare rules that differ in who places a flow: receiver or home.

Both keep each flow at a home instance and nothing else: no buckets, no
replicas, nothing handed on. They serve to weigh the two ways of placing
apart from all else. New flows go to the upstreams in turn, which stands
for any choice by load: two instances don't come to the same one.
"""

from __future__ import annotations

import xxhash

from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event as event_module
from skylarkfold import flow
from skylarkfold import instance as instance_module
from skylarkfold.measure import _flow_rules
from skylarkfold import message
from skylarkfold import service as service_module


class Passed(message.PeerMessage, tag=1):
    """A caller's datagram for the flow's home."""

    host: str
    port: int
    payload: bytes


class Noted(message.PeerMessage, tag=2):
    """Flows that the sender placed, by upstream."""

    flows: dict[str, list[int]]


class HomePlacesCore(_flow_rules.ModuloCore):
    """Passes each datagram to the flow's home, which places the flow.

    :param settings: the identity of the instance.
    """

    def __init__(self, settings: instance_module.InstanceSettings) -> None:
        super().__init__(settings)
        self._name = settings.name
        self._members = [settings.name]
        self._placed = 0
        self._pins: dict[int, str] = {}
        self._notes: dict[str, dict[str, list[int]]] = {}

    def handle(self, now: float, event: object) -> list[object]:
        """Take one event.

        :param now: the time in seconds.
        :param event: what happened.
        :returns: effects in order.
        """
        if isinstance(event, event_module.MembershipChanged):
            self._members = event.membership.list_owners()
        if isinstance(event, event_module.PeerMessageReceived):
            return self._take(now, event.message)
        if isinstance(event, event_module.Tick):
            return self._drain_notes()
        if isinstance(event, event_module.DatagramReceived):
            return self._receive(now, event)
        return super().handle(now, event)

    def _receive(
        self, now: float, event: event_module.DatagramReceived
    ) -> list[object]:
        service = self._services.get(event.address)
        if service is None or not self._usable[service.name]:
            return []
        key = flow.FlowKey(service.name, event.caller)
        home = self._find_home(key)
        if home == self._name or self._may_answer(key, event):
            return [self._answer(service, key, event.payload, home)]
        passed = Passed(*event.caller, event.payload)
        return [effect.SendToPeer(home, passed)]

    def _compute(
        self, usable: tuple[service_module.Upstream, ...], key: flow.FlowKey
    ) -> service_module.Upstream:
        self._placed += 1
        return usable[self._placed % len(usable)]

    def _may_answer(
        self, key: flow.FlowKey, event: event_module.DatagramReceived
    ) -> bool:
        return False

    def _answer(
        self,
        service: service_module.Service,
        key: flow.FlowKey,
        payload: bytes,
        home: str,
    ) -> effect.ForwardDatagram:
        digest = flow.hash_flow(key)
        name = self._pins.get(digest)
        if name is None:
            name = self._compute(self._usable[service.name], key).name
            self._pins[digest] = name
            if home != self._name:
                groups = self._notes.setdefault(home, {})
                groups.setdefault(name, []).append(digest)
        upstream = service.get_upstream(name)
        return effect.ForwardDatagram(
            service, upstream, key.caller, payload, effect.Reason.PINNED
        )

    def _take(self, now: float, received: message.PeerMessage) -> list[object]:
        if isinstance(received, Noted):
            for name, digests in received.flows.items():
                for digest in digests:
                    self._pins.setdefault(digest, name)
            return []
        (service,) = self._services.values()
        caller = endpoint.Endpoint(received.host, received.port)
        key = flow.FlowKey(service.name, caller)
        return [self._answer(service, key, received.payload, self._name)]

    def _drain_notes(self) -> list[object]:
        notes = [
            effect.SendToPeer(home, Noted(groups))
            for home, groups in sorted(self._notes.items())
        ]
        self._notes.clear()
        return notes

    def _find_home(self, key: flow.FlowKey) -> str:
        digest = flow.hash_flow(key)
        return max(
            self._members,
            key=lambda name: xxhash.xxh3_64_intdigest(
                name.encode(), seed=digest
            ),
        )


class ReceiverPlacesCore(HomePlacesCore):
    """Places a flow where its first datagram arrives, and notes it home.

    Notes wait for the next tick. Other datagrams of a flow that is not
    known here go to the home.
    """

    def _may_answer(
        self, key: flow.FlowKey, event: event_module.DatagramReceived
    ) -> bool:
        return bool(event.is_first) or flow.hash_flow(key) in self._pins


PLACING_RULES = tuple(
    _flow_rules.Rule(name, core, Passed | Noted, (Passed,))
    for name, core in (
        ('receiver-places', ReceiverPlacesCore),
        ('home-places', HomePlacesCore),
    )
)
