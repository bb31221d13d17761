"""The configuration in force, put together from the teams' objects."""

from __future__ import annotations

from skylarkfold import effect
from skylarkfold import errors
from skylarkfold import event
from skylarkfold import platform_api
from skylarkfold import settings
from skylarkfold import teams

CLAIMS_PREFIX = '/claims/'


class ConfigurationCore:
    """Builds a configuration at each revision that changes one.

    A subtree that can't be used is passed over whole: the last good
    version of it stays in force.
    """

    def __init__(self) -> None:
        self._subtrees: dict[str, settings.TeamSettings] = {}
        self._claims: dict[str, teams.Claim] = {}
        self._changed = False

    def handle(self, now: float, received: object) -> list[object]:
        """Take one event.

        :param now: unused: nothing here depends on time.
        :param received: an event.
        :returns: effects.
        """
        if isinstance(received, event.ObjectChanged):
            return self._take(received.stored)
        if isinstance(received, event.RevisionReached) and self._changed:
            return self._publish(received.revision)
        return []

    def _take(self, changed: platform_api.StoredObject) -> list[object]:
        team = teams.parse_team(changed.path)
        if team is not None:
            return self._take_subtree(team, changed)
        if changed.path.startswith(CLAIMS_PREFIX):
            self._take_claim(changed)
        return []

    def _take_subtree(
        self, team: str, changed: platform_api.StoredObject
    ) -> list[object]:
        self._changed = True
        if changed.value is None:
            self._subtrees.pop(team, None)
            return []
        try:
            self._subtrees[team] = settings.read_team_settings(
                changed.value, changed.path, team
            )
        except errors.SettingsError as error:
            subject = f'{changed.path}@{changed.version}: {error.reason}'
            return [
                effect.RecordDecision(
                    'settings', '', subject, error.path, error.code
                )
            ]
        return []

    def _take_claim(self, changed: platform_api.StoredObject) -> None:
        self._changed = True
        if changed.value is None:
            self._claims.pop(changed.path, None)
            return
        # One that can't be read changes nothing: without it, what it
        # holds would fall to another team.
        claim = teams.read_claim(changed.path, changed.value)
        if claim is not None:
            self._claims[changed.path] = claim

    def _publish(self, revision: int) -> list[object]:
        self._changed = False
        built = teams.build_configuration(
            revision, self._subtrees, self._claims
        )
        return [effect.PublishConfiguration(built)]
