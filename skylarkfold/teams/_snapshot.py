"""Snapshot of the subtrees and claims that a command depends on."""

from __future__ import annotations

import dataclasses

from skylarkfold.teams import _claim
from skylarkfold.teams import _session
from skylarkfold.teams import _subtree

Claims = dict[str, tuple[int, _claim.Claim]]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The platform's objects as one command read them.

    :param base: the subtree of the command's team.
    :param claims: all claims with their objects' versions, by path, read
        after the subtrees.
    :param others: the other teams' subtrees, by team.
    """

    base: _subtree.Subtree
    claims: Claims
    others: dict[str, _subtree.Subtree]

    def find_holder(self, path: str) -> str:
        """Find the team that holds a claim or uses its path without one.

        :param path: the claim's path.
        :returns: the team's name, empty if there is none.
        """
        if path in self.claims and self.claims[path][1].team:
            return self.claims[path][1].team
        for name, subtree in sorted(self.others.items()):
            if path in subtree.list_claims():
                return name
        return ''


def read_snapshot(
    session: _session.Session, team: str
) -> _session.Steps[Snapshot]:
    """Read the subtrees and claims that a change of a subtree depends on.

    :param session: the command's calls.
    :param team: the team whose subtree is to be changed.
    :returns: the snapshot.
    :raises PlatformError: if the platform does not answer.
    """
    subtrees, claims = yield from _read_objects(session)
    base = subtrees.pop(team, None) or _subtree.read_subtree(team, None)
    return Snapshot(base, claims, subtrees)


def read_all(
    session: _session.Session,
) -> _session.Steps[tuple[list[_subtree.Subtree], dict[str, _claim.Claim]]]:
    """Read all subtrees and claims.

    :param session: the command's calls.
    :returns: the subtrees, and the claims by path.
    :raises PlatformError: if the platform does not answer.
    """
    subtrees, claims = yield from _read_objects(session)
    found = {path: claim for path, (_, claim) in claims.items()}
    return list(subtrees.values()), found


def _read_objects(
    session: _session.Session,
) -> _session.Steps[tuple[dict[str, _subtree.Subtree], Claims]]:
    # Subtrees are read first, since a change relies on claims that are at
    # least as new.
    subtrees = {}
    for each in (yield from session.list_objects(_subtree.TEAM_PREFIX)):
        name = _subtree.parse_team(each.path)
        if name is not None:
            subtrees[name] = _subtree.read_subtree(name, each)
    claims = {}
    for each in (yield from session.list_objects(_claim.CLAIM_PREFIX)):
        claim = _claim.read_claim(each.path, each.value)
        if claim is not None:
            claims[each.path] = (each.version, claim)
    return subtrees, claims
