"""The command line: ``skylarkfold COMMAND``.

Exit status: 0 done; 1 failed or a promise was not kept; 2 wrong usage;
3 invalid settings; 4 conflict with another operator's change; 5 the platform
did not answer; 6 address in use; 7 a name or address belongs to another
team; 8 the operator has no permission.
"""

from __future__ import annotations

import os
import sys

import fire

from skylarkfold import _commands
from skylarkfold import errors

EXIT_FAILED = 1
_EXIT_STATUSES: tuple[tuple[type[errors.SkylarkfoldError], int], ...] = (
    (errors.SettingsError, 3),
    (errors.ConflictError, 4),
    (errors.PlatformError, 5),
    (errors.AddressInUseError, 6),
    (errors.ClaimError, 7),
    (errors.RightError, 8),
    (errors.UsageError, 2),
)


def find_exit_status(error: errors.SkylarkfoldError) -> int:
    """Return the exit status for an error.

    :param error: the error.
    :returns: the exit status, as listed in the module's docstring.
    """
    for kind, status in _EXIT_STATUSES:
        if isinstance(error, kind):
            return status
    return EXIT_FAILED


def _hide_status(result: object) -> object:
    """Return None for an exit status, so that Fire does not print it."""
    return None if isinstance(result, int) else result


def main() -> None:
    """Run the command that the arguments name."""
    try:
        status = fire.Fire(
            _commands.Commands, name='skylarkfold', serialize=_hide_status
        )
    except errors.SkylarkfoldError as error:
        print(error, file=sys.stderr)
        sys.exit(find_exit_status(error))
    except KeyboardInterrupt:
        sys.exit(EXIT_FAILED)
    except BrokenPipeError:
        # The reader, for example ``head``, closed the pipe. Redirect the
        # output, so that the flush at exit does not fail as well.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(0)
    sys.exit(status if isinstance(status, int) else 0)
