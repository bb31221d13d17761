"""Status of subtrees' versions on the instances."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from skylarkfold import member
from skylarkfold import revision as revisions
from skylarkfold import settings
from skylarkfold.teams import _claim
from skylarkfold.teams import _configuration_builder
from skylarkfold.teams import _subtree


@dataclasses.dataclass(frozen=True, slots=True)
class TeamStatus:
    """Rollout status of the latest version of a team's subtree.

    :param team: the team.
    :param version: the latest version in the store.
    :param operator: the operator who wrote it, empty if unknown.
    :param code: the error code if the version is invalid, else empty; the
        last valid version stays in force.
    :param reason: the path and text of the error, else empty.
    :param in_force: the number of instances that apply the version.
    :param lagging: the names of the instances that don't.
    :param not_in_force: services that are not in force since another team
        holds a claim that they need.
    """

    team: str
    version: int
    operator: str
    code: str
    reason: str
    in_force: int
    lagging: tuple[str, ...]
    not_in_force: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceLag:
    """Lag of an instance behind the store.

    :param name: the instance.
    :param zone: its availability zone.
    :param state: its membership state.
    :param era: the era of the store that the instance knows, which grows
        each time the store is restored from an older copy.
    :param revision: the revision of that era that the instance applies, as
        last reported.
    :param missing: the number of teams whose latest version it lacks.
    """

    name: str
    zone: str
    state: str
    era: int
    revision: int
    missing: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Status of all teams and instances.

    :param teams: the teams, sorted by name.
    :param instances: the reachable instances, sorted by name.
    """

    teams: tuple[TeamStatus, ...]
    instances: tuple[InstanceLag, ...]


def build_status(
    subtrees: Iterable[_subtree.Subtree],
    claims: Mapping[str, _claim.Claim],
    members: Iterable[member.Member],
) -> Status:
    """Compare the store with the revisions that instances report.

    :param subtrees: the latest version of each team's subtree.
    :param claims: the claims by path.
    :param members: the instances as one of them sees them.
    :returns: the status.
    """
    sorted_subtrees = sorted(subtrees, key=lambda each: each.team)
    reachable = [each for each in members if each.state.is_reachable]
    reachable.sort(key=lambda each: each.name)
    lost_services = _list_lost_by_team(sorted_subtrees, claims)
    return Status(
        tuple(
            _build_team(each, reachable, lost_services)
            for each in sorted_subtrees
        ),
        tuple(_build_instance(each, sorted_subtrees) for each in reachable),
    )


def _list_lost_by_team(
    subtrees: list[_subtree.Subtree], claims: Mapping[str, _claim.Claim]
) -> dict[str, list[str]]:
    usable: dict[str, settings.TeamSettings] = {
        each.team: each.settings for each in subtrees if each.settings
    }
    lost_services: dict[str, list[str]] = {}
    for each in _configuration_builder.list_lost_services(usable, claims):
        lost_services.setdefault(each.team, []).append(each.name)
    return lost_services


def _build_team(
    subtree: _subtree.Subtree,
    reachable: list[member.Member],
    lost_services: dict[str, list[str]],
) -> TeamStatus:
    lagging = tuple(
        each.name for each in reachable if each.revision < subtree.revision
    )
    error = subtree.error
    return TeamStatus(
        team=subtree.team,
        version=subtree.version,
        operator=subtree.operator,
        code=error.code if error else '',
        reason=f'{error.path}: {error.reason}' if error else '',
        in_force=len(reachable) - len(lagging),
        lagging=lagging,
        not_in_force=tuple(lost_services.get(subtree.team, ())),
    )


def _build_instance(
    each: member.Member, subtrees: list[_subtree.Subtree]
) -> InstanceLag:
    missing = sum(subtree.revision > each.revision for subtree in subtrees)
    return InstanceLag(
        each.name,
        each.zone,
        each.state.value,
        revisions.get_era(each.revision),
        revisions.get_number(each.revision),
        missing,
    )
