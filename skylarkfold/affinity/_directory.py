"""All upstreams that may hold flows, including those without an entry."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

from skylarkfold.affinity import _settings
from skylarkfold.affinity import _upstream
from skylarkfold.affinity import _upstream_state
from skylarkfold.affinity import _warm_up_slowness
from skylarkfold import revision as revisions


# Assumed before any reports have arrived: the usual interval.
_INITIAL_REPORT_INTERVAL_SECONDS = 0.2
_MINIMUM_REPORT_INTERVAL_SECONDS = 0.05
_REPORT_INTERVAL_GAIN = 1 / 16


class ChangeKind:
    """Kinds of changes of an upstream's entry."""

    ADDED = 'added'
    DRAINING = 'draining'
    LAPSED = 'lapsed'
    BACK = 'back'
    RESTARTED = 'restarted'


class EntryChange:
    """A change of an upstream's entry.

    :param kind: one of :class:`ChangeKind`.
    :param state: the upstream's present state.
    :param previous: the state of its earlier start; None unless it has
        restarted.
    """

    __slots__ = ('kind', 'previous', 'state')

    def __init__(
        self,
        kind: str,
        state: _upstream_state.UpstreamState,
        previous: _upstream_state.UpstreamState | None = None,
    ) -> None:
        self.kind = kind
        self.state = state
        self.previous = previous


