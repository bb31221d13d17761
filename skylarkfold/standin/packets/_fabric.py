"""The routers between callers and instances."""

from __future__ import annotations

import random
import socket

from skylarkfold import reactor
from skylarkfold.standin.packets import _wire

_CHECK_SECONDS = 0.5
_MISSES = 2


class _Target:
    def __init__(
        self,
        zone: str,
        packets: tuple[str, int],
        ready: tuple[str, int],
    ) -> None:
        self.zone = zone
        self.packets = packets
        self.ready = ready
        self.misses = _MISSES
        self.loss = 0.0

    @property
    def is_in(self) -> bool:
        return self.misses < _MISSES


class Fabric:
    """Sends each packet to an instance in rotation, by its flow's hash.

    :param loop: the event loop.
    :param draw: draws the packets that get lost.
    """

    def __init__(
        self, loop: reactor.Loop, draw: random.Random | None = None
    ) -> None:
        self._loop = loop
        self._draw = draw or random.Random(0)
        self._targets: dict[str, _Target] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        loop.call_every(_CHECK_SECONDS, self._check_all)

    def add(
        self,
        name: str,
        zone: str,
        packets: tuple[str, int],
        ready: tuple[str, int],
    ) -> None:
        """Know an instance.

        :param name: its name.
        :param zone: its availability zone.
        :param packets: where it takes packets.
        :param ready: where its readiness is asked for.
        """
        self._targets[name] = _Target(zone, packets, ready)

    def remove(self, name: str) -> None:
        """Forget an instance."""
        self._targets.pop(name, None)

    def set_loss(self, name: str, share: float) -> None:
        """Have packets to an instance get lost, as on a full link.

        :param name: its name.
        :param share: how many of them.
        """
        target = self._targets.get(name)
        if target is not None:
            target.loss = share

    def is_in_rotation(self, name: str) -> bool:
        """Tell whether an instance gets packets."""
        found = self._targets.get(name)
        return found is not None and found.is_in

    def send(
        self,
        zone: str,
        source: tuple[str, int],
        address: tuple[str, int],
        data: bytes,
    ) -> None:
        """Send a caller's packet to an instance of its zone.

        :param zone: the caller's.
        :param source: the caller's end of the flow.
        :param address: the service's end.
        :param data: the packet.
        """
        targets = self._list_targets(zone)
        if not targets:
            return
        hashed = _wire.hash_bytes(f'{source}{address}'.encode())
        target = targets[hashed % len(targets)]
        if target.loss and self._draw.random() < target.loss:
            return
        try:
            self._socket.sendto(data, target.packets)
        except OSError:
            # Nobody listens there any more: the packet is lost.
            return

    def _list_targets(self, zone: str) -> list[_Target]:
        known = [each for each in self._targets.values() if each.zone == zone]
        ready = [each for each in known if each.is_in]
        if 2 * len(ready) < len(known):
            return known
        return ready

    def _check_all(self) -> None:
        for target in list(self._targets.values()):
            self._check(target)

    def _check(self, target: _Target) -> None:
        client = reactor.HttpClient(self._loop, target.ready)

        def answered(reply: reactor.Reply) -> None:
            target.misses = 0 if reply.status == 200 else target.misses + 1
            self._loop.call_later(0.0, client.close)

        client.request('GET', '/readiness', b'', _CHECK_SECONDS, answered)

    def close(self) -> None:
        """Close its socket."""
        self._socket.close()
