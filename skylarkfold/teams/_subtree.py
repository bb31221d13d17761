"""A team's subtree as the platform stores it."""

from __future__ import annotations

import copy
import dataclasses
import json
from typing import Any

from skylarkfold import errors
from skylarkfold import platform_api
from skylarkfold import service
from skylarkfold import settings
from skylarkfold.teams import _claim

TEAM_PREFIX = '/teams/'
_SETTINGS_SUFFIX = '/settings'
_HISTORY_LENGTH = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Subtree:
    """One version of a team's subtree.

    :param team: the team's name.
    :param version: its version, 0 if there is none yet.
    :param revision: the platform's revision at which it was written.
    :param services: the plain services object, as it was written.
    :param settings: the parsed settings; None if they are invalid.
    :param error: the error if the settings are invalid.
    """

    team: str
    version: int
    revision: int
    services: dict[str, Any]
    settings: settings.TeamSettings | None
    error: errors.SettingsError | None = None

    @property
    def operator(self) -> str:
        """The operator who wrote this version, empty if unknown."""
        found = self.find_writer(self.version)
        return found.operator if found else ''

    def find_writer(self, version: int) -> settings.WriteEntry | None:
        """Find the write of this version or an earlier one.

        :param version: the version.
        :returns: the write, None if it is unknown.
        """
        for entry in self.list_history():
            if entry.version == version:
                return entry
        return None

    def list_history(self) -> tuple[settings.WriteEntry, ...]:
        """List this version's write and earlier ones, latest first."""
        if self.settings is None or self.settings.write is None:
            return ()
        record = self.settings.write
        last = settings.WriteEntry(record.version, record.id, record.operator)
        return (last, *record.history)

    def list_claims(self) -> frozenset[str]:
        """List the paths of the claims that its services need."""
        if self.settings is None:
            return frozenset()
        return list_claims(self.settings)


def list_claims(team: settings.TeamSettings) -> frozenset[str]:
    """List the paths of the claims that a team's services need.

    :param team: the team's settings.
    :returns: the paths.
    """
    return frozenset(
        path
        for each in team.services.values()
        for path in _claim.list_claim_paths(each)
    )


def build_subtree_path(team: str) -> str:
    """Build the path of the object of a team's subtree.

    :param team: the team's name.
    :returns: the object's path.
    """
    return f'{TEAM_PREFIX}{team}{_SETTINGS_SUFFIX}'


def parse_team(path: str) -> str | None:
    """Parse the team's name from the path of a subtree's object.

    :param path: the object's path.
    :returns: the team's name, None if the object is no subtree.
    """
    team = path.removeprefix(TEAM_PREFIX).removesuffix(_SETTINGS_SUFFIX)
    return team if build_subtree_path(team) == path else None


def read_subtree(
    team: str, found: platform_api.StoredObject | None
) -> Subtree:
    """Decode a subtree.

    :param team: the team's name.
    :param found: the platform's object, None if there is none.
    :returns: the subtree; if it is invalid, with the error.
    """
    if found is None or found.value is None:
        empty = settings.TeamSettings(team, {})
        return Subtree(team, 0, 0, {}, empty)
    version, revision = found.version, found.revision
    try:
        parsed = settings.read_team_settings(found.value, found.path, team)
        document = settings.parse_document(found.value, found.path)
    except errors.SettingsError as error:
        return Subtree(team, version, revision, {}, None, error)
    return Subtree(team, version, revision, document['services'], parsed)


def encode_subtree(
    base: Subtree, services: dict[str, Any], write_id: str, operator: str
) -> bytes:
    """Encode the next version of a subtree.

    :param base: the version to replace.
    :param services: the plain services object.
    :param write_id: the write's unique id.
    :param operator: the operator who makes the write.
    :returns: strict JSON.
    :raises SettingsError: if it exceeds the size limit of settings.
    """
    history = [
        dataclasses.asdict(each)
        for each in base.list_history()[:_HISTORY_LENGTH]
    ]
    write = {
        'version': base.version + 1,
        'id': write_id,
        'operator': operator,
        'history': history,
    }
    value = {'services': services, 'write': write}
    encoded = json.dumps(value, separators=(',', ':')).encode()
    if len(encoded) > settings.MAXIMUM_TEXT_BYTES:
        raise errors.SettingsTooLargeError(
            f'longer than {settings.MAXIMUM_TEXT_BYTES} bytes',
            build_subtree_path(base.team),
        )
    return encoded


def edit_upstream_state(
    base: Subtree,
    service_name: str,
    upstream_name: str,
    state: service.UpstreamState,
) -> dict[str, Any]:
    """Return a copy of the services with one upstream's state changed.

    :param base: the version to change.
    :param service_name: the service.
    :param upstream_name: its upstream.
    :param state: the new state.
    :returns: the new plain services object.
    :raises SettingsError: if there is no such upstream.
    """
    if base.error is not None:
        raise base.error
    services = copy.deepcopy(base.services)
    path = '$.services'
    try:
        found = services[service_name]
        path = settings.join_path(path, service_name) + '.upstreams'
        found['upstreams'][upstream_name]['state'] = state.value
    except KeyError as error:
        source = build_subtree_path(base.team)
        path = settings.join_path(path, str(error.args[0]))
        raise errors.SettingsError('does not exist', source, path) from None
    return services
