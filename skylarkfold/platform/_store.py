"""The client of the platform's store."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold import errors
from skylarkfold.platform import _answer_decoder
from skylarkfold.platform import _answer_parser
from skylarkfold.platform import _input_errors
from skylarkfold import reactor
from skylarkfold import relay
from skylarkfold import revision as revisions

AnswerCallback = Callable[[relay.Answer], object]

_UNRESERVED = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~'
)

_OK = 200
_GONE = 410
# How often the store was restored from an older copy; sent in all responses.
_ERA_HEADER = 'store-era'
# Statuses by which the store refuses a request without handling it.
_REFUSALS = (429, 503)
# The longest transfer of a page, on a link of 1 Mbit/s.
_TRANSFER_SECONDS = 10.0
_STATUSES = {
    reactor.Failure.MALFORMED: relay.Status.MALFORMED,
    reactor.Failure.TOO_LARGE: relay.Status.TOO_LARGE,
    reactor.Failure.INCOMPLETE: relay.Status.INCOMPLETE,
}


class StoreClient:
    """Calls the store, using one connection per topic.

    Topics can't share a connection, since a watch blocks it.

    :param loop: the event loop.
    :param address: the store's host and port.
    :param input_errors: records unreadable objects.
    """

    __slots__ = (
        '_address',
        '_cancelled_topic',
        '_connections',
        '_input_errors',
        '_loop',
    )

    def __init__(
        self,
        loop: reactor.Loop,
        address: tuple[str, int],
        input_errors: _input_errors.InputErrors | None = None,
    ) -> None:
        self._loop = loop
        self._address = address
        self._input_errors = input_errors or _input_errors.InputErrors()
        self._connections: dict[str, reactor.HttpClient] = {}
        # The topic whose call is being cancelled, during cancel().
        self._cancelled_topic = ''

    def call(self, call: relay.Call, on_answer: AnswerCallback) -> None:
        """Start a call.

        :param call: the call.
        :param on_answer: called with the answer.
        """
        connection = self._connections.get(call.topic)
        if connection is None:
            connection = reactor.HttpClient(
                self._loop, self._address, headers=(_ERA_HEADER,)
            )
            self._connections[call.topic] = connection
        connection.request(
            'GET',
            _build_path(call),
            b'',
            call.timeout_seconds,
            lambda reply: on_answer(self._decode(call, reply)),
            # The age of a listing counts from its call, that of a watch from
            # its answer.
            _TRANSFER_SECONDS if call.revision is None else 0.0,
        )

    def _decode(self, call: relay.Call, reply: reactor.Reply) -> relay.Answer:
        if self._cancelled_topic == call.topic:
            return relay.Answer(relay.Status.ABANDONED)
        return _decode_reply(call, reply, self._input_errors)

    def cancel(self, topic: str) -> None:
        """Abort the pending call of a topic; it is answered as abandoned.

        :param topic: the topic.
        """
        connection = self._connections.get(topic)
        if connection is not None:
            self._cancelled_topic = topic
            connection.close()
            self._cancelled_topic = ''

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()


def _build_path(call: relay.Call) -> str:
    path = f'/objects/{call.topic}'
    if call.revision is not None:
        wait = int(call.wait_seconds * 1000)
        return f'{path}?watch={call.revision.number}&wait_ms={wait}'
    if call.after:
        return f'{path}?after={_quote(call.after)}'
    return path


def _quote(name: str) -> str:
    # Importing urllib.parse would add 4 ms to each start. Names of unusable
    # objects may have surrogates, which stand for bytes that aren't UTF-8.
    return ''.join(
        chr(byte) if chr(byte) in _UNRESERVED else f'%{byte:02X}'
        for byte in _encode_name(name)
    )


def _encode_name(name: str) -> bytes:
    try:
        return name.encode('utf-8', 'surrogateescape')
    except UnicodeEncodeError:
        return name.encode('utf-8', 'surrogatepass')


def _decode_reply(
    call: relay.Call,
    reply: reactor.Reply,
    input_errors: _input_errors.InputErrors,
) -> relay.Answer:
    if reply.failure in _STATUSES:
        return relay.Answer(_STATUSES[reply.failure])
    try:
        era = _read_era(call, reply)
    except errors.DecodeError as error:
        # Without its era, the response can't be ordered against others.
        input_errors.report(_input_errors.ANSWER, call.topic, 0, error.reason)
        return relay.Answer(relay.Status.MALFORMED)
    return _decode(call, reply.status, reply.body, input_errors, era)


def _read_era(call: relay.Call, reply: reactor.Reply) -> int:
    text = reply.headers.get(_ERA_HEADER)
    if text is None:
        return call.era
    return revisions.parse_era(text)


def _decode(
    call: relay.Call,
    status: int,
    body: bytes,
    input_errors: _input_errors.InputErrors | None = None,
    era: int = 0,
) -> relay.Answer:
    if status == _GONE:
        return relay.Answer(relay.Status.FORGOTTEN)
    if status in _REFUSALS:
        return relay.Answer(relay.Status.REFUSED)
    if status != _OK:
        return relay.Answer(relay.Status.UNKNOWN)
    if input_errors is None:
        input_errors = _input_errors.InputErrors()
    decoder = _answer_decoder.AnswerDecoder(call, input_errors, era)
    try:
        return decoder.read(_answer_parser.parse(body))
    except errors.DecodeError as error:
        reason = error.reason
    except (ValueError, RecursionError) as error:
        reason = type(error).__name__
    input_errors.report(_input_errors.ANSWER, call.topic, 0, reason)
    return relay.Answer(relay.Status.MALFORMED)
