"""The objects of the platform's store, read into typed values.

Other programs write there, too. What can't be read is left out alone, so
that the rest stands; :mod:`_complaints` says and counts it.
"""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import affinity
from skylarkfold import errors
from skylarkfold.platform import _fields
from skylarkfold.platform import _input_errors
from skylarkfold import relay
from skylarkfold import revision as revisions

# The kinds of objects that an instance follows.
ROUTES_TOPIC = 'config'
UPSTREAMS_TOPIC = 'servers'
EVACUATIONS_TOPIC = 'evacuations'

# The one object that holds the newest configuration.
_ROUTES_NAME = 'main'
_IDEMPOTENT_TYPES = ('idempotent', 'download')
_READY = 'ready'
_DRAINING = 'draining'

_HEX_DIGITS = frozenset('0123456789abcdefABCDEF')
# The digits of a number of 64 bits.
_MOST_ID_DIGITS = 16
# Far above what any upstream has, and below what wraps around or stands
# still: a million requests at a time, an hour of slowness.
_MOST_SLOTS = 1 << 20
_MOST_WARMUP_MS = 3_600_000
_MOST_WARMUP_S = _MOST_WARMUP_MS / 1000
_MOST_RATE = 1e6
_MOST_COUNT = (1 << 62) - 1
_MOST_WEIGHT = 1 << 20
_MOST_PRIORITY = 1 << 20
_MOST_TIME_MS = 1 << 40
# For a configuration whose limits can't be read: the longest life of a flow
# in the platform's example.
_IDLE_SECONDS = 60.0


def decode_routes(
    items: Iterable[relay.Item],
    complaints: _input_errors.Complaints | None = None,
) -> affinity.RouteTable | None:
    """Read the configuration.

    :param items: the objects of its kind.
    :param complaints: where routes that can't be used are noted.
    :returns: the routes that can be used; None where there is no
        configuration with a version.
    """
    if complaints is None:
        complaints = _input_errors.Complaints()
    for item in items:
        if item.path == _ROUTES_NAME:
            return _RoutesReader(item, complaints).read()
    return None


def read_version(item: relay.Item) -> int | None:
    """Read the version of a configuration alone.

    :param item: its object.
    :returns: the version, None where it has none.
    """
    try:
        fields = _fields.Fields(item.value)
        return fields.get_count('version', 0, _MOST_COUNT)
    except errors.DecodeError:
        # Said by whoever reads all of it.
        return None


def decode_evacuations(
    items: Iterable[relay.Item],
    zones: tuple[str, ...],
    complaints: _input_errors.Complaints | None = None,
) -> affinity.Evacuations:
    """Read which availability zones operators have emptied.

    An entry's name is the zone; that it is there, with a map for a value, is
    the request. One that other programs left with any other value, or for
    what is no zone here, evacuates nothing.

    :param items: the objects of their kind.
    :param zones: all zones; empty where they are not known.
    :param complaints: where entries that can't be used are noted.
    :returns: the zones.
    """
    written = {}
    for item in items:
        if not zones or item.path in zones:
            written[item.path] = item.revision
        elif complaints is not None:
            complaints.note(
                _input_errors.EVACUATION,
                item.path,
                item.revision.number,
                'no availability zone has this name',
            )
    return affinity.Evacuations(written)


class UpstreamDecoder:
    """Reads the upstreams' entries, each form of one only once.

    All entries are read with every change of one: 3,800 take 10 ms, those
    that have not changed 1 ms.

    :param complaints: where entries that can't be used are noted.
    """

    __slots__ = ('_complaints', '_known')

    def __init__(
        self, complaints: _input_errors.Complaints | None = None
    ) -> None:
        self._complaints = complaints or _input_errors.Complaints()
        self._known: dict[
            str, tuple[revisions.Revision, affinity.Upstream | None]
        ] = {}

    def decode(self, items: Iterable[relay.Item]) -> list[affinity.Upstream]:
        """Read entries.

        :param items: all objects of their kind.
        :returns: the upstreams; entries that can't be used are left out.
        """
        known, self._known = self._known, {}
        upstreams = []
        for item in items:
            entry = known.get(item.path)
            if entry is not None:
                self._known[item.path] = entry
            upstream = self.decode_one(item)
            if upstream is not None:
                upstreams.append(upstream)
        return upstreams

    def decode_one(self, item: relay.Item) -> affinity.Upstream | None:
        """Read an entry.

        :param item: its object.
        :returns: the upstream; None for an entry that can't be used.
        """
        entry = self._known.get(item.path)
        if entry is None or entry[0] != item.revision:
            entry = self._known[item.path] = (item.revision, self._read(item))
        return entry[1]

    def _read(self, item: relay.Item) -> affinity.Upstream | None:
        try:
            return _convert_upstream(item)
        except errors.DecodeError as error:
            self._complaints.note(
                _input_errors.UPSTREAM,
                item.path,
                item.revision.number,
                error.reason,
            )
            return None


