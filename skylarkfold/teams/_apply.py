"""Changes of a team's subtree, as generators without I/O."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import Any

from skylarkfold import errors
from skylarkfold import platform_api
from skylarkfold import service
from skylarkfold import settings
from skylarkfold.teams import _claim
from skylarkfold.teams import _claimant
from skylarkfold.teams import _preview
from skylarkfold.teams import _session
from skylarkfold.teams import _snapshot
from skylarkfold.teams import _subtree

_Outcome = _session.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """An operator who changes settings.

    :param name: the name of the person or program, stored with each write.
    :param team: the team whose subtree the operator may change.
    """

    name: str
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The result of an applied change.

    :param team: the team.
    :param version: the new version of the subtree.
    :param changes: the differences from the previous version.
    :param not_in_force: services that are not in force since another team
        holds a claim that they need, as before the change.
    """

    team: str
    version: int
    changes: tuple[_preview.Change, ...]
    not_in_force: tuple[str, ...] = ()


def preview(
    session: _session.Session,
    operator: Operator,
    new: settings.TeamSettings,
) -> _session.Steps[_preview.Preview]:
    """Preview a change without applying it.

    :param session: the command's calls.
    :param operator: the operator.
    :param new: the team's new settings.
    :returns: the differences and warnings.
    :raises RightError: if it is another team's subtree.
    :raises PlatformError: if the platform does not answer.
    """
    _check_permission(operator, new.team)
    snapshot = yield from _snapshot.read_snapshot(session, new.team)
    old = snapshot.base.settings or settings.TeamSettings(new.team, {})
    warnings = _preview.list_warnings(old, new)
    if snapshot.base.error is not None:
        warnings += (
            f'the present version is unusable: {snapshot.base.error}',
        )
    warnings += tuple(_list_foreign_claims(snapshot, new))
    return _preview.Preview(
        new.team,
        snapshot.base.version,
        _preview.list_changes(old, new),
        warnings,
    )


def apply(
    session: _session.Session,
    operator: Operator,
    new: settings.TeamSettings,
    services: dict[str, Any],
    expected_version: int | None = None,
) -> _session.Steps[Applied]:
    """Replace a team's subtree.

    :param session: the command's calls.
    :param operator: the operator.
    :param new: the team's new settings, parsed from ``services``.
    :param services: the plain services object.
    :param expected_version: the version to replace; None for the current
        one.
    :returns: the applied change.
    :raises RightError: if it is another team's subtree.
    :raises ConflictError: if another write came first; nothing changed.
    :raises ClaimError: if another team holds a name or address; no part of
        the change is in force.
    :raises OutcomeUnknownError: if it may or may not have taken effect.
    :raises PlatformError: if the platform did not answer before anything
        was changed.
    """
    _check_permission(operator, new.team)
    if expected_version is not None:
        path = _subtree.build_subtree_path(new.team)
        session.record_version(path, expected_version)
    snapshot = yield from _snapshot.read_snapshot(session, new.team)
    if expected_version not in (None, snapshot.base.version):
        raise _build_conflict(snapshot.base, expected_version)
    required = _subtree.list_claims(new)
    change = _SubtreeChange(session, operator, snapshot, new, services)
    yield from change.take_claims(required)
    return (yield from change.write(required))


def set_upstream_state(
    session: _session.Session,
    operator: Operator,
    service_name: str,
    upstream_name: str,
    state: service.UpstreamState,
) -> _session.Steps[Applied]:
    """Set an upstream's state, for example to drain it.

    After a conflict with another operator's change the state is set in the
    version that is then current.

    :param session: the command's calls.
    :param operator: the operator.
    :param service_name: the service.
    :param upstream_name: its upstream.
    :param state: the new state.
    :returns: the applied change.
    :raises SettingsError: if there is no such upstream.
    :raises ConflictError: if every attempt conflicted with another write.
    :raises OutcomeUnknownError: if it may or may not have taken effect.
    :raises PlatformError: if the platform did not answer before anything
        was changed.
    """

    def edit(base: _subtree.Subtree) -> dict[str, Any]:
        return _subtree.edit_upstream_state(
            base, service_name, upstream_name, state
        )

    for number in session.count_tries():
        try:
            return (yield from _edit(session, operator, edit))
        except errors.ConflictError as error:
            conflict = error
        yield session.pause(number)
    raise conflict


def _edit(
    session: _session.Session,
    operator: Operator,
    edit: Callable[[_subtree.Subtree], dict[str, Any]],
) -> _session.Steps[Applied]:
    snapshot = yield from _snapshot.read_snapshot(session, operator.team)
    services = edit(snapshot.base)
    source = _subtree.build_subtree_path(operator.team)
    text = settings.encode_services(services)
    new = settings.read_team_settings(text, source, operator.team)
    # An edit needs no new claims; it does not take lost ones back.
    change = _SubtreeChange(session, operator, snapshot, new, services)
    return (yield from change.write(_subtree.list_claims(new)))


def _check_permission(operator: Operator, team: str) -> None:
    if operator.team != team:
        raise errors.RightError(
            f'{operator.name} may change team {operator.team}, not {team}'
        )


def _list_foreign_claims(
    snapshot: _snapshot.Snapshot, new: settings.TeamSettings
) -> list[str]:
    found = []
    for path in sorted(_subtree.list_claims(new)):
        holder = snapshot.find_holder(path)
        if holder not in ('', new.team):
            found.append(f'{path} is held by team {holder}')
    return found


