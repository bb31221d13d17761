"""Proposals of bucket tables: when this instance writes which table."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

import msgspec

from skylarkfold import effect
from skylarkfold import event
from skylarkfold.flows import _balanced_buckets
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
PROPOSER_COUNT = 3
REPORT_LIFETIME_SECONDS = 6.0


@dataclasses.dataclass(slots=True)
class _ProposalState:
    """The state of this instance's proposals for one service.

    :param due_since: since when a change has been due; None if none is.
    :param next_attempt_at: the earliest time of the next proposal.
    :param writing_until: until when to wait for the outcome of a write.
    :param pending: the table being written.
    :param failures: the number of successive failed writes.
    :param unchanged_for: the version and input for which no change was due,
        to skip planning while they stay the same.
    """

    due_since: float | None = None
    next_attempt_at: float = 0.0
    writing_until: float = 0.0
    pending: _table.BucketTable | None = None
    failures: int = 0
    unchanged_for: tuple[int, _plan.PlanInput] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _MigrationReport:
    """A home's report that all flows of a bucket are on its target.

    :param version: the table version that the home had applied.
    :param received_at: when the report arrived.
    :param is_applied: whether all instances had applied the bucket's last
        change by then.
    """

    version: int
    received_at: float
    is_applied: bool


class Proposer:
    """Plans and writes the tables of services that this instance proposes for.

    The live instances are ranked for each service. The first one proposes
    changes; each of the next ones steps in if a due change is not written for
    ``backup_seconds`` longer. If two instances propose at the same time, the
    platform's conditional write rejects the second one.

    :param members: this instance's view of the members.
    :param settings: the flow settings.
    :ivar health: the instances' votes on the health of upstreams.
    """

    def __init__(
        self, members: _members.MemberView, settings: _settings.FlowSettings
    ) -> None:
        self._members = members
        self._settings = settings
        self._proposals: dict[str, _ProposalState] = {}
        self._applied_versions: dict[str, dict[str, int]] = {}
        self._migration_reports: dict[str, dict[int, _MigrationReport]] = {}
        self._proposers: dict[str, list[str]] = {}
        self.health = _health.HealthView(settings)

    def clear_proposers(self) -> None:
        """Discard the proposers' order after a change of the ranking."""
        self._proposers.clear()

    def remove_service(self, name: str) -> None:
        """Discard the data of a removed service."""
        for by_service in (
            self._proposals,
            self._applied_versions,
            self._migration_reports,
        ):
            by_service.pop(name, None)

    def list_proposers(self, service_name: str) -> list[str]:
        """List the instances that may propose tables of a service.

        :param service_name: the service's name.
        :returns: the instances' names in order of rank.
        """
        proposers = self._proposers.get(service_name)
        if proposers is None:
            names = sorted(self._members.ranking.names)
            proposers = _ranking.rank_names(f'table|{service_name}', names)
            proposers = self._proposers[service_name] = proposers[
                :PROPOSER_COUNT
            ]
        return proposers

    def record_applied_version(
        self, peer: str, service_name: str, version: int
    ) -> None:
        """Record the table version that an instance has applied."""
        versions = self._applied_versions.setdefault(service_name, {})
        versions[peer] = max(version, versions.get(peer, 0))

    def find_prepared_version(
        self, now: float, state: _state.ServiceState
    ) -> int:
        """Return the last preparing version that all instances have applied.

        :param now: the current time.
        :param state: the service's state.
        :returns: the table version; 0 for none, and on instances that are
            not the first proposer.
        """
        if not state.preparing_since:
            return 0
        if self.list_proposers(state.name)[:1] != [self._members.name]:
            return 0
        common_version = self._find_common_version(state)
        versions = [
            since[0]
            for since in state.preparing_since.values()
            if self._is_applied_everywhere(now, since, common_version)
        ]
        return max(versions, default=0)

    def record_migrated(
        self,
        now: float,
        state: _state.ServiceState,
        version: int,
        buckets: list[int],
    ) -> None:
        """Record a home's report of migrated buckets.

        :param now: the current time.
        :param state: the service's state.
        :param version: the version of the table that the home had applied.
        :param buckets: the bucket numbers.
        """
        reports = self._migration_reports.setdefault(state.name, {})
        common_version = self._find_common_version(state)
        for bucket in buckets:
            since = state.changed_since.get(bucket, (0, 0.0))
            is_applied = self._is_applied_everywhere(
                now, since, common_version
            )
            reports[bucket] = _MigrationReport(version, now, is_applied)

    def propose(self, now: float, state: _state.ServiceState) -> list[object]:
        """Write the next table of a service if a change is due.

        :param now: the current time.
        :param state: the service's state.
        :returns: the effects.
        """
        proposers = self.list_proposers(state.name)
        if self._members.name not in proposers:
            return []
        proposal = self._proposals.setdefault(state.name, _ProposalState())
        if now < proposal.next_attempt_at or now < proposal.writing_until:
            return []
        proposal.next_attempt_at = now + self._settings.proposal_seconds
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

    def finish_write(
        self, now: float, state: _state.ServiceState, ended: event.WriteEnded
    ) -> platform_api.StoredObject | None:
        """Handle the outcome of a write by this instance.

        :param now: the current time.
        :param state: the service's state.
        :param ended: the outcome.
        :returns: the object that the store now has, None if unknown.
        """
        proposal = self._proposals.setdefault(state.name, _ProposalState())
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
        proposal.next_attempt_at = now + backoff
        return None

    def _plan(
        self,
        now: float,
        state: _state.ServiceState,
        proposal: _ProposalState,
    ) -> _table.BucketTable | None:
        if state.is_provisional or state.is_missing_in_store:
            return state.table
        plan_input = _plan.PlanInput(
            service=state.service,
            dead=self.health.find_dead(
                now, state.service, self._members.ranking.names
            ),
            prepared=self._find_prepared(now, state),
            migrated=self._find_migrated(now, state),
            settled=self._find_settled(now, state),
            balanced_count=_balanced_buckets.compute_count(
                now, state, self._settings
            ),
        )
        plan_key = (state.version, plan_input)
        if proposal.unchanged_for == plan_key:
            return None
        planned = _plan.plan_table(state.table, plan_input, self._settings)
        proposal.unchanged_for = plan_key if planned is None else None
        return planned

    def _find_prepared(
        self, now: float, state: _state.ServiceState
    ) -> frozenset[int]:
        common_version = self._find_common_version(state)
        return frozenset(
            bucket
            for bucket, since in state.preparing_since.items()
            if self._is_applied_everywhere(now, since, common_version)
        )

    def _is_applied_everywhere(
        self, now: float, since: tuple[int, float], common_version: int
    ) -> bool:
        version, at = since
        limit = self._settings.propagation_seconds
        return version <= common_version or now - at >= limit

    def _find_common_version(self, state: _state.ServiceState) -> int:
        versions = self._applied_versions.get(state.name, {})
        return min(
            (versions.get(peer, 0) for peer in self._members.reachable),
            default=state.version,
        )

    def _find_migrated(
        self, now: float, state: _state.ServiceState
    ) -> frozenset[int]:
        return frozenset(
            bucket for bucket, _ in self._list_valid_reports(now, state)
        )

    def _find_settled(
        self, now: float, state: _state.ServiceState
    ) -> frozenset[int]:
        return frozenset(
            bucket
            for bucket, report in self._list_valid_reports(now, state)
            if report.is_applied
        )

    def _list_valid_reports(
        self, now: float, state: _state.ServiceState
    ) -> Iterator[tuple[int, _MigrationReport]]:
        for bucket, report in self._migration_reports.get(
            state.name, {}
        ).items():
            if now - report.received_at > REPORT_LIFETIME_SECONDS:
                continue
            if report.version < state.changed_since.get(bucket, (0, 0.0))[0]:
                continue
            if bucket in state.opened_at:
                yield bucket, report

    def _write(
        self,
        now: float,
        state: _state.ServiceState,
        proposal: _ProposalState,
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
            expected_version=state.stored_table.version,
        )
        decision = effect.RecordDecision(
            kind='table',
            service=state.name,
            subject=f'version {serial}',
            upstream='',
            reason=_describe_buckets(planned),
        )
        return [decision, effect.RequestWrite(write)]


def _describe_buckets(table: _table.BucketTable) -> str:
    preparing = table.states.count(int(_table.BucketState.PREPARING))
    opened = table.states.count(int(_table.BucketState.OPEN))
    return f'{preparing} buckets preparing, {opened} open'


def _build_stored(
    state: _state.ServiceState, pending: _table.BucketTable | None
) -> platform_api.StoredObject | None:
    if pending is None:
        return None
    return platform_api.StoredObject(
        path=_table.build_path(state.name),
        version=state.stored_table.version + 1,
        revision=0,
        value=_table.encode(pending),
    )
