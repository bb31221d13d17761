"""The state of one service on this instance."""

from __future__ import annotations

import collections

import xxhash

from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import flow as flow_module
from skylarkfold.flows import _load
from skylarkfold.flows import _pins
from skylarkfold.flows import _ranking
from skylarkfold.flows import _settings
from skylarkfold.flows import _table
from skylarkfold import service as service_module

# Rotation periods of a home's pins and of the cache, as multiples of the
# service's idle timeout.
HOME_PERIOD_IDLE_FACTOR = 1.5
CACHE_PERIOD_IDLE_FACTOR = 0.25
# Rotations of the home's pins per rotation of replicas and per refresh.
REPLICA_PERIOD_ROTATIONS = 5
REFRESH_PERIOD_ROTATIONS = 3


class StoredTable:
    """The version of a table in the platform's store.

    :param revision: the store's revision at which it was written.
    :param version: the version that the next write must expect; 0 if no
        table is stored.
    :param serial: the table's serial.
    """

    __slots__ = ('revision', 'serial', 'version')

    def __init__(self, revision: int, version: int, serial: int) -> None:
        self.revision = revision
        self.version = version
        self.serial = serial


_NOT_STORED = StoredTable(0, 0, 0)


class ServiceState:
    """A service with its current table, its pins and its load.

    :param service: the service as configured.
    :param table: the initial table, used until a stored one is known.
    :param settings: the flow settings.
    :param may_be_stale: whether other instances may have applied a newer
        table, because the service is older than this instance.
    :ivar version: the current table's serial, 0 for the initial table.
    :ivar stored_table: the version of the table in the platform's store.
    :ivar applied_at: when the current table was applied.
    :ivar prepared_version: the last table version known to be applied on all
        instances.
    :ivar cache: upstreams of flows as answered by other instances.
    :ivar pins: the pins of each bucket.
    :ivar home_pins: those of the open buckets whose home is this instance.
    :ivar redirect_counts: recently redirected datagrams of each flow.
    :ivar opened_at: when each bucket that is not closed got its state.
    :ivar home_since: when this instance became the home of each bucket.
    :ivar preparing_since: for each preparing bucket the table version and the
        time since which it is.
    :ivar changed_since: for each bucket the table version and the time of its
        last change.
    :ivar mask: the mask that turns a flow's hash into its bucket.
    :ivar closed_routes: the upstream of each closed bucket, None for others.
    :ivar resolved_upstreams: the upstreams of the table, by index.
    """

    def __init__(
        self,
        service: service_module.Service,
        table: _table.BucketTable,
        settings: _settings.FlowSettings,
        may_be_stale: bool,
    ) -> None:
        self.service = service
        self.table = table
        self.version = 0
        self.stored_table = _NOT_STORED
        self.applied_at: float | None = None
        self.prepared_version = 0
        self.may_be_stale = may_be_stale
        self.load = _load.LoadView(settings)
        self.cache = _pins.PinSet()
        self.pins: dict[int, _pins.PinSet] = {}
        self.home_pins: dict[int, _pins.PinSet] = {}
        self.redirect_counts: collections.Counter[int] = collections.Counter()
        self.opened_at: dict[int, float] = {}
        self.home_since: dict[int, float] = {}
        self.preparing_since: dict[int, tuple[int, float]] = {}
        self.changed_since: dict[int, tuple[int, float]] = {}
        self.mask = len(table.states) - 1
        self.closed_routes: list[service_module.Upstream | None] = []
        self.resolved_upstreams: list[service_module.Upstream] = []
        self._salt = xxhash.xxh3_64_intdigest(service.name.encode())
        self._rebuild_routes()

    @property
    def name(self) -> str:
        """The service's name."""
        return self.service.name

    @property
    def is_provisional(self) -> bool:
        """Whether the current table is the initial one."""
        return self.version == 0

    @property
    def is_missing_in_store(self) -> bool:
        """Whether the store lacks the current table.

        It was restored from an older copy, or no table was written yet.
        """
        return self.stored_table.serial < self.version

    @property
    def eligible(self) -> list[service_module.Upstream]:
        """The configured upstreams that may take new flows."""
        dead = {self.table.upstreams[each].name for each in self.table.dead}
        return _table.list_eligible(self.service, dead)

    def find_slot(self, bucket: int) -> int:
        """Return the slot that a bucket belongs to."""
        return (bucket ^ self._salt) % _ranking.SLOT_COUNT

    def list_buckets(self, slot: int) -> range:
        """List the buckets of a slot."""
        first = (slot ^ self._salt) % _ranking.SLOT_COUNT
        return range(first, self.mask + 1, _ranking.SLOT_COUNT)

    def list_open(self) -> list[int]:
        """List the buckets that are not closed."""
        closed = _table.BucketState.CLOSED
        states = self.table.states
        return [each for each, state in enumerate(states) if state != closed]

    def find_upstream(self, index: int) -> service_module.Upstream | None:
        """Return an upstream by its index in the table.

        :param index: the index; it may be from a newer table.
        :returns: the upstream, or None if the index is unknown.
        """
        if 0 <= index < len(self.resolved_upstreams):
            return self.resolved_upstreams[index]
        return None

    def is_open(self, bucket: int) -> bool:
        """Return whether new flows of a bucket may go to another upstream.

        That also holds for a preparing bucket once all instances have applied
        the table that prepares it, because they all ask the home then.

        :param bucket: the bucket.
        :returns: whether they may.
        """
        state = self.table.states[bucket]
        if state != _table.BucketState.PREPARING:
            return state == _table.BucketState.OPEN
        return self.preparing_since[bucket][0] <= self.prepared_version

    def record_prepared_version(self, version: int) -> None:
        """Record a table version that all instances have applied.

        If this instance has missed it, its own table is stale, and it asks
        the others about flows until it has a newer one.

        :param version: the table version.
        """
        self.prepared_version = max(self.prepared_version, version)
        self.may_be_stale = self.may_be_stale or self.version < version

    def find_local(
        self, caller: endpoint.Endpoint
    ) -> tuple[service_module.Upstream | None, effect.Reason]:
        """Return a flow's upstream if it is known without asking a peer.

        :param caller: the flow's caller.
        :returns: the upstream or None, and the reason.
        """
        if self.may_be_stale:
            return None, effect.Reason.STALE_VIEW
        flow = flow_module.hash_caller(self.service.name, caller)
        bucket = flow & self.mask
        upstream = self.closed_routes[bucket]
        if upstream is not None:
            return upstream, effect.Reason.CLOSED_BUCKET
        pins = self.home_pins.get(bucket)
        if pins is None:
            index = self.cache.peek(flow)
            reason = effect.Reason.CACHED
        else:
            index = pins.get(flow)
            reason = effect.Reason.PINNED
        if index is None:
            return None, reason
        return self.find_upstream(index), reason

    def add_pin(self, bucket: int, flow: int, index: int) -> None:
        """Add a pin.

        :param bucket: the flow's bucket.
        :param flow: the flow's hash.
        :param index: the upstream's index.
        """
        pins = self.pins.get(bucket)
        if pins is None:
            pins = self.pins[bucket] = _pins.PinSet()
        pins.put(flow, index)

    def count_pins(self) -> int:
        """Return the number of pins on this instance."""
        return sum(map(len, self.pins.values()))

    def configure(self, now: float, service: service_module.Service) -> None:
        """Apply a newer configuration of the service.

        :param now: the current time.
        :param service: the service as configured now.
        """
        if service == self.service:
            return
        former = {each.name for each in self.eligible}
        self.service = service
        for upstream in self.eligible:
            if upstream.name not in former:
                self.load.begin_slow_start(now, upstream.name)
        self._rebuild_routes()

    def apply_table(
        self, now: float, table: _table.BucketTable, version: int
    ) -> None:
        """Apply a newer table.

        :param now: the current time.
        :param table: the table.
        :param version: the table's serial.
        """
        former = self.table
        self.table = table
        self.version = version
        self.applied_at = now
        self.may_be_stale = version < self.prepared_version
        self.mask = len(table.states) - 1
        self._record_changes(now, former)
        self._drop_dead_pins(set(table.dead) - set(former.dead))
        self._rebuild_routes()

    def _record_changes(self, now: float, former: _table.BucketTable) -> None:
        table = self.table
        has_same_size = len(former.states) == len(table.states)
        for bucket, state in enumerate(table.states):
            if has_same_size and _is_unchanged(bucket, former, table):
                continue
            self.changed_since[bucket] = (self.version, now)
            if not has_same_size or former.states[bucket] != state:
                self._record_state_change(now, bucket, state)

    def _record_state_change(
        self, now: float, bucket: int, state: int
    ) -> None:
        self.preparing_since.pop(bucket, None)
        if state == _table.BucketState.CLOSED:
            self.opened_at.pop(bucket, None)
            self.pins.pop(bucket, None)
            return
        self.opened_at[bucket] = now
        if state == _table.BucketState.PREPARING:
            self.preparing_since[bucket] = (self.version, now)

    def _drop_dead_pins(self, dead: set[int]) -> None:
        if not dead:
            return
        for pins in (self.cache, *self.pins.values()):
            pins.remove_upstreams(dead)

    def _rebuild_routes(self) -> None:
        table = self.table
        self.resolved_upstreams = [
            self._resolve(each) for each in table.upstreams
        ]
        closed = _table.BucketState.CLOSED
        self.closed_routes = [
            self.find_upstream(index) if state == closed else None
            for state, index in zip(table.states, table.unpinned)
        ]

    def _resolve(
        self, table_upstream: _table.TableUpstream
    ) -> service_module.Upstream:
        configured = self.service.get_upstream(table_upstream.name)
        if configured is not None:
            return configured
        return service_module.Upstream(
            name=table_upstream.name,
            address=endpoint.parse_endpoint(table_upstream.address),
            zone=table_upstream.zone,
            weight=0.0,
            state=service_module.UpstreamState.DRAINING,
        )


def _is_unchanged(
    bucket: int, former: _table.BucketTable, table: _table.BucketTable
) -> bool:
    return (
        former.states[bucket] == table.states[bucket]
        and former.unpinned[bucket] == table.unpinned[bucket]
        and former.targets[bucket] == table.targets[bucket]
    )
