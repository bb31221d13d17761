"""Which version of each subtree is in force where."""

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
    """How far the last version of a team's subtree has come.

    :param team: the team.
    :param version: the last version in the store.
    :param operator: who wrote it, empty where it is not known.
    :param code: why it can't be used, empty where it can; the version
        before it stays in force then.
    :param reason: the same for a person, with the place.
    :param in_force: how many instances have it.
    :param lagging: the names of those that have not.
    :param not_in_force: services that another team's claim keeps out.
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
    """How far an instance is behind the store.

    :param name: the instance.
    :param zone: its availability zone.
    :param state: how it is seen.
    :param era: the era of the store that is known there: how often it has
        come back from an older copy.
    :param revision: the revision of that era in force there, as last
        reported.
    :param missing: how many teams' last versions it does not have yet.
    """

    name: str
    zone: str
    state: str
    era: int
    revision: int
    missing: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What is in force where.

    :param teams: by name.
    :param instances: by name; those that are gone are left out.
    """

    teams: tuple[TeamStatus, ...]
    instances: tuple[InstanceLag, ...]


def build_status(
    subtrees: Iterable[_subtree.Subtree],
    claims: Mapping[str, _claim.Claim],
    members: Iterable[member.Member],
) -> Status:
    """Compare the store with what the instances report.

    :param subtrees: the last version of each team's subtree.
    :param claims: by path.
    :param members: the instances as one of them sees them.
    :returns: the rows for operators.
    """
    known = sorted(subtrees, key=lambda each: each.team)
    present = [each for each in members if each.state.is_reachable]
    present.sort(key=lambda each: each.name)
    lost = _list_lost(known, claims)
    return Status(
        tuple(_build_team(each, present, lost) for each in known),
        tuple(_build_instance(each, known) for each in present),
    )


def _list_lost(
    subtrees: list[_subtree.Subtree], claims: Mapping[str, _claim.Claim]
) -> dict[str, list[str]]:
    usable: dict[str, settings.TeamSettings] = {
        each.team: each.settings for each in subtrees if each.settings
    }
    lost: dict[str, list[str]] = {}
    for each in _configuration_builder.list_lost_services(usable, claims):
        lost.setdefault(each.team, []).append(each.name)
    return lost


def _build_team(
    subtree: _subtree.Subtree,
    present: list[member.Member],
    lost: dict[str, list[str]],
) -> TeamStatus:
    lagging = tuple(
        each.name for each in present if each.revision < subtree.revision
    )
    error = subtree.error
    return TeamStatus(
        team=subtree.team,
        version=subtree.version,
        operator=subtree.operator,
        code=error.code if error else '',
        reason=f'{error.path}: {error.reason}' if error else '',
        in_force=len(present) - len(lagging),
        lagging=lagging,
        not_in_force=tuple(lost.get(subtree.team, ())),
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
