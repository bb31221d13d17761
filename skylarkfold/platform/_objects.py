"""Decodes the objects of the platform's store into typed values.

Other programs write to the store as well. Unusable values are skipped one by
one, and logged and counted by :mod:`_input_errors`; the others are used.
"""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import affinity
from skylarkfold import errors
from skylarkfold.platform import _fields
from skylarkfold.platform import _input_errors
from skylarkfold import relay
from skylarkfold import revision as revisions

# The topics that an instance follows.
ROUTES_TOPIC = 'config'
UPSTREAMS_TOPIC = 'servers'
EVACUATIONS_TOPIC = 'evacuations'

# The name of the object that holds the current configuration.
_ROUTES_NAME = 'main'
_IDEMPOTENT_TYPES = ('idempotent', 'download')
_READY = 'ready'
_DRAINING = 'draining'

_HEX_DIGITS = frozenset('0123456789abcdefABCDEF')
# The hexadecimal digits of a 64-bit number.
_MAX_ID_DIGITS = 16
# Sanity limits, far above real values but low enough that nothing overflows or
# hangs.
_MAX_SLOTS = 1 << 20
_MAX_WARMUP_MS = 3_600_000
_MAX_WARMUP_S = _MAX_WARMUP_MS / 1000
_MAX_RATE = 1e6
_MAX_INTEGER = (1 << 62) - 1
_MAX_WEIGHT = 1 << 20
_MAX_PRIORITY = 1 << 20
_MAX_TIME_MS = 1 << 40
# The idle timeout of flows if the configuration has no valid one; the longest
# in the platform's example.
_DEFAULT_IDLE_SECONDS = 60.0


def decode_routes(
    items: Iterable[relay.Item],
    input_errors: _input_errors.InputErrors | None = None,
) -> affinity.RouteTable | None:
    """Decode the configuration.

    :param items: the objects of the topic.
    :param input_errors: records unusable routes.
    :returns: the usable routes; None if there is no configuration with a
        version.
    """
    if input_errors is None:
        input_errors = _input_errors.InputErrors()
    for item in items:
        if item.path == _ROUTES_NAME:
            return _RoutesDecoder(item, input_errors).read()
    return None


def read_version(item: relay.Item) -> int | None:
    """Return the version of a configuration.

    :param item: the configuration's object.
    :returns: the version; None if it has no valid one.
    """
    try:
        fields = _fields.Fields(item.value)
        return fields.get_integer('version', 0, _MAX_INTEGER)
    except errors.DecodeError:
        # Reported by decode_routes, which reads the whole object.
        return None


def decode_evacuations(
    items: Iterable[relay.Item],
    zones: tuple[str, ...],
    input_errors: _input_errors.InputErrors | None = None,
) -> affinity.Evacuations:
    """Decode which availability zones are evacuated.

    An entry named after a zone, with an object as its value, requests the
    evacuation of the zone. Entries with other values or unknown zones are
    ignored.

    :param items: the objects of the topic.
    :param zones: all zones; empty if they are not known.
    :param input_errors: records unusable entries.
    :returns: the evacuated zones.
    """
    written = {}
    for item in items:
        if not zones or item.path in zones:
            written[item.path] = item.revision
        elif input_errors is not None:
            input_errors.report(
                _input_errors.EVACUATION,
                item.path,
                item.revision.number,
                'no availability zone has this name',
            )
    return affinity.Evacuations(written)


class UpstreamDecoder:
    """Decodes entries of upstreams, and caches them by revision.

    All entries are decoded again whenever one changes. For 3,800 entries that
    takes 10 ms without the cache and 1 ms with it.

    :param input_errors: records unusable entries.
    """

    __slots__ = (
        '_cache',
        '_input_errors',
    )

    def __init__(
        self, input_errors: _input_errors.InputErrors | None = None
    ) -> None:
        self._input_errors = input_errors or _input_errors.InputErrors()
        self._cache: dict[
            str, tuple[revisions.Revision, affinity.Upstream | None]
        ] = {}

    def decode(self, items: Iterable[relay.Item]) -> list[affinity.Upstream]:
        """Decode all entries.

        :param items: all objects of the topic.
        :returns: the upstreams, without unusable entries.
        """
        previous, self._cache = self._cache, {}
        upstreams = []
        for item in items:
            cached = previous.get(item.path)
            if cached is not None:
                self._cache[item.path] = cached
            upstream = self.decode_one(item)
            if upstream is not None:
                upstreams.append(upstream)
        return upstreams

    def decode_one(self, item: relay.Item) -> affinity.Upstream | None:
        """Decode an entry.

        :param item: the entry's object.
        :returns: the upstream; None if the entry is unusable.
        """
        cached = self._cache.get(item.path)
        if cached is None or cached[0] != item.revision:
            cached = self._cache[item.path] = (item.revision, self._read(item))
        return cached[1]

    def _read(self, item: relay.Item) -> affinity.Upstream | None:
        try:
            return _decode_upstream(item)
        except errors.DecodeError as error:
            self._input_errors.report(
                _input_errors.UPSTREAM,
                item.path,
                item.revision.number,
                error.reason,
            )
            return None


