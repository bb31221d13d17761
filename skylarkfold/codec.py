"""MessagePack encoding of the messages between instances.

A stream is a sequence of MessagePack arrays, each of which begins with the
message's tag.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgpack
import msgspec

from skylarkfold import errors
from skylarkfold import message

MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()


def encode(peer_message: message.PeerMessage) -> bytes:
    """Encode one message.

    :param peer_message: the message.
    :returns: the encoded message.
    """
    return _encoder.encode(peer_message)


class StreamDecoder:
    """Decodes messages from a stream that arrives in arbitrary chunks.

    :param messages: the union of the expected message types.
    """

    __slots__ = ('_messages', '_unpacker')

    def __init__(self, messages: object) -> None:
        self._messages = messages
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MAXIMUM_MESSAGE_BYTES
        )

    def feed(self, data: bytes) -> Iterator[message.PeerMessage]:
        """Add bytes and yield the messages that are now complete.

        :param data: the next bytes of the stream.
        :returns: the decoded messages in order.
        :raises DecodeError: if a message is malformed, too large or of an
            unknown type. The decoder can't be used after that.
        """
        try:
            self._unpacker.feed(data)
            for fields in self._unpacker:
                yield msgspec.convert(fields, type=self._messages)
        except (
            msgpack.UnpackException,
            msgspec.ValidationError,
            ValueError,
            RecursionError,
        ) as error:
            raise errors.DecodeError(str(error)) from error
