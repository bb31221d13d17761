"""How long ago instances were heard, in messages."""

from __future__ import annotations

import math
import struct

from skylarkfold import errors

# An age: the digest of a name, and tenths of a second in one byte, since
# every instance of a zone is told of several times a second.
_AGE = struct.Struct('!IB')
_AGE_STEPS = 10
_MOST_AGE = 255


def pack_ages(ages: dict[int, float]) -> bytes:
    """Write ages.

    :param ages: in seconds, by the digests of names.
    :returns: five bytes each.
    """
    # Rounded up: an age that shrank on its way would keep alive what is not.
    return b''.join(
        _AGE.pack(digest, min(_MOST_AGE, math.ceil(age * _AGE_STEPS)))
        for digest, age in ages.items()
    )


def unpack_ages(data: object) -> dict[int, float]:
    """Read ages.

    :param data: what :func:`pack_ages` has written.
    :returns: seconds, by the digests of names.
    :raises DecodeError: if it is something else.
    """
    if not isinstance(data, bytes) or len(data) % _AGE.size:
        raise errors.DecodeError('ages')
    return {digest: age / _AGE_STEPS for digest, age in _AGE.iter_unpack(data)}
