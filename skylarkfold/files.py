"""Reading of files given on the command line or in settings.

This module imports little, since every instance loads it at startup.
"""

from __future__ import annotations

import os

from skylarkfold import errors


def read_bytes(path: str | os.PathLike) -> bytes:
    """Read a file.

    :param path: the path of the file.
    :returns: its content.
    :raises SettingsUnreadableError: if it can't be read.
    """
    try:
        with open(path, 'rb') as file:
            return file.read()
    # ValueError: the path is invalid, such as one with a null byte.
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        raise errors.SettingsUnreadableError(reason, str(path)) from None
