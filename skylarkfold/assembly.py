"""The active configuration, built from the teams' objects in the store."""

from __future__ import annotations

from skylarkfold import effect
from skylarkfold import errors
from skylarkfold import event
from skylarkfold import platform_api
from skylarkfold import settings
from skylarkfold import teams

CLAIMS_PREFIX = '/claims/'


class ConfigurationCore:
    """Builds the configuration at each revision that changes it.

    An invalid subtree is ignored as a whole: its last valid version stays in
    force.
    """

    def __init__(self) -> None:
        self._subtrees: dict[str, settings.TeamSettings] = {}
        self._claims: dict[str, teams.Claim] = {}
        self._changed = False

    def handle(self, now: float, received: object) -> list[object]:
        """Handle one event.

        :param now: unused.
        :param received: an event of :mod:`skylarkfold.event`.
        :returns: the effects to perform.
        """
        if isinstance(received, event.ObjectChanged):
            return self._apply_object(received.stored)
        if isinstance(received, event.RevisionReached) and self._changed:
            return self._publish(received.revision)
        return []

    def _apply_object(
        self, changed: platform_api.StoredObject
    ) -> list[object]:
        team = teams.parse_team(changed.path)
        if team is not None:
            return self._apply_subtree(team, changed)
        if changed.path.startswith(CLAIMS_PREFIX):
            self._apply_claim(changed)
        return []

    def _apply_subtree(
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

    def _apply_claim(self, changed: platform_api.StoredObject) -> None:
        self._changed = True
        if changed.value is None:
            self._claims.pop(changed.path, None)
            return
        # Ignore an unreadable claim: dropping the previous one would give
        # the claimed name or address to another team.
        claim = teams.read_claim(changed.path, changed.value)
        if claim is not None:
            self._claims[changed.path] = claim

    def _publish(self, revision: int) -> list[object]:
        self._changed = False
        configuration = teams.build_configuration(
            revision, self._subtrees, self._claims
        )
        return [effect.PublishConfiguration(configuration)]
