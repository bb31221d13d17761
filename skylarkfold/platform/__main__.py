"""Runs one instance on the users' platform.

Usage: ``python -m skylarkfold.platform [OWN-SETTINGS]``. The environment
variable ``SKYLARKFOLD_CONFIG`` names the platform's settings file.

The packet socket is bound before most modules are imported: importing takes
about 40 ms of processor time, and packets that arrive meanwhile are queued in
the kernel instead of being lost.
"""

from __future__ import annotations

import gc
import os
import sys
import time
import types

from skylarkfold import datagram
from skylarkfold import errors
from skylarkfold import light_imports
from skylarkfold import machine

# The environment variable that holds the settings file's path.
PATH_VARIABLE = 'SKYLARKFOLD_CONFIG'
EXIT_SETTINGS = 3
EXIT_ADDRESS = 6
# How long a start waits for a settings file that is being written, and the
# pause between two attempts to read it.
SETTINGS_SECONDS = 2.0
_RETRY_SECONDS = 0.05


def main() -> int:
    """Read the settings and serve until a graceful shutdown.

    :returns: the exit status.
    """
    # The settings are read below, and again if they change, so a reload that
    # is requested before the forwarder handles the signal is not lost.
    light_imports.set_signal_handler(
        light_imports.SIGHUP, light_imports.SIG_IGN
    )
    # Speeds up the start; the forwarder enables it again.
    gc.disable()
    try:
        path = os.environ.get(PATH_VARIABLE, '')
        if not path:
            raise errors.SettingsError(f'{PATH_VARIABLE} is not set')
        file = machine.SettingsFile(path)
        settings = _read_settings(file)
        packets = datagram.bind(settings.packet_address)
        forwarder_settings_path = sys.argv[1] if len(sys.argv) > 1 else ''
        _serve(settings, file, forwarder_settings_path, packets)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    except OSError as error:
        print(f'address-in-use: {error}', file=sys.stderr)
        return EXIT_ADDRESS
    return 0


def _read_settings(file: machine.SettingsFile) -> machine.MachineSettings:
    """Read the settings, again if the file is incomplete.

    The platform may be writing it. A complete file with invalid settings is
    an error at once.
    """
    until = time.monotonic() + SETTINGS_SECONDS
    has_told = False
    while True:
        try:
            return file.read()
        except (
            errors.SettingsSyntaxError,
            errors.SettingsUnreadableError,
        ) as error:
            if time.monotonic() >= until:
                raise
            if not has_told:
                has_told = True
                print(
                    f'{error}; reading it again for {SETTINGS_SECONDS} s',
                    file=sys.stderr,
                    flush=True,
                )
        time.sleep(_RETRY_SECONDS)


def load() -> tuple[types.ModuleType, types.ModuleType]:
    """Import the modules that are loaded after the socket is bound.

    :returns: the modules of the forwarder and of the platform's adapter.
    """
    from skylarkfold import forwarder
    from skylarkfold.platform import _adapter

    return forwarder, _adapter


def _serve(
    settings: machine.MachineSettings,
    file: machine.SettingsFile,
    forwarder_settings_path: str,
    packets: light_imports.Socket,
) -> None:
    forwarder, _adapter = load()
    forwarder_settings = forwarder.read_forwarder_settings(
        forwarder_settings_path
    )
    adapter = _adapter.Adapter(settings)
    forwarder.Forwarder(
        settings, file, forwarder_settings, adapter, packets
    ).run()


if __name__ == '__main__':
    sys.exit(main())
