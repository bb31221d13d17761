"""Encoding of the ages of instances in messages."""

from __future__ import annotations

import math
import struct

from skylarkfold import errors

# An age is the digest of a name and tenths of a second in one byte: it is kept
# small, as each beacon may hold one for every instance of a zone.
_AGE = struct.Struct('!IB')
_AGE_STEPS = 10
_MAXIMUM_AGE = 255


def pack_ages(ages: dict[int, float]) -> bytes:
    """Encode ages.

    :param ages: the ages in seconds, by the digests of names.
    :returns: five bytes for each age.
    """
    # Rounded up: an age that shrank with every hop would keep an instance that
    # is down looking alive.
    return b''.join(
        _AGE.pack(digest, min(_MAXIMUM_AGE, math.ceil(age * _AGE_STEPS)))
        for digest, age in ages.items()
    )


def unpack_ages(data: object) -> dict[int, float]:
    """Decode ages.

    :param data: the result of :func:`pack_ages`.
    :returns: the ages in seconds, by the digests of names.
    :raises DecodeError: if the data is malformed.
    """
    if not isinstance(data, bytes) or len(data) % _AGE.size:
        raise errors.DecodeError('the ages are malformed')
    return {digest: age / _AGE_STEPS for digest, age in _AGE.iter_unpack(data)}