def _convert_upstream(item: relay.Item) -> affinity.Upstream:
    fields = _fields.Fields(item.value)
    # Nothing here depends on it; an entry without it is none that an
    # upstream wrote.
    fields.get_text('version')
    sequence = fields.get_count('sequence', 0, _MOST_COUNT)
    born = None
    if fields.has('born'):
        born = fields.get_count('born', 1, _MOST_COUNT)
    state = fields.get_choice('state', (_READY, _DRAINING))
    return affinity.Upstream(
        name=item.path,
        number=_read_number(item.path),
        service=fields.get_text('service'),
        address=fields.get_address('address'),
        zone=fields.get_text('zone'),
        # Requests at a time, not connections.
        slots=fields.get_count('max_concurrency', 1, _MOST_SLOTS),
        is_draining=state == _DRAINING,
        warm_up_seconds=fields.get_seconds('warmup_left_ms', _MOST_WARMUP_MS),
        created=item.created,
        revision=item.revision,
        born=born,
        sequence=sequence,
    )


def _read_number(name: str) -> int:
    """Read the number that packets name an upstream by.

    :param name: the upstream's name; the digits after its dash are it.
    :returns: the number; 0 in a packet means any upstream, so that no name
        holds it.
    :raises DecodeError: if there is none.
    """
    digits = name.rpartition('-')[2]
    is_number = 0 < len(digits) <= _MOST_ID_DIGITS
    if not is_number or not _HEX_DIGITS.issuperset(digits):
        raise errors.DecodeError('the name holds no number')
    number = int(digits, 16)
    if not number:
        raise errors.DecodeError('the number in the name is 0')
    return number


class _RoutesReader:
    """Reads one configuration.

    :param item: its object.
    :param complaints: where routes that can't be used are noted.
    """

    __slots__ = ('_complaints', '_item')

    def __init__(
        self, item: relay.Item, complaints: _input_errors.Complaints
    ) -> None:
        self._item = item
        self._complaints = complaints

    def read(self) -> affinity.RouteTable | None:
        """Read it.

        :returns: the routes; None if it has no version or no list of them.
        """
        try:
            fields = _fields.Fields(self._item.value)
            version = fields.get_count('version', 0, _MOST_COUNT)
            values = fields.get_list('routes')
        except errors.DecodeError as error:
            self._complain(_input_errors.ROUTES, error)
            return None
        routes = [
            route
            for route in map(self._read_route, values)
            if route is not None
        ]
        services = {name for route in routes for name, _ in route.shares}
        warm_ups = dict(self._read_services(fields))
        services.update(warm_ups)
        idle_seconds = self._read_idle_seconds(fields)
        return affinity.RouteTable(
            version,
            routes,
            idle_seconds,
            services,
            warm_ups,
            self._item.revision,
        )

    def _read_route(self, value: object) -> affinity.Route | None:
        try:
            return _convert_route(_fields.Fields(value))
        except errors.DecodeError as error:
            self._complain(_input_errors.ROUTE, error)
            return None

    def _read_services(
        self, fields: _fields.Fields
    ) -> Iterable[tuple[str, affinity.WarmUp]]:
        try:
            values = fields.get_list('services')
        except errors.DecodeError as error:
            self._complain(_input_errors.ROUTES, error)
            return
        for value in values:
            try:
                service = _fields.Fields(value)
                name = service.get_text('name')
                yield name, self._read_warm_up(service)
            except errors.DecodeError as error:
                self._complain(_input_errors.ROUTES, error)

    def _read_warm_up(self, service: _fields.Fields) -> affinity.WarmUp:
        seconds = self._read_number(service, 'warmup_s', _MOST_WARMUP_S)
        per_second = self._read_number(service, 'warmup_per_s', _MOST_RATE)
        return affinity.WarmUp(seconds, per_second)

    def _read_number(
        self, fields: _fields.Fields, name: str, most: float
    ) -> float:
        if not fields.has(name):
            return 0.0
        try:
            return fields.get_number(name, most)
        except errors.DecodeError as error:
            self._complain(_input_errors.ROUTES, error)
            return 0.0

    def _read_idle_seconds(self, fields: _fields.Fields) -> float:
        try:
            limits = fields.get_fields('limits')
            return limits.get_seconds('idle_timeout_ms', _MOST_TIME_MS)
        except errors.DecodeError as error:
            self._complain(_input_errors.ROUTES, error)
            return _IDLE_SECONDS

    def _complain(self, kind: str, error: errors.DecodeError) -> None:
        self._complaints.note(
            kind,
            self._item.path,
            self._item.revision.number,
            error.reason,
        )


def _convert_route(fields: _fields.Fields) -> affinity.Route:
    host = fields.get_text('host')
    _fields.check_host('host', host)
    # The path is no path but a port between slashes.
    path = fields.get_text('path_prefix')
    port = _fields.read_port('path_prefix', path.strip('/'))
    priority = 0
    if fields.has('priority'):
        priority = fields.get_count('priority', 0, _MOST_PRIORITY)
    aim_seconds = 0.0
    if fields.has('target_latency_ms'):
        aim_seconds = fields.get_seconds('target_latency_ms', _MOST_TIME_MS)
    is_idempotent = False
    if fields.has('type'):
        is_idempotent = fields.get_text('type') in _IDEMPOTENT_TYPES
    return affinity.Route(
        affinity.pack_address(host, port),
        _read_shares(fields),
        is_idempotent=is_idempotent,
        priority=priority,
        aim_seconds=aim_seconds,
    )


def _read_shares(fields: _fields.Fields) -> list[tuple[str, int]]:
    if fields.is_set('service'):
        return [(fields.get_text('service'), 1)]
    shares = []
    for value in fields.get_list('traffic_split'):
        share = _fields.Fields(value)
        weight = int(share.get_number('weight', _MOST_WEIGHT))
        shares.append((share.get_text('service'), weight))
    return shares