class Directory:
    """Finds the states of upstreams by name, token, incarnation and service.

    A missing entry does not prove that an upstream has failed: packets of its
    flows are still forwarded for the longest lifetime of a flow, unless
    another upstream has been given the same address.

    An entry of the same name written by another start of the process replaces
    everything known. Start times are not compared, as clocks differ; the
    store's newest entry is valid on every instance.

    :param settings: how long upstreams without an entry are kept.
    :ivar report_interval_seconds: the mean interval between load reports of a
        peer.
    """

    __slots__ = (
        '_by_incarnation',
        '_by_name',
        '_by_service',
        '_by_token',
        '_settings',
        '_slowness',
        'report_interval_seconds',
    )

    def __init__(self, settings: _settings.AffinitySettings) -> None:
        self._settings = settings
        self._by_name: dict[str, _upstream_state.UpstreamState] = {}
        self._by_token: dict[int, _upstream_state.UpstreamState] = {}
        self._by_incarnation: dict[int, _upstream_state.UpstreamState] = {}
        self._by_service: dict[str, list[_upstream_state.UpstreamState]] = {}
        self._slowness: dict[str, _warm_up_slowness.WarmUpSlowness] = {}
        self.report_interval_seconds = _INITIAL_REPORT_INTERVAL_SECONDS

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[_upstream_state.UpstreamState]:
        return iter(self._by_name.values())

    def get(self, name: str) -> _upstream_state.UpstreamState | None:
        """Return the state of an upstream by its name.

        :param name: its name.
        :returns: its state, None if it is not known.
        """
        return self._by_name.get(name)

    def find_by_token(
        self, token: int
    ) -> _upstream_state.UpstreamState | None:
        """Find an upstream by the token of a packet.

        :param token: the token.
        :returns: its state, None if no known upstream has the token.
        """
        return self._by_token.get(token)

    def find_by_incarnation(
        self, incarnation: int
    ) -> _upstream_state.UpstreamState | None:
        """Find an upstream by its incarnation.

        :param incarnation: identifies one start of the process.
        :returns: its state, None if the start is not known.
        """
        return self._by_incarnation.get(incarnation)

    def list_states(self, service: str) -> list[_upstream_state.UpstreamState]:
        """List the upstreams of a service, including those without an entry.

        :param service: the service's name.
        :returns: their states, in the order of creation.
        """
        return self._by_service.get(service, [])

    def record_report_interval(self, seconds: float) -> None:
        """Update the mean interval between load reports.

        :param seconds: the time since the peer's previous report.
        """
        seconds = max(seconds, _MINIMUM_REPORT_INTERVAL_SECONDS)
        self.report_interval_seconds += _REPORT_INTERVAL_GAIN * (
            seconds - self.report_interval_seconds
        )

    def list_services(self) -> list[str]:
        """List the services of all known upstreams."""
        return list(self._by_service)

    def count_busy(self) -> int:
        """Count the requests in flight of this instance's flows."""
        return sum(state.busy for state in self)

    def count_flows(self) -> int:
        """Count the flows that this instance carries."""
        return sum(state.flows for state in self)

    def count_evacuated(self) -> int:
        """Count the upstreams in evacuated availability zones."""
        return sum(state.is_evacuated for state in self)

    def count_warming(self, now: float) -> int:
        """Count the upstreams that are warming up.

        :param now: the time.
        :returns: the number of upstreams.
        """
        return sum(now < state.warming_until for state in self)

    def count_slow(self) -> int:
        """Count the upstreams that are slower than others of their service."""
        return sum(state.speed < 1.0 for state in self)

    def find_slowest(self) -> float:
        """Return the lowest speed of an upstream; 1 if none is slow."""
        return min((state.speed for state in self), default=1.0)

    def compute_busiest(self, now: float) -> float:
        """Compute the imbalance of the most unbalanced service.

        :param now: the time.
        :returns: the largest ratio, over all services, of the longest expected
            wait of an upstream to the mean of its service; 1 without
            upstreams.
        """
        largest = 1.0
        for states in self._by_service.values():
            waits = [
                (each.in_flight + 1) / each.compute_capacity(now)
                for each in states
                if each.takes_new_flows
            ]
            if waits:
                largest = max(largest, max(waits) * len(waits) / sum(waits))
        return largest

    def replace(
        self, now: float, present: Iterable[_upstream.Upstream]
    ) -> list[EntryChange]:
        """Replace the list of all upstreams that have an entry.

        :param now: the time.
        :param present: all upstreams with an entry.
        :returns: the changes.
        """
        names = set()
        changes = []
        for upstream in present:
            names.add(upstream.name)
            change = self._update_entry(now, upstream)
            if change is not None:
                changes.append(change)
        for state in self._by_name.values():
            is_absent = state.upstream.name not in names
            if is_absent and state.lapsed_at is None:
                state.lapsed_at = now
                changes.append(EntryChange(ChangeKind.LAPSED, state))
        self._remove_expired(now)
        self._index()
        return changes

    def remove_expired(self, now: float) -> None:
        """Remove upstreams whose last flow must have ended.

        :param now: the time.
        """
        if self._remove_expired(now):
            self._index()

    def _remove_expired(self, now: float) -> bool:
        oldest = now - self._settings.flow_seconds
        expired = [
            name
            for name, state in self._by_name.items()
            if state.lapsed_at is not None and state.lapsed_at < oldest
        ]
        for name in expired:
            del self._by_name[name]
        return bool(expired)

    def _update_entry(
        self, now: float, upstream: _upstream.Upstream
    ) -> EntryChange | None:
        state = self._by_name.get(upstream.name)
        if state is None:
            return self._add(now, upstream, ChangeKind.ADDED)
        if upstream is state.upstream and state.lapsed_at is None:
            # The common case: most entries are unchanged.
            return None
        if not upstream.is_same_start(state.upstream):
            state.is_superseded = True
            return self._add(now, upstream, ChangeKind.RESTARTED, state)
        before = state.upstream
        state.update_entry(now, upstream)
        if state.lapsed_at is not None:
            state.lapsed_at = None
            return EntryChange(ChangeKind.BACK, state)
        if upstream.is_draining and not before.is_draining:
            return EntryChange(ChangeKind.DRAINING, state)
        return None

    def _add(
        self,
        now: float,
        upstream: _upstream.Upstream,
        kind: str,
        previous: _upstream_state.UpstreamState | None = None,
    ) -> EntryChange:
        slowness = self._slowness.get(upstream.service)
        if slowness is None:
            slowness = _warm_up_slowness.WarmUpSlowness()
            self._slowness[upstream.service] = slowness
        state = _upstream_state.UpstreamState(upstream, now, slowness)
        self._by_name[upstream.name] = state
        return EntryChange(kind, state, previous)

    def _index(self) -> None:
        self._by_token = {}
        self._by_incarnation = {}
        self._by_service = {}
        for state in sorted(self._by_name.values(), key=_get_creation_key):
            upstream = state.upstream
            # If two upstreams share a token, the older one keeps it. The other
            # gets no new flows, so that no packet carries an ambiguous token.
            owner = self._by_token.setdefault(upstream.token, state)
            state.owns_token = owner is state and upstream.token != 0
            self._by_incarnation.setdefault(upstream.incarnation, state)
            self._by_service.setdefault(upstream.service, []).append(state)
        self._mark_replaced()

    def _mark_replaced(self) -> None:
        """Mark the upstreams whose address has been given to another process.

        The entry written last owns the address. The creation revision does not
        decide: an upstream that restarts at an address that it was given keeps
        the entry of its name.
        """
        owners: dict[tuple[str, int], _upstream_state.UpstreamState] = {}
        for state in self._by_name.values():
            address = state.upstream.address
            owner = owners.setdefault(address, state)
            if owner is state:
                continue
            if _get_revision_key(state) > _get_revision_key(owner):
                owners[address] = state
        for state in self._by_name.values():
            owns_address = owners[state.upstream.address] is state
            is_lapsed = state.lapsed_at is not None
            state.is_replaced = is_lapsed and not owns_address


def _get_creation_key(
    state: _upstream_state.UpstreamState,
) -> tuple[revisions.Revision, str]:
    return (state.upstream.created, state.upstream.name)


def _get_revision_key(
    state: _upstream_state.UpstreamState,
) -> tuple[revisions.Revision, revisions.Revision, str]:
    # Entries without a known revision are ordered by their creation.
    upstream = state.upstream
    return (upstream.revision, upstream.created, upstream.name)