def _build_conflict(
    current: _subtree.Subtree, expected_version: int
) -> errors.ConflictError:
    writer = f' by {current.operator}' if current.operator else ''
    return errors.ConflictError(
        f'version {current.version}{writer} is in force, not'
        f' {expected_version}: review it and apply again'
    )


class _SubtreeChange:
    """One change of a subtree: taking claims, writing, undoing."""

    def __init__(
        self,
        session: _session.Session,
        operator: Operator,
        snapshot: _snapshot.Snapshot,
        new: settings.TeamSettings,
        services: dict[str, Any],
    ) -> None:
        self._session = session
        self._operator = operator
        self._snapshot = snapshot
        self._base = snapshot.base
        self._new = new
        self._services = services
        self._version = snapshot.base.version + 1
        self._path = _subtree.build_subtree_path(new.team)
        self._value = _subtree.encode_subtree(
            snapshot.base, services, session.write_id, operator.name
        )
        self._claimant = _claimant.Claimant(session, new.team, self._version)

    def take_claims(self, required: frozenset[str]) -> _session.Steps[None]:
        try:
            for path in sorted(required):
                if self._needs_taking(path):
                    yield from self._claimant.take(path)
        except errors.SkylarkfoldError:
            yield from self._claimant.restore()
            raise

    def _needs_taking(self, path: str) -> bool:
        _, claim = self._snapshot.claims.get(path, (0, None))
        if claim is None or not claim.team:
            holder = self._snapshot.find_holder(path)
            if holder:
                reason = f'{path} is used by team {holder} without a claim'
                raise errors.ClaimError(reason)
            return True
        # Another team can't take over a claim of this team without a
        # pending version while the subtree, read before it, uses it.
        is_confirmed = claim.team == self._new.team and not claim.pending
        return not is_confirmed or path not in self._base.list_claims()

    def write(self, required: frozenset[str]) -> _session.Steps[Applied]:
        write = platform_api.WriteObject(
            self._path, self._value, self._base.version
        )
        result = yield from self._session.write(write)
        outcome = self._resolve_outcome(result)
        if outcome is _Outcome.UNKNOWN:
            raise errors.OutcomeUnknownError(
                f'version {self._version} may contain this change or not:'
                ' review it before applying again'
            )
        if outcome is not _Outcome.DONE:
            yield from self._claimant.restore()
            raise (yield from self._build_write_error(outcome, result))
        yield from self._confirm_claims()
        yield from self._claimant.release(self._snapshot.claims, required)
        old = self._base.settings or settings.TeamSettings(self._new.team, {})
        return Applied(
            self._new.team,
            self._version,
            _preview.list_changes(old, self._new),
            self._list_not_in_force(),
        )

    def _resolve_outcome(
        self, result: _session.WriteResult
    ) -> _session.Outcome:
        """Resolve a replaced write from the history of later versions."""
        if result.outcome is not _Outcome.REPLACED:
            return result.outcome
        current = _subtree.read_subtree(self._new.team, result.current)
        writer = current.find_writer(self._version)
        if writer is None:
            return _Outcome.UNKNOWN
        is_own = writer.id == self._session.write_id
        return _Outcome.DONE if is_own else _Outcome.LOST

    def _build_write_error(
        self, outcome: _session.Outcome, result: _session.WriteResult
    ) -> _session.Steps[errors.SkylarkfoldError]:
        if outcome is _Outcome.UNSENT:
            return errors.PlatformError('the platform refused the write')
        current = result.current
        if current is None:
            self._session.record_version(self._path, self._version)
            try:
                current = yield from self._session.read(self._path)
            except errors.PlatformError:
                return errors.ConflictError(
                    f'version {self._base.version} is no longer in force'
                )
        subtree = _subtree.read_subtree(self._new.team, current)
        return _build_conflict(subtree, self._base.version)

    def _confirm_claims(self) -> _session.Steps[None]:
        lost = yield from self._claimant.confirm_all()
        if not lost:
            return
        undone = yield from self._undo()
        names = ', '.join(lost)
        state = 'undone' if undone else 'still written, but not in force'
        raise errors.ClaimError(
            f'{names}: taken over by another team meanwhile; version'
            f' {self._version} is {state}'
        )

    def _undo(self) -> _session.Steps[bool]:
        """Restore the previous services; return whether they are in force."""
        if self._base.error is not None:
            return False
        base_claims = self._base.list_claims()
        claimant = _claimant.Claimant(
            self._session, self._new.team, self._version + 1
        )
        try:
            for path in sorted(base_claims - _subtree.list_claims(self._new)):
                yield from claimant.take(path)
            result = yield from self._session.write(self._build_undo_write())
            if result.outcome is not _Outcome.DONE:
                return False
            return not (yield from claimant.confirm_all())
        except errors.SkylarkfoldError:
            return False

    def _build_undo_write(self) -> platform_api.WriteObject:
        written = platform_api.StoredObject(
            self._path, self._version, 0, self._value
        )
        value = _subtree.encode_subtree(
            _subtree.read_subtree(self._new.team, written),
            self._base.services,
            f'{self._session.write_id}/undo',
            self._operator.name,
        )
        return platform_api.WriteObject(self._path, value, self._version)

    def _list_not_in_force(self) -> tuple[str, ...]:
        return tuple(
            name
            for name, each in sorted(self._new.services.items())
            if any(
                map(self._is_held_by_other_team, _claim.list_claim_paths(each))
            )
        )

    def _is_held_by_other_team(self, path: str) -> bool:
        if self._claimant.has_taken(path):
            return False
        return self._snapshot.find_holder(path) not in ('', self._new.team)
