"""The command line: ``skylarkfold COMMAND``.

Exit status: 0 done; 1 failed or a promise was not kept; 2 wrong usage;
3 settings invalid; 4 another operator was first; 5 the platform did not
answer; 6 an address is in use; 7 a name or address is another team's;
8 the operator has no right to it.
"""

from __future__ import annotations

import os
import sys

import fire

from skylarkfold import _commands
from skylarkfold import errors

EXIT_FAILED = 1
_EXITS: tuple[tuple[type[errors.SkylarkfoldError], int], ...] = (
    (errors.SettingsError, 3),
    (errors.ConflictError, 4),
    (errors.PlatformError, 5),
    (errors.AddressInUseError, 6),
    (errors.ClaimError, 7),
    (errors.RightError, 8),
    (errors.UsageError, 2),
)


def find_exit_status(error: errors.SkylarkfoldError) -> int:
    """Find the exit status of an error.

    :param error: the error.
    :returns: the status as the module's documentation lists it.
    """
    for kind, status in _EXITS:
        if isinstance(error, kind):
            return status
    return EXIT_FAILED


def _hide_status(result: object) -> object:
    """Keep a command's exit status from being printed."""
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
        # Who reads, ``head`` say, has enough; nothing is left to be flushed
        # at the end.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(0)
    sys.exit(status if isinstance(status, int) else 0)
