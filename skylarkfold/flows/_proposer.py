"""Proposals of tables: when this instance writes one, and which."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

import msgspec

from skylarkfold import effect
from skylarkfold import event
from skylarkfold.flows import _free_count
from skylarkfold.flows import _health
from skylarkfold.flows import _members
from skylarkfold.flows import _plan
from skylarkfold.flows import _ranking
from skylarkfold.flows import _settings
from skylarkfold.flows import _state
from skylarkfold.flows import _table
from skylarkfold import platform_api

MAXIMUM_BACKOFF_SECONDS = 30.0
WRITE_TIMEOUT_SECONDS = 60.0
PROPOSERS = 3
REPORT_SECONDS = 6.0


@dataclasses.dataclass(slots=True)
class _Proposal:
    """One service's proposing, as it stands on this instance."""

    due_since: float | None = None
    next_at: float = 0.0
    writing_until: float = 0.0
    pending: _table.BucketTable | None = None
    failures: int = 0
    nothing_due: tuple[int, _plan.Situation] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """A home's word that all flows of a bucket are on its target."""

    version: int
    at: float
    is_in_force: bool


class Proposer:
    """Writes the tables of the services that this instance is in charge of.

    The live instances are ranked for each service. The first proposes;
    the next ones do so when a due change stays out for too long. Two that
    propose at once are told apart by the platform: the second write fails.

    :param members: the other instances.
    :param settings: the flow settings.
    """

    def __init__(
        self, members: _members.MemberView, settings: _settings.FlowSettings
    ) -> None:
        self._members = members
        self._settings = settings
        self._proposals: dict[str, _Proposal] = {}
        self._confirmed: dict[str, dict[str, int]] = {}
        self._settled: dict[str, dict[int, _Report]] = {}
        self._ranks: dict[str, list[str]] = {}
        self.health = _health.HealthView(settings)

    def forget_ranks(self) -> None:
        """Work out anew who is in charge, for the members changed."""
        self._ranks.clear()

    def forget_service(self, name: str) -> None:
        """Drop what is kept of a service that is gone."""
        for kept in (self._proposals, self._confirmed, self._settled):
            kept.pop(name, None)

    def list_proposers(self, service_name: str) -> list[str]:
        """List the first instances in charge of a service's table.

        :param service_name: the service's name.
        :returns: instance names, the first in charge first.
        """
        ranks = self._ranks.get(service_name)
        if ranks is None:
            names = sorted(self._members.ranking.names)
            ranks = _ranking.rank_names(f'table|{service_name}', names)
            ranks = self._ranks[service_name] = ranks[:PROPOSERS]
        return ranks

    def confirm(self, peer: str, service_name: str, version: int) -> None:
        """Note which table version is in force on an instance."""
        versions = self._confirmed.setdefault(service_name, {})
        versions[peer] = max(version, versions.get(peer, 0))

    def find_prepared_version(
        self, now: float, state: _state.ServiceState
    ) -> int:
        """Find the last preparation that is in force everywhere.

        :param now: the time.
        :param state: the service.
        :returns: the table version, 0 for none; only from the instance
            that is the first in charge.
        """
        if not state.prepared:
            return 0
        if self.list_proposers(state.name)[:1] != [self._members.name]:
            return 0
        confirmed = self._find_confirmed(state)
        versions = [
            since[0]
            for since in state.prepared.values()
            if self._is_in_force(now, since, confirmed)
        ]
        return max(versions, default=0)

    def settle(
        self,
        now: float,
        state: _state.ServiceState,
        version: int,
        buckets: list[int],
    ) -> None:
        """Note buckets whose home found all flows on their target.

        :param now: the time.
        :param state: the service.
        :param version: of the table that the home went by.
        :param buckets: the buckets.
        """
        settled = self._settled.setdefault(state.name, {})
        confirmed = self._find_confirmed(state)
        for bucket in buckets:
            since = state.changed.get(bucket, (0, 0.0))
            is_in_force = self._is_in_force(now, since, confirmed)
            settled[bucket] = _Report(version, now, is_in_force)

    def propose(self, now: float, state: _state.ServiceState) -> list[object]:
        """Propose the next table of a service, if it is due.

        :param now: the time.
        :param state: the service.
        :returns: effects.
        """
        proposers = self.list_proposers(state.name)
        if self._members.name not in proposers:
            return []
        proposal = self._proposals.setdefault(state.name, _Proposal())
        if now < proposal.next_at or now < proposal.writing_until:
            return []
        proposal.next_at = now + self._settings.proposal_seconds
        planned = self._plan(now, state, proposal)
        if planned is None:
            proposal.due_since = None
            return []
        if proposal.due_since is None:
            proposal.due_since = now
        rank = proposers.index(self._members.name)
        wait = rank * self._settings.backup_seconds
        if now - proposal.due_since < wait:
            return []
        return self._write(now, state, proposal, planned)

    def end_write(
        self, now: float, state: _state.ServiceState, ended: event.WriteEnded
    ) -> platform_api.StoredObject | None:
        """Take the outcome of a write of this instance.

        :param now: the time.
        :param state: the service.
        :param ended: the outcome.
        :returns: the object that is now known to be stored, if any.
        """
        proposal = self._proposals.setdefault(state.name, _Proposal())
        pending = proposal.pending
        proposal.pending = None
        proposal.writing_until = 0.0
        proposal.due_since = None
        if ended.status is platform_api.PlatformStatus.OK:
            proposal.failures = 0
            return ended.current or _build_stored(state, pending)
        if ended.status is platform_api.PlatformStatus.CONFLICT:
            proposal.failures = 0
            return ended.current
        proposal.failures += 1
        backoff = min(MAXIMUM_BACKOFF_SECONDS, 2.0**proposal.failures)
        proposal.next_at = now + backoff
        return None

    def _plan(
        self,
        now: float,
        state: _state.ServiceState,
        proposal: _Proposal,
    ) -> _table.BucketTable | None:
        if state.is_provisional or state.is_lost:
            return state.table
        situation = _plan.Situation(
            service=state.service,
            dead=self.health.find_dead(
                now, state.service, self._members.ranking.names
            ),
            prepared=self._find_prepared(now, state),
            emptied=self._find_emptied(now, state),
            settled=self._find_settled(now, state),
            free_count=_free_count.find(now, state, self._settings),
        )
        known = (state.version, situation)
        if proposal.nothing_due == known:
            return None
        planned = _plan.plan_table(state.table, situation, self._settings)
        proposal.nothing_due = known if planned is None else None
        return planned

    def _find_prepared(
        self, now: float, state: _state.ServiceState
    ) -> frozenset[int]:
        confirmed = self._find_confirmed(state)
        return frozenset(
            bucket
            for bucket, since in state.prepared.items()
            if self._is_in_force(now, since, confirmed)
        )

    def _is_in_force(
        self, now: float, since: tuple[int, float], confirmed: int
    ) -> bool:
        version, at = since
        bound = self._settings.propagation_seconds
        return version <= confirmed or now - at >= bound

    def _find_confirmed(self, state: _state.ServiceState) -> int:
        versions = self._confirmed.get(state.name, {})
        return min(
            (versions.get(peer, 0) for peer in self._members.reachable),
            default=state.version,
        )

    def _find_emptied(
        self, now: float, state: _state.ServiceState
    ) -> frozenset[int]:
        return frozenset(
            bucket for bucket, _ in self._list_reports(now, state)
        )

    def _find_settled(
        self, now: float, state: _state.ServiceState
    ) -> frozenset[int]:
        return frozenset(
            bucket
            for bucket, report in self._list_reports(now, state)
            if report.is_in_force
        )

    def _list_reports(
        self, now: float, state: _state.ServiceState
    ) -> Iterator[tuple[int, _Report]]:
        for bucket, report in self._settled.get(state.name, {}).items():
            if now - report.at > REPORT_SECONDS:
                continue
            if report.version < state.changed.get(bucket, (0, 0.0))[0]:
                continue
            if bucket in state.opened_at:
                yield bucket, report

    def _write(
        self,
        now: float,
        state: _state.ServiceState,
        proposal: _Proposal,
        planned: _table.BucketTable,
    ) -> list[object]:
        serial = state.version
        if planned is not state.table or state.is_provisional:
            serial += 1
        planned = msgspec.structs.replace(planned, serial=serial)
        proposal.pending = planned
        proposal.writing_until = now + WRITE_TIMEOUT_SECONDS
        write = platform_api.WriteObject(
            path=_table.build_path(state.name),
            value=_table.encode(planned),
            expected_version=state.in_store.version,
        )
        decision = effect.RecordDecision(
            kind='table',
            service=state.name,
            subject=f'version {serial}',
            upstream='',
            reason=_describe(planned),
        )
        return [decision, effect.RequestWrite(write)]


def _describe(table: _table.BucketTable) -> str:
    preparing = table.states.count(int(_table.BucketState.PREPARE))
    opened = table.states.count(int(_table.BucketState.OPEN))
    return f'{preparing} buckets preparing, {opened} open'


def _build_stored(
    state: _state.ServiceState, pending: _table.BucketTable | None
) -> platform_api.StoredObject | None:
    if pending is None:
        return None
    return platform_api.StoredObject(
        path=_table.build_path(state.name),
        version=state.in_store.version + 1,
        revision=0,
        value=_table.encode(pending),
    )
