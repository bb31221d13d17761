"""The implementation of ``forwarder.Platform`` for the users' platform."""

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

# The term in the settings that limits callers to their shares.
_SHARES_TERM = 'pressure'


class Adapter:
    """Translates packets and stored objects; see ``forwarder.Platform``.

    :param settings: the settings of the instance.
    """

    routes_topic = _objects.ROUTES_TOPIC
    upstreams_topic = _objects.UPSTREAMS_TOPIC
    evacuations_topic = _objects.EVACUATIONS_TOPIC

    def __init__(self, settings: machine.MachineSettings) -> None:
        self._settings = settings
        self.decode_packet = _packet.decode
        self.encode_forward = _packet.encode_forward
        self._input_errors = _input_errors.InputErrors()
        decoder = _objects.UpstreamDecoder(self._input_errors)
        self.decode_upstreams = decoder.decode
        self.decode_upstream = decoder.decode_one
        self.read_version = _objects.read_version

    def decode_routes(
        self, items: Iterable[relay.Item]
    ) -> affinity.RouteTable | None:
        """Decode the routes; return None if there are no usable ones."""
        return _objects.decode_routes(items, self._input_errors)

    def decode_evacuations(
        self, items: Iterable[relay.Item], zones: tuple[str, ...]
    ) -> affinity.Evacuations:
        """Decode which of the availability zones are evacuated."""
        return _objects.decode_evacuations(items, zones, self._input_errors)

    def asks_for_shares(self, settings: machine.MachineSettings) -> bool:
        """Return whether the deployment limits callers to their shares."""
        return _SHARES_TERM in settings.terms

    def list_counters(self) -> dict[str, int]:
        """Return the totals of unusable input, by counter name."""
        return dict(self._input_errors.counters)

    def encode_reset(
        self, flow: bytes, acknowledged: int
    ) -> tuple[bytes, tuple[str, int]]:
        """Encode a reset; return it with the caller's address."""
        return _packet.encode_reset(
            flow, acknowledged, self._settings.packet_address[1]
        )

    def open_store(self, loop: reactor.Loop) -> _store.StoreClient:
        """Return a new client of the store."""
        address = self._settings.store_address
        return _store.StoreClient(loop, address, self._input_errors)
