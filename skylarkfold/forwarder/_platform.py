"""What the daemon needs of the platform that it runs on."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from skylarkfold import affinity
from skylarkfold import light_imports
from skylarkfold import machine
from skylarkfold import reactor
from skylarkfold import relay

Answered = Callable[[relay.Answer], object]


class Store(light_imports.Protocol):
    """A client of the platform's store."""

    def call(self, call: relay.Call, answered: Answered) -> None:
        """Begin a call; ``answered`` gets its end, always."""

    def cancel(self, topic: str) -> None:
        """End the call of a topic that is under way, without an answer."""

    def close(self) -> None:
        """Close all connections."""


class Platform(light_imports.Protocol):
    """Translates between a platform's bytes and typed values.

    :ivar routes_topic: the topic of the objects that hold routes.
    :ivar upstreams_topic: the topic of the upstreams' entries.
    :ivar evacuations_topic: the topic of requests to empty a zone.
    """

    routes_topic: str
    upstreams_topic: str
    evacuations_topic: str

    def decode_packet(self, data: bytes) -> affinity.Packet | None:
        """Read a caller's packet; None if it is none."""

    def encode_forward(
        self, upstream: affinity.Upstream, data: bytes
    ) -> bytes:
        """Make what an upstream is sent for a caller's packet."""

    def encode_reset(
        self, flow: bytes, acknowledged: int
    ) -> tuple[bytes, tuple[str, int]]:
        """Make a reset, and tell where the caller takes it."""

    def decode_routes(
        self, items: Iterable[relay.Item]
    ) -> affinity.RouteTable | None:
        """Read the routes; None where there are none that can be used."""

    def decode_upstreams(
        self, items: Iterable[relay.Item]
    ) -> list[affinity.Upstream]:
        """Read the upstreams' entries; unusable ones are left out."""

    def decode_upstream(self, item: relay.Item) -> affinity.Upstream | None:
        """Read an upstream's entry; None for an unusable one."""

    def read_version(self, item: relay.Item) -> int | None:
        """Read the version of an object that holds routes; None for none."""

    def decode_evacuations(
        self, items: Iterable[relay.Item], zones: tuple[str, ...]
    ) -> affinity.Evacuations:
        """Read which of the zones are evacuated."""

    def asks_for_shares(self, settings: machine.MachineSettings) -> bool:
        """Tell whether the deployment wants callers kept to shares."""

    def list_counters(self) -> dict[str, int]:
        """List what could not be used so far, totals by name."""

    def open_store(self, loop: reactor.Loop) -> Store:
        """Make a client of the store."""
