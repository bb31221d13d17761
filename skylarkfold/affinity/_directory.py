"""All upstreams that may hold flows, those that are gone included."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

from skylarkfold.affinity import _settings
from skylarkfold.affinity import _slowness
from skylarkfold.affinity import _standing
from skylarkfold.affinity import _upstream
from skylarkfold import revision as revisions


# Before words have come: as often as they are told.
_FIRST_GAP_SECONDS = 0.2
_LEAST_GAP_SECONDS = 0.05
_GAP_GAIN = 1 / 16


class Change:
    """What has become of an upstream's entry."""

    ADDED = 'added'
    DRAINING = 'draining'
    LAPSED = 'lapsed'
    BACK = 'back'
    RESTARTED = 'restarted'


class EntryChange:
    """An upstream that is seen otherwise from now on.

    :param kind: one of :class:`Change`.
    :param standing: the upstream.
    :param former: what was known of its start before, None unless it has
        started again.
    """

    __slots__ = ('former', 'kind', 'standing')

    def __init__(
        self,
        kind: str,
        standing: _standing.Standing,
        former: _standing.Standing | None = None,
    ) -> None:
        self.kind = kind
        self.standing = standing
        self.former = former


class Directory:
    """Finds upstreams by token and by service.

    An entry that disappears is no proof that its upstream is dead: its
    flows are still forwarded for as long as one may live, unless another
    upstream was given the same address.

    An entry of the same name that another start wrote replaces all that was
    known. Which start is the later one is not asked: clocks differ, and the
    store's newest entry holds on every instance.

    :param settings: how long upstreams are remembered.
    :ivar gap_seconds: how long it takes a peer, on average, to say again what
        it carries.
    """

    __slots__ = (
        '_by_incarnation',
        '_by_name',
        '_by_service',
        '_by_token',
        '_settings',
        '_slowness',
        'gap_seconds',
    )

    def __init__(self, settings: _settings.AffinitySettings) -> None:
        self._settings = settings
        self._by_name: dict[str, _standing.Standing] = {}
        self._by_token: dict[int, _standing.Standing] = {}
        self._by_incarnation: dict[int, _standing.Standing] = {}
        self._by_service: dict[str, list[_standing.Standing]] = {}
        self._slowness: dict[str, _slowness.Slowness] = {}
        self.gap_seconds = _FIRST_GAP_SECONDS

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[_standing.Standing]:
        return iter(self._by_name.values())

    def get(self, name: str) -> _standing.Standing | None:
        """Find an upstream by name.

        :param name: its name.
        :returns: its standing, None if it is not known.
        """
        return self._by_name.get(name)

    def find(self, token: int) -> _standing.Standing | None:
        """Find the upstream of a packet.

        :param token: the token that the packet carries.
        :returns: its standing, None if no known upstream has it.
        """
        return self._by_token.get(token)

    def find_incarnation(self, incarnation: int) -> _standing.Standing | None:
        """Find the upstream that a peer speaks of.

        :param incarnation: what names its start.
        :returns: its standing, None if no known start has it.
        """
        return self._by_incarnation.get(incarnation)

    def list_service(self, service: str) -> list[_standing.Standing]:
        """List the upstreams of a service, gone ones included.

        :param service: the service's name.
        :returns: standings, by name of the upstream.
        """
        return self._by_service.get(service, [])

    def note_gap(self, seconds: float) -> None:
        """Take that a peer has said what it carries.

        :param seconds: since its word before.
        """
        seconds = max(seconds, _LEAST_GAP_SECONDS)
        self.gap_seconds += _GAP_GAIN * (seconds - self.gap_seconds)

    def list_services(self) -> list[str]:
        """List the services that have upstreams, gone ones included."""
        return list(self._by_service)

    def count_busy(self) -> int:
        """Count the requests in flight of this instance's flows."""
        return sum(standing.busy for standing in self)

    def count_flows(self) -> int:
        """Count the flows that this instance carries."""
        return sum(standing.flows for standing in self)

    def count_evacuated(self) -> int:
        """Count the upstreams of zones that are evacuated."""
        return sum(standing.is_evacuated for standing in self)

    def count_warming(self, now: float) -> int:
        """Count the upstreams that warm up after a start.

        :param now: the time.
        :returns: how many there are.
        """
        return sum(now < standing.warming_until for standing in self)

    def count_slow(self) -> int:
        """Count the upstreams that are slower than others of a service."""
        return sum(standing.speed < 1.0 for standing in self)

    def find_slowest(self) -> float:
        """Find the least speed; 1 where none is slow."""
        return min((standing.speed for standing in self), default=1.0)

    def compute_busiest(self, now: float) -> float:
        """Compute how long the longest expected wait of a service is.

        :param now: the time.
        :returns: that of the busiest upstream over the mean of its service,
            of the service where that is largest; 1 where there are none.
        """
        most = 1.0
        for standings in self._by_service.values():
            waits = [
                (each.waiting + 1) / each.compute_capacity(now)
                for each in standings
                if each.takes_new_flows
            ]
            if waits:
                most = max(most, max(waits) * len(waits) / sum(waits))
        return most

    def replace(
        self, now: float, present: Iterable[_upstream.Upstream]
    ) -> list[EntryChange]:
        """Take the list of all upstreams that have an entry.

        :param now: the time.
        :param present: all of them.
        :returns: those that are seen otherwise now.
        """
        names = set()
        changes = []
        for upstream in present:
            names.add(upstream.name)
            change = self._put(now, upstream)
            if change is not None:
                changes.append(change)
        for standing in self._by_name.values():
            is_absent = standing.upstream.name not in names
            if is_absent and standing.lapsed_at is None:
                standing.lapsed_at = now
                changes.append(EntryChange(Change.LAPSED, standing))
        self._drop_old(now)
        self._index()
        return changes

    def forget(self, now: float) -> None:
        """Drop upstreams whose last flow must have ended.

        :param now: the time.
        """
        if self._drop_old(now):
            self._index()

    def _drop_old(self, now: float) -> bool:
        oldest = now - self._settings.flow_seconds
        gone = [
            name
            for name, standing in self._by_name.items()
            if standing.lapsed_at is not None and standing.lapsed_at < oldest
        ]
        for name in gone:
            del self._by_name[name]
        return bool(gone)

    def _put(
        self, now: float, upstream: _upstream.Upstream
    ) -> EntryChange | None:
        standing = self._by_name.get(upstream.name)
        if standing is None:
            return self._add(now, upstream, Change.ADDED)
        if upstream is standing.upstream and standing.lapsed_at is None:
            # As almost all are with each change of one.
            return None
        if not upstream.is_same_start(standing.upstream):
            standing.is_former = True
            return self._add(now, upstream, Change.RESTARTED, standing)
        before = standing.upstream
        standing.take_entry(now, upstream)
        if standing.lapsed_at is not None:
            standing.lapsed_at = None
            return EntryChange(Change.BACK, standing)
        if upstream.is_draining and not before.is_draining:
            return EntryChange(Change.DRAINING, standing)
        return None

    def _add(
        self,
        now: float,
        upstream: _upstream.Upstream,
        kind: str,
        former: _standing.Standing | None = None,
    ) -> EntryChange:
        slowness = self._slowness.get(upstream.service)
        if slowness is None:
            slowness = _slowness.Slowness()
            self._slowness[upstream.service] = slowness
        standing = _standing.Standing(upstream, now, slowness)
        self._by_name[upstream.name] = standing
        return EntryChange(kind, standing, former)

    def _index(self) -> None:
        self._by_token = {}
        self._by_incarnation = {}
        self._by_service = {}
        for standing in sorted(self._by_name.values(), key=_get_age):
            upstream = standing.upstream
            # The older upstream keeps a token that two share. The other
            # gets no new flow, so that no packet carries a token in doubt.
            holder = self._by_token.setdefault(upstream.token, standing)
            standing.has_token = holder is standing and upstream.token != 0
            self._by_incarnation.setdefault(upstream.incarnation, standing)
            self._by_service.setdefault(upstream.service, []).append(standing)
        self._mark_replaced()

    def _mark_replaced(self) -> None:
        """Mark those whose address another process has.

        Whose entry was written last has the address. Not when it was
        created: an upstream that starts again at an address that it was
        given keeps the entry of its name.
        """
        holders: dict[tuple[str, int], _standing.Standing] = {}
        for standing in self._by_name.values():
            address = standing.upstream.address
            holder = holders.setdefault(address, standing)
            if holder is standing:
                continue
            if _get_revision(standing) > _get_revision(holder):
                holders[address] = standing
        for standing in self._by_name.values():
            has_address = holders[standing.upstream.address] is standing
            is_lapsed = standing.lapsed_at is not None
            standing.is_replaced = is_lapsed and not has_address


def _get_age(
    standing: _standing.Standing,
) -> tuple[revisions.Revision, str]:
    return (standing.upstream.created, standing.upstream.name)


def _get_revision(
    standing: _standing.Standing,
) -> tuple[revisions.Revision, revisions.Revision, str]:
    # Entries whose revision is not known are told apart by their creation.
    upstream = standing.upstream
    return (upstream.revision, upstream.created, upstream.name)
