"""Files that a command or a process is given.

Imports little: each start of an instance passes through here.
"""

from __future__ import annotations

import os

from skylarkfold import errors


def read_bytes(path: str | os.PathLike) -> bytes:
    """Read a file.

    :param path: the file.
    :returns: its bytes.
    :raises SettingsUnreadableError: if it can't be read.
    """
    try:
        with open(path, 'rb') as file:
            return file.read()
    # ValueError: a path that no file can have.
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        raise errors.SettingsUnreadableError(reason, str(path)) from None
