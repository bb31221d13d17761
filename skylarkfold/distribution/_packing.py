"""Compressed encoding of objects in messages."""

from __future__ import annotations

from collections.abc import Iterable
import zlib

import msgspec

from skylarkfold import codec
from skylarkfold.distribution import _messages
from skylarkfold import errors
from skylarkfold import platform_api

_LEVEL = 1
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[_messages.Item, ...])


def pack(objects: Iterable[platform_api.StoredObject]) -> bytes:
    """Encode and compress objects.

    :param objects: the objects.
    :returns: the compressed bytes.
    """
    items = tuple(
        _messages.Item(each.path, each.version, each.revision, each.value)
        for each in objects
    )
    return zlib.compress(_encoder.encode(items), _LEVEL)


def unpack(packed: bytes) -> tuple[platform_api.StoredObject, ...]:
    """Decompress and decode objects.

    :param packed: the compressed bytes.
    :returns: the objects.
    :raises DecodeError: if the bytes are malformed, or decompress to more
        than a message may hold.
    """
    try:
        items = _decoder.decode(_decompress(packed))
    except (zlib.error, msgspec.MsgspecError, ValueError) as error:
        raise errors.DecodeError(str(error)) from error
    return tuple(
        platform_api.StoredObject(
            each.path, each.version, each.revision, each.value
        )
        for each in items
    )


def _decompress(packed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(packed, codec.MAXIMUM_MESSAGE_BYTES)
    if not decompressor.eof:
        raise errors.DecodeError('objects are cut off or too large')
    return data
