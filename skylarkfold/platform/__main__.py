"""Runs one instance on the users' platform."""

from __future__ import annotations

import sys

from skylarkfold import errors
from skylarkfold import forwarder
from skylarkfold.platform import _adapter
from skylarkfold.platform import _settings

EXIT_SETTINGS = 3
EXIT_ADDRESS = 6


def main() -> int:
    """Read the settings and serve until a planned stop.

    :returns: the exit status.
    """
    try:
        settings = _settings.read_settings(_settings.find_path())
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    adapter = _adapter.Adapter(settings)
    try:
        daemon = forwarder.Forwarder(settings.forwarder, adapter)
    except OSError as error:
        print(f'address-in-use: {error}', file=sys.stderr)
        return EXIT_ADDRESS
    daemon.run()
    return 0


if __name__ == '__main__':
    sys.exit(main())
