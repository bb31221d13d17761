"""The platform as the forwarding daemon sees it."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import affinity
from skylarkfold import machine
from skylarkfold.platform import _input_errors
from skylarkfold.platform import _objects
from skylarkfold.platform import _packet
from skylarkfold.platform import _store
from skylarkfold import reactor
from skylarkfold import relay

# The term of a deployment that wants callers kept to shares.
_SHARES_TERM = 'pressure'


class Adapter:
    """Translates the platform's bytes; see ``forwarder.Platform``.

    :param settings: of the instance that it serves.
    """

    routes_topic = _objects.ROUTES_TOPIC
    upstreams_topic = _objects.UPSTREAMS_TOPIC
    evacuations_topic = _objects.EVACUATIONS_TOPIC

    def __init__(self, settings: machine.MachineSettings) -> None:
        self._settings = settings
        self.decode_packet = _packet.decode
        self.encode_forward = _packet.encode_forward
        self._complaints = _input_errors.Complaints()
        decoder = _objects.UpstreamDecoder(self._complaints)
        self.decode_upstreams = decoder.decode
        self.decode_upstream = decoder.decode_one
        self.read_version = _objects.read_version

    def decode_routes(
        self, items: Iterable[relay.Item]
    ) -> affinity.RouteTable | None:
        """Read the routes; None where there are none that can be used."""
        return _objects.decode_routes(items, self._complaints)

    def decode_evacuations(
        self, items: Iterable[relay.Item], zones: tuple[str, ...]
    ) -> affinity.Evacuations:
        """Read which of the availability zones are evacuated."""
        return _objects.decode_evacuations(items, zones, self._complaints)

    def asks_for_shares(self, settings: machine.MachineSettings) -> bool:
        """Tell whether the deployment wants callers kept to shares."""
        return _SHARES_TERM in settings.terms

    def list_counters(self) -> dict[str, int]:
        """List what could not be used so far, totals by name."""
        return dict(self._complaints.counters)

    def encode_reset(
        self, flow: bytes, acknowledged: int
    ) -> tuple[bytes, tuple[str, int]]:
        """Make a reset, and tell where its caller takes it."""
        return _packet.encode_reset(
            flow, acknowledged, self._settings.packet_address[1]
        )

    def open_store(self, loop: reactor.Loop) -> _store.StoreClient:
        """Make a client of the store."""
        address = self._settings.store_address
        return _store.StoreClient(loop, address, self._complaints)
