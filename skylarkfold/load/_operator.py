"""Operator that changes settings with the command line."""

from __future__ import annotations

import base64
from collections.abc import Callable
import json
import pathlib
from typing import Any

import aiohttp

from skylarkfold.load import _process

COMMAND = ['-m', 'skylarkfold']
APPLY_ATTEMPTS = 5


class Operator:
    """Operator of one team's settings.

    :param team: the team's name.
    :param url: the platform's URL.
    :param folder: the folder for settings files.
    :param session: the HTTP client session.
    """

    def __init__(
        self,
        team: str,
        url: str,
        folder: pathlib.Path,
        session: aiohttp.ClientSession,
    ) -> None:
        self._team = team
        self._url = url
        self._folder = folder
        self._session = session

    async def drain(self, service: str, upstream: str) -> None:
        """Drain an upstream."""
        await self._run_command('drain', service, upstream)

    async def undrain(self, service: str, upstream: str) -> None:
        """Return a drained upstream to service."""
        await self._run_command('undrain', service, upstream)

    async def _run_command(self, *arguments: str) -> None:
        command = [*COMMAND, *arguments, '--team', self._team]
        command += ['--platform', self._url]
        status, output = await _process.run_command(command)
        if status:
            raise _process.ProcessError(f'{arguments}: {status}: {output}')

    async def apply(
        self, settings: dict[str, Any], version: int | None = None
    ) -> None:
        """Apply settings of the team.

        :param settings: the settings.
        :param version: the version that must be stored before; None for any.
        """
        path = self._folder / f'{self._team}.json'
        path.write_text(json.dumps(settings, indent=2))
        condition = [] if version is None else [f'--version={version}']
        await self._run_command('apply', str(path), *condition)

    async def change(self, change: Callable[[dict[str, Any]], None]) -> None:
        """Change the stored settings, and retry if another change interferes.

        :param change: the function that changes the settings in place.
        """
        for attempt in range(APPLY_ATTEMPTS):
            settings, version = await self.read()
            change(settings)
            try:
                return await self.apply(settings, version)
            except _process.ProcessError:
                if attempt == APPLY_ATTEMPTS - 1:
                    raise

    async def read(self) -> tuple[dict[str, Any], int]:
        """Return the stored settings and their version."""
        url = f'{self._url}/objects/teams/{self._team}/settings'
        async with self._session.get(url) as response:
            stored = await response.json()
        settings = json.loads(base64.b64decode(stored['value']))
        return settings, stored['version']
