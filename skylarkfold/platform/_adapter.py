"""The platform as the forwarding daemon sees it."""

from __future__ import annotations

from skylarkfold import forwarder
from skylarkfold.platform import _objects
from skylarkfold.platform import _packet
from skylarkfold.platform import _settings
from skylarkfold.platform import _store
from skylarkfold import reactor

# A machine's capacity is counted in these, by whichever it has less of.
_CORES_STEP = 0.1
_LINK_STEP_MBPS = 10.0
_MOST_CAPACITY = 20


class Adapter:
    """Translates the platform's bytes; see ``forwarder.Platform``.

    :param settings: the platform's settings file as read.
    :param path: the file.
    :param own_path: the file of our own settings.
    """

    routes_topic = _objects.ROUTES_TOPIC
    upstreams_topic = _objects.UPSTREAMS_TOPIC

    def __init__(
        self,
        settings: _settings.PlatformSettings,
        path: str,
        own_path: str = '',
    ) -> None:
        self._settings = settings
        self._path = path
        self._own_path = own_path
        self._read_as = _settings.identify(path)
        self.decode_packet = _packet.decode
        self.encode_forward = _packet.encode_forward
        self.decode_routes = _objects.decode_routes
        self.decode_upstreams = _objects.decode_upstreams

    def encode_reset(
        self, flow: bytes, acknowledged: int
    ) -> tuple[bytes, tuple[str, int]]:
        """Make a reset, and tell where its caller takes it."""
        return _packet.encode_reset(
            flow, acknowledged, self._settings.packet_address[1]
        )

    def reread_settings(
        self, is_forced: bool
    ) -> forwarder.ForwarderSettings | None:
        """Read the settings file again if it has changed.

        It may be replaced without a signal.

        :param is_forced: whether to read it in any case.
        :returns: the settings, None if nothing has changed.
        :raises SettingsError: if it can't be used; the last good ones
            stay in force.
        """
        read_as = _settings.identify(self._path)
        if read_as == self._read_as and not is_forced:
            return None
        self._read_as = read_as
        self._settings = _settings.read_settings(self._path)
        return build_settings(self._settings, self._own_path)

    def open_store(self, loop: reactor.Loop) -> _store.StoreClient:
        """Make a client of the store."""
        address = self._settings.store_address
        return _store.StoreClient(loop, address)


def build_settings(
    settings: _settings.PlatformSettings, own_path: str
) -> forwarder.ForwarderSettings:
    """Put an instance's settings together.

    :param settings: the platform's settings file as read.
    :param own_path: the file of our own settings; empty for defaults.
    :returns: the instance's settings.
    :raises SettingsError: if our own settings can't be used.
    """
    own = forwarder.read_own_settings(own_path)
    # What the platform alone knows.
    own.affinity.flow_seconds = settings.flow_seconds
    own.relay.topics = _objects.TOPICS
    return forwarder.ForwarderSettings(
        name=settings.name,
        zone=settings.zone,
        packet_address=settings.packet_address,
        ready_address=settings.ready_address,
        peer_address=settings.peer_address,
        store_address=settings.store_address,
        seeds=settings.seeds,
        capacity=_measure_capacity(settings),
        grace_seconds=settings.grace_seconds,
        own=own,
    )


def _measure_capacity(settings: _settings.PlatformSettings) -> int:
    # A watcher takes each whole configuration from the store, 400 KB on a
    # large day: a third of a second on the smallest links.
    tenths = settings.cores / _CORES_STEP
    links = settings.link_mbps / _LINK_STEP_MBPS
    return int(min(tenths, links, _MOST_CAPACITY))
