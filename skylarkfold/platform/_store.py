"""The client of the platform's store."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold import errors
from skylarkfold import light_imports
from skylarkfold.platform import _fields
from skylarkfold.platform import _input_errors
from skylarkfold.platform import _objects
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

# Matches strings, which may contain brackets, and single brackets.
_NESTING_TOKENS = r'"(?:[^"\\]|\\.)*"|[\[\]{}]'
_OPENING = ('[', '{')
_CLOSING = (']', '}')
# Deeper values are replaced by null. Valid responses have four levels; the
# JSON parser fails at about a thousand.
_MAX_DEPTH = 64
# The largest encoded value accepted in a topic. Each instance holds about
# 3,800 entries of upstreams, usually of 200 bytes.
_MAX_VALUE_BYTES = {_objects.UPSTREAMS_TOPIC: 16 * 1024}
# Values measured together; usually they take half of the limit for one.
_CHECK_BATCH_ITEMS = 32


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
            connection = reactor.HttpClient(self._loop, self._address)
            self._connections[call.topic] = connection
        connection.request(
            'GET',
            _build_path(call),
            b'',
            call.timeout_seconds,
            lambda reply: on_answer(self._decode(call, reply)),
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
    # Importing urllib.parse would add 4 ms to each start.
    return ''.join(
        chr(byte) if chr(byte) in _UNRESERVED else f'%{byte:02X}'
        for byte in name.encode()
    )


def _decode_reply(
    call: relay.Call,
    reply: reactor.Reply,
    input_errors: _input_errors.InputErrors,
) -> relay.Answer:
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
    try:
        fields = _fields.Fields(_parse(body))
        return _AnswerDecoder(call.topic, input_errors, era).read(fields)
    except (ValueError, RecursionError, errors.DecodeError) as error:
        input_errors.report(
            _input_errors.ANSWER, call.topic, 0, type(error).__name__
        )
        return relay.Answer(relay.Status.MALFORMED)


def _parse(body: bytes) -> object:
    try:
        return light_imports.parse_json(body)
    except (UnicodeDecodeError, RecursionError):
        # Invalid UTF-8 becomes lone surrogates, so that only the objects
        # that contain them are unusable.
        text = body.decode('utf-8', 'surrogateescape')
        return light_imports.parse_json(_truncate_nesting(text))


def _truncate_nesting(text: str) -> str:
    """Replace values that are nested too deeply with null.

    :param text: JSON.
    :returns: JSON that the parser can read.
    """
    # Imported only if needed, to keep the start fast.
    import re

    parts = []
    depth = begin = 0
    for match in re.finditer(_NESTING_TOKENS, text):
        token = match.group()
        if token in _OPENING:
            depth += 1
            if depth == _MAX_DEPTH:
                parts += (text[begin : match.start()], 'null')
        elif token in _CLOSING:
            if depth == _MAX_DEPTH:
                begin = match.end()
            depth -= 1
    return ''.join((*parts, text[begin:]))


class _AnswerDecoder:
    """Decodes the objects of a response, and skips unreadable ones.

    :param topic: the topic of the call.
    :param input_errors: records unreadable objects.
    :param era: the store's era when it responded.
    """

    __slots__ = (
        '_era',
        '_input_errors',
        '_topic',
        '_unusable_value',
    )

    def __init__(
        self, topic: str, input_errors: _input_errors.InputErrors, era: int
    ) -> None:
        self._era = era
        self._topic = topic
        self._input_errors = input_errors
        # An unusable value becomes an empty one, which later decoding
        # rejects. An empty evacuation would be valid, so it is deleted.
        is_identified_by_name = topic == _objects.EVACUATIONS_TOPIC
        self._unusable_value: dict[str, object] | None = (
            None if is_identified_by_name else {}
        )

    def read(self, fields: _fields.Fields) -> relay.Answer:
        """Decode a response.

        :param fields: the fields of the response.
        :returns: the answer.
        :raises DecodeError: if it is neither a listing nor a list of events.
        """
        revision = self._read_revision(fields, 'current_rev')
        if fields.has('events'):
            items = self._read_all(fields.get_list('events'), self._read_event)
            return relay.Answer(relay.Status.OK, items, revision)
        items = self._read_all(fields.get_list('items'), self._read_object)
        is_truncated = fields.is_set('truncated')
        if is_truncated and not items:
            # The start of the next page is unknown, and using this page
            # would delete the objects after it.
            raise errors.DecodeError('truncated page without readable objects')
        return relay.Answer(relay.Status.OK, items, revision, is_truncated)

    def _read_all(
        self,
        values: list[object],
        read: Callable[[_fields.Fields], relay.Item],
    ) -> list[relay.Item]:
        items = []
        for value in values:
            try:
                item = read(_fields.Fields(value))
            except errors.DecodeError as error:
                self._input_errors.report(
                    _input_errors.OBJECT, self._topic, 0, error.reason
                )
                continue
            items.append(item)
        for begin in range(0, len(items), _CHECK_BATCH_ITEMS):
            self._clear_unsendable_values(
                items[begin : begin + _CHECK_BATCH_ITEMS]
            )
        return items

    def _clear_unsendable_values(self, items: list[relay.Item]) -> None:
        """Replace values that can't be sent to peers.

        :param items: some objects. They are measured one by one only if
            together they exceed the limit for one value.
        """
        values = [each.value for each in items if each.value is not None]
        try:
            size = relay.measure_values(values)
            if size <= _MAX_VALUE_BYTES.get(self._topic, size):
                return
        except errors.DecodeError:
            # Find the offending objects below.
            pass
        for item in items:
            self._clear_unsendable_value(item)

    def _clear_unsendable_value(self, item: relay.Item) -> None:
        """Replace a value that can't be sent to peers.

        :param item: the object.
        """
        if item.value is None:
            return
        try:
            size = relay.measure_values([item.value])
            if size <= _MAX_VALUE_BYTES.get(self._topic, size):
                return
            reason = 'the value is too large'
        except errors.DecodeError as error:
            reason = error.reason
        item.value = self._unusable_value
        self._input_errors.report(
            _input_errors.OBJECT, item.path, item.revision.number, reason
        )

    def _read_event(self, fields: _fields.Fields) -> relay.Item:
        item = self._read_object(fields.get_fields('object'))
        if fields.get_flag('deleted'):
            item.value = None
        return item

    def _read_object(self, fields: _fields.Fields) -> relay.Item:
        meta = fields.get_fields('meta')
        name = meta.get_text('name')
        if not name.isprintable():
            raise errors.DecodeError('name: expected printable text')
        revision = self._read_revision(meta, 'rev')
        value = fields.get_map('spec')
        if value is None:
            value = self._unusable_value
        if value is None:
            self._input_errors.report(
                _input_errors.OBJECT,
                name,
                revision.number,
                'spec: a map is wanted',
            )
        created = self._read_revision(meta, 'create_rev')
        return relay.Item(name, revision, created, value)

    def _read_revision(
        self, fields: _fields.Fields, name: str
    ) -> revisions.Revision:
        number = fields.get_integer(name, 0, revisions.MAXIMUM_NUMBER)
        return revisions.Revision(number, self._era)
