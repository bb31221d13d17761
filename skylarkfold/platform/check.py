"""Validation of the settings files of an instance on the users' platform."""

from __future__ import annotations

import pathlib
import tomllib

from skylarkfold import errors
from skylarkfold import files
from skylarkfold import forwarder
from skylarkfold import machine

# The script or module that runs an instance; in a role's command line, the
# path of the forwarder settings follows it.
_PROGRAMS = ('deploy/start.py', 'skylarkfold.platform')


def check(path: str, kind: str) -> str:
    """Check a file.

    :param path: the file.
    :param kind: ``own``, ``platform`` or ``deploy``.
    :returns: a one-line summary.
    :raises SettingsError: with the file, the field's path, a reason and a
        code, if the file is invalid.
    :raises UsageError: if the kind is unknown.
    """
    if kind == 'own':
        forwarder_settings = forwarder.read_forwarder_settings(path)
        return (
            'valid own settings, '
            f'metrics at port {forwarder_settings.metrics_port}'
        )
    if kind == 'platform':
        settings = machine.read_settings(path)
        return f'valid platform settings of {settings.name}'
    if kind == 'deploy':
        return _check_deploy(path)
    raise errors.UsageError(f'{kind!r} is none of own, platform, deploy')


def _check_deploy(path: str) -> str:
    try:
        fields = tomllib.loads(files.read_bytes(path).decode())
    except ValueError as error:
        raise errors.SettingsSyntaxError(str(error), path) from None
    roles = fields.get('roles')
    if not isinstance(roles, dict) or not roles:
        raise errors.MissingFieldError('no role', path, '$.roles')
    if not isinstance(fields.get('build'), str):
        raise errors.MissingFieldError('expected a string', path, '$.build')
    for name, role in roles.items():
        _check_role(path, f'$.roles.{name}', role)
    return f'valid deploy file, {len(roles)} roles'


def _check_role(path: str, field_path: str, role: object) -> None:
    if not isinstance(role, dict):
        raise errors.SettingsError('expected a table', path, field_path)
    command = str(role.get('run', '')).split()
    program = next((each for each in command if each in _PROGRAMS), None)
    if program is None:
        reason = f'it runs none of {", ".join(_PROGRAMS)}'
        raise errors.SettingsError(reason, path, f'{field_path}.run')
    root = pathlib.Path(path).parent.parent
    template = str(role.get('template', ''))
    if not template or not (root / template).is_file():
        reason = 'it names no template of this repository'
        raise errors.SettingsError(reason, path, f'{field_path}.template')
    arguments = command[command.index(program) + 1 :]
    metrics = str(role.get('metrics', ''))
    settings = forwarder.ForwarderSettings()
    if arguments:
        settings = forwarder.read_forwarder_settings(str(root / arguments[0]))
    port = metrics.partition('/')[0]
    if metrics and port != str(settings.metrics_port):
        reason = f'own settings have port {settings.metrics_port}'
        raise errors.SettingsError(reason, path, f'{field_path}.metrics')
