"""Runs one instance on the users' platform.

``python -m skylarkfold.platform [OWN-SETTINGS]``; the platform's settings
file stands in the environment.

The packet socket is bound first and the rest of the program loaded then:
that takes about 40 ms of processor time, a sixth of a second on the
smallest machines, and packets that come meanwhile wait in the kernel
instead of being lost.
"""

from __future__ import annotations

import gc
import os
import sys
import types

from skylarkfold import datagram
from skylarkfold import errors
from skylarkfold import light_imports
from skylarkfold import machine

# The environment variable that holds the settings file's path.
PATH_VARIABLE = 'SKYLARKFOLD_CONFIG'
EXIT_SETTINGS = 3
EXIT_ADDRESS = 6


def main() -> int:
    """Read the settings and serve until a planned stop.

    :returns: the exit status.
    """
    # Enabled again by the forwarder; its passes take a twentieth of a start.
    gc.disable()
    try:
        path = os.environ.get(PATH_VARIABLE, '')
        if not path:
            raise errors.SettingsError(f'{PATH_VARIABLE} is not set')
        file = machine.SettingsFile(path)
        settings = file.read()
        packets = datagram.bind(settings.packet_address)
        own_path = sys.argv[1] if len(sys.argv) > 1 else ''
        _serve(settings, file, own_path, packets)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    except OSError as error:
        print(f'address-in-use: {error}', file=sys.stderr)
        return EXIT_ADDRESS
    return 0


def load() -> tuple[types.ModuleType, types.ModuleType]:
    """Load the rest of the program.

    :returns: the daemon, and the translation of the platform's bytes.
    """
    from skylarkfold import forwarder
    from skylarkfold.platform import _adapter

    return forwarder, _adapter


def _serve(
    settings: machine.MachineSettings,
    file: machine.SettingsFile,
    own_path: str,
    packets: light_imports.Socket,
) -> None:
    forwarder, _adapter = load()
    own = forwarder.read_forwarder_settings(own_path)
    adapter = _adapter.Adapter(settings)
    forwarder.Forwarder(settings, file, own, adapter, packets).run()


if __name__ == '__main__':
    sys.exit(main())
