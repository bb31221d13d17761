"""The objects of the platform's store, read into typed values."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import affinity
from skylarkfold import errors
from skylarkfold import late_log
from skylarkfold import relay

# The kinds of objects that an instance follows.
ROUTES_TOPIC = 'config'
UPSTREAMS_TOPIC = 'servers'

# The one object that holds the newest configuration.
_ROUTES_NAME = 'main'
_IDEMPOTENT_TYPES = ('idempotent', 'download')
_DRAINING = 'draining'
_ID_BITS = 64

_logger = late_log.LOGGER


def decode_routes(
    items: Iterable[relay.Item],
) -> affinity.RouteTable | None:
    """Read the configuration.

    :param items: the objects of its kind.
    :returns: the routes; None where there are none that can be used.
    """
    for item in items:
        if item.path == _ROUTES_NAME:
            try:
                return _convert_routes(item.value)
            except _UNUSABLE as error:
                _note_unusable('configuration', item, error)
    return None


class UpstreamDecoder:
    """Reads the upstreams' entries, each form of one only once.

    All entries are read with every change of one: 3,800 take 10 ms, those
    that have not changed 1 ms.
    """

    __slots__ = ('_known',)

    def __init__(self) -> None:
        self._known: dict[str, tuple[int, affinity.Upstream | None]] = {}

    def decode(self, items: Iterable[relay.Item]) -> list[affinity.Upstream]:
        """Read entries.

        :param items: all objects of their kind.
        :returns: the upstreams; entries that can't be used are left out.
        """
        known, self._known = self._known, {}
        upstreams = []
        for item in items:
            entry = known.get(item.path)
            if entry is None or entry[0] != item.revision:
                entry = (item.revision, _read_upstream(item))
            self._known[item.path] = entry
            if entry[1] is not None:
                upstreams.append(entry[1])
        return upstreams


def _read_upstream(item: relay.Item) -> affinity.Upstream | None:
    try:
        return _convert_upstream(item)
    except _UNUSABLE as error:
        _note_unusable('upstream', item, error)
        return None


def _convert_routes(value: dict[str, object]) -> affinity.RouteTable:
    version = value['version']
    if not isinstance(version, int) or version < 0:
        raise errors.DecodeError(f'{version!r} is no version')
    idle_seconds = float(value['limits']['idle_timeout_ms']) / 1000
    routes = [_convert_route(each) for each in value['routes']]
    return affinity.RouteTable(version, routes, idle_seconds)


def _convert_route(fields: dict[str, object]) -> affinity.Route:
    # The path is no path but a port between slashes.
    port = int(fields['path_prefix'].strip('/'))
    address = affinity.pack_address(fields['host'], port)
    if fields.get('service'):
        shares = [(fields['service'], 1)]
    else:
        shares = [
            (str(each['service']), int(each['weight']))
            for each in fields['traffic_split']
        ]
    return affinity.Route(
        address,
        shares,
        is_idempotent=fields.get('type') in _IDEMPOTENT_TYPES,
        priority=int(fields.get('priority', 0)),
        aim_seconds=float(fields.get('target_latency_ms', 0)) / 1000,
    )


def _convert_upstream(item: relay.Item) -> affinity.Upstream:
    fields = item.value
    # The digits after the dash are the number that packets name it by.
    number = int(item.path.rpartition('-')[2], 16)
    if number >= 1 << _ID_BITS:
        raise errors.DecodeError('the number in the name is too large')
    host, _, port = fields['address'].rpartition(':')
    affinity.pack_address(host, int(port))
    return affinity.Upstream(
        name=item.path,
        number=number,
        service=str(fields['service']),
        address=(host, int(port)),
        zone=str(fields['zone']),
        # Requests at a time, not connections.
        slots=int(fields['max_concurrency']),
        is_draining=fields['state'] == _DRAINING,
        slow_seconds=float(fields.get('warmup_left_ms', 0)) / 1000,
        created=item.created,
    )


# What reading an object of unknown shape may raise.
_UNUSABLE = (
    errors.DecodeError,
    ArithmeticError,
    AttributeError,
    LookupError,
    OSError,
    TypeError,
    ValueError,
)


def _note_unusable(kind: str, item: relay.Item, error: Exception) -> None:
    fields = {
        'reason': 'unusable-object',
        'kind': kind,
        'name': item.path,
        'revision': item.revision,
        'error': repr(error),
    }
    _logger.warning('object', fields=fields)
