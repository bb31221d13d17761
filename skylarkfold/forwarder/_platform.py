"""Interfaces that a platform implements for the daemon."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from skylarkfold import affinity
from skylarkfold import light_imports
from skylarkfold import machine
from skylarkfold import reactor
from skylarkfold import relay

AnswerCallback = Callable[[relay.Answer], object]


class Store(light_imports.Protocol):
    """A client of the platform's store."""

    def call(self, call: relay.Call, on_answer: AnswerCallback) -> None:
        """Start a call; ``on_answer`` is always called with its result."""

    def cancel(self, topic: str) -> None:
        """Abort the pending call of a topic."""

    def close(self) -> None:
        """Close all connections."""


class Platform(light_imports.Protocol):
    """Translates between a platform's formats and typed values.

    :ivar routes_topic: the topic of the objects that hold routes.
    :ivar upstreams_topic: the topic of the entries of upstreams.
    :ivar evacuations_topic: the topic of requests to evacuate a zone.
    """

    routes_topic: str
    upstreams_topic: str
    evacuations_topic: str

    def decode_packet(self, data: bytes) -> affinity.Packet | None:
        """Decode a caller's packet; return None if it is malformed."""

    def encode_forward(
        self, upstream: affinity.Upstream, data: bytes
    ) -> bytes:
        """Encode the datagram that forwards a packet to an upstream."""

    def encode_reset(
        self, flow: bytes, acknowledged: int
    ) -> tuple[bytes, tuple[str, int]]:
        """Encode a reset; return it with the caller's address."""

    def decode_routes(
        self, items: Iterable[relay.Item]
    ) -> affinity.RouteTable | None:
        """Decode the routes; return None if there are no usable ones."""

    def decode_upstreams(
        self, items: Iterable[relay.Item]
    ) -> list[affinity.Upstream]:
        """Decode the entries of upstreams; skip unusable ones."""

    def decode_upstream(self, item: relay.Item) -> affinity.Upstream | None:
        """Decode an upstream's entry; return None if it is unusable."""

    def read_version(self, item: relay.Item) -> int | None:
        """Return the version of an object of routes; None if it has none."""

    def decode_evacuations(
        self, items: Iterable[relay.Item], zones: tuple[str, ...]
    ) -> affinity.Evacuations:
        """Decode which of the zones are evacuated."""

    def asks_for_shares(self, settings: machine.MachineSettings) -> bool:
        """Return whether the deployment limits callers to their shares."""

    def list_counters(self) -> dict[str, int]:
        """Return the totals of unusable input, by counter name."""

    def open_store(self, loop: reactor.Loop) -> Store:
        """Return a new client of the store."""