def _decode_upstream(item: relay.Item) -> affinity.Upstream:
    fields = _fields.Fields(item.value)
    # The value is not used, but entries written by upstreams always have it.
    fields.get_text('version')
    sequence = fields.get_integer('sequence', 0, _MAX_INTEGER)
    born = None
    if fields.has('born'):
        born = fields.get_integer('born', 1, _MAX_INTEGER)
    state = fields.get_choice('state', (_READY, _DRAINING))
    return affinity.Upstream(
        name=item.path,
        number=_parse_upstream_number(item.path),
        service=fields.get_text('service'),
        address=fields.get_address('address'),
        zone=fields.get_text('zone'),
        # Concurrent requests, not connections.
        slots=fields.get_integer('max_concurrency', 1, _MAX_SLOTS),
        is_draining=state == _DRAINING,
        warm_up_seconds=fields.get_seconds('warmup_left_ms', _MAX_WARMUP_MS),
        created=item.created,
        revision=item.revision,
        born=born,
        sequence=sequence,
    )


def _parse_upstream_number(name: str) -> int:
    """Parse the number that identifies an upstream in packets.

    :param name: the upstream's name, which ends with a dash and the number's
        hexadecimal digits.
    :returns: the number. It is never 0, which means any upstream in packets.
    :raises DecodeError: if the name has no valid number.
    """
    digits = name.rpartition('-')[2]
    is_number = 0 < len(digits) <= _MAX_ID_DIGITS
    if not is_number or not _HEX_DIGITS.issuperset(digits):
        raise errors.DecodeError(
            'the name does not end with a hexadecimal number'
        )
    number = int(digits, 16)
    if not number:
        raise errors.DecodeError('the number in the name is 0')
    return number


class _RoutesDecoder:
    """Decodes one configuration.

    :param item: the configuration's object.
    :param input_errors: records unusable routes.
    """

    __slots__ = ('_input_errors', '_item')

    def __init__(
        self, item: relay.Item, input_errors: _input_errors.InputErrors
    ) -> None:
        self._item = item
        self._input_errors = input_errors

    def read(self) -> affinity.RouteTable | None:
        """Decode the configuration.

        :returns: the routes; None without a version or a list of routes.
        """
        try:
            fields = _fields.Fields(self._item.value)
            version = fields.get_integer('version', 0, _MAX_INTEGER)
            values = fields.get_list('routes')
        except errors.DecodeError as error:
            self._report_error(_input_errors.ROUTES, error)
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
            return _decode_route(_fields.Fields(value))
        except errors.DecodeError as error:
            self._report_error(_input_errors.ROUTE, error)
            return None

    def _read_services(
        self, fields: _fields.Fields
    ) -> Iterable[tuple[str, affinity.WarmUp]]:
        try:
            values = fields.get_list('services')
        except errors.DecodeError as error:
            self._report_error(_input_errors.ROUTES, error)
            return
        for value in values:
            try:
                service = _fields.Fields(value)
                name = service.get_text('name')
                yield name, self._read_warm_up(service)
            except errors.DecodeError as error:
                self._report_error(_input_errors.ROUTES, error)

    def _read_warm_up(self, service: _fields.Fields) -> affinity.WarmUp:
        seconds = self._read_optional_number(
            service, 'warmup_s', _MAX_WARMUP_S
        )
        per_second = self._read_optional_number(
            service, 'warmup_per_s', _MAX_RATE
        )
        return affinity.WarmUp(seconds, per_second)

    def _read_optional_number(
        self, fields: _fields.Fields, name: str, maximum: float
    ) -> float:
        if not fields.has(name):
            return 0.0
        try:
            return fields.get_number(name, maximum)
        except errors.DecodeError as error:
            self._report_error(_input_errors.ROUTES, error)
            return 0.0

    def _read_idle_seconds(self, fields: _fields.Fields) -> float:
        try:
            limits = fields.get_fields('limits')
            return limits.get_seconds('idle_timeout_ms', _MAX_TIME_MS)
        except errors.DecodeError as error:
            self._report_error(_input_errors.ROUTES, error)
            return _DEFAULT_IDLE_SECONDS

    def _report_error(self, kind: str, error: errors.DecodeError) -> None:
        self._input_errors.report(
            kind,
            self._item.path,
            self._item.revision.number,
            error.reason,
        )


def _decode_route(fields: _fields.Fields) -> affinity.Route:
    host = fields.get_text('host')
    _fields.check_host('host', host)
    # The field holds a port between slashes, not a path.
    path = fields.get_text('path_prefix')
    port = _fields.parse_port('path_prefix', path.strip('/'))
    priority = 0
    if fields.has('priority'):
        priority = fields.get_integer('priority', 0, _MAX_PRIORITY)
    aim_seconds = 0.0
    if fields.has('target_latency_ms'):
        aim_seconds = fields.get_seconds('target_latency_ms', _MAX_TIME_MS)
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
        weight = int(share.get_number('weight', _MAX_WEIGHT))
        shares.append((share.get_text('service'), weight))
    return shares
