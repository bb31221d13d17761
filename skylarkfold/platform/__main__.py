"""Runs one instance on the users' platform.

``python -m skylarkfold.platform [OWN-SETTINGS]``; the platform's settings
file stands in the environment.

The packet socket is bound first and the rest of the program loaded then:
that takes about 40 ms of processor time, a sixth of a second on the
smallest machines, and packets that come meanwhile wait in the kernel
instead of being lost.
"""

from __future__ import annotations

import socket
import sys

from skylarkfold import datagram
from skylarkfold import errors
from skylarkfold.platform import _settings

EXIT_SETTINGS = 3
EXIT_ADDRESS = 6


def main() -> int:
    """Read the settings and serve until a planned stop.

    :returns: the exit status.
    """
    try:
        path = _settings.find_path()
        settings = _settings.read_settings(path)
        packets = datagram.bind(settings.packet_address)
        own_path = sys.argv[1] if len(sys.argv) > 1 else ''
        _serve(settings, path, own_path, packets)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    except OSError as error:
        print(f'address-in-use: {error}', file=sys.stderr)
        return EXIT_ADDRESS
    return 0


def _serve(
    settings: _settings.PlatformSettings,
    path: str,
    own_path: str,
    packets: socket.socket,
) -> None:
    from skylarkfold import forwarder
    from skylarkfold.platform import _adapter

    adapter = _adapter.Adapter(settings, path, own_path)
    instance = _adapter.build_settings(settings, own_path)
    forwarder.Forwarder(instance, adapter, packets).run()


if __name__ == '__main__':
    sys.exit(main())
