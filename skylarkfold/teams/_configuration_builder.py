"""Merging of all teams' subtrees into one configuration."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping

from skylarkfold import configuration
from skylarkfold import service
from skylarkfold import settings
from skylarkfold.teams import _claim


def build_configuration(
    revision: int,
    subtrees: Mapping[str, settings.TeamSettings],
    claims: Mapping[str, _claim.Claim],
) -> configuration.Configuration:
    """Merge all teams' services so that names and addresses are unique.

    A service is in force if its team holds the claims on its name and
    addresses. If no team holds a claim, for instance since the subtree was
    not written by the operators' commands, it goes to the first team by
    name. The result depends only on the arguments' values.

    :param revision: the platform's revision of the arguments.
    :param subtrees: each team's last valid settings.
    :param claims: the claims by path.
    :returns: the configuration.
    """
    holders: dict[str, str] = {
        path: claim.team for path, claim in claims.items() if claim.team
    }
    services = {
        each.name: each
        for each in _list_services(subtrees)
        if _assign_claims(each, holders)
    }
    return configuration.Configuration(revision, services)


def list_lost_services(
    subtrees: Mapping[str, settings.TeamSettings],
    claims: Mapping[str, _claim.Claim],
) -> list[service.Service]:
    """List the services that are configured but not in force.

    :param subtrees: each team's last valid settings.
    :param claims: the claims by path.
    :returns: the services whose name or address another team holds.
    """
    in_force = build_configuration(0, subtrees, claims).services
    return [
        each
        for each in _list_services(subtrees)
        if in_force.get(each.name) is not each
    ]


def _list_services(
    subtrees: Mapping[str, settings.TeamSettings],
) -> Iterator[service.Service]:
    for team in sorted(subtrees):
        services = subtrees[team].services
        for name in sorted(services):
            yield services[name]


def _assign_claims(each: service.Service, holders: dict[str, str]) -> bool:
    paths = _claim.list_claim_paths(each)
    if any(holders.get(path, each.team) != each.team for path in paths):
        return False
    holders.update(dict.fromkeys(paths, each.team))
    return True
