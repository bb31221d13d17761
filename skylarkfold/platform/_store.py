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

Answered = Callable[[relay.Answer], object]

_PLAIN = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~'
)

_OK = 200
_GONE = 410
# How often the store has come back from an older copy; in all its answers.
_ERA_HEADER = 'store-era'
# 429 and 503 say that nothing was done.
_REFUSALS = (429, 503)

# Texts, which may hold brackets, and brackets.
_NESTING = r'"(?:[^"\\]|\\.)*"|[\[\]{}]'
_OPENING = ('[', '{')
_CLOSING = (']', '}')
# An answer, its list, an object and its entry take four of these; the
# library reads a thousand.
_MOST_DEPTH = 64
# The most that an object of a topic is as peers are sent it; an entry of an
# upstream takes 200 bytes, and each instance holds 3,800 of them.
_MOST_BYTES = {_objects.UPSTREAMS_TOPIC: 16 * 1024}
# Objects that are measured at once: half of that as a rule.
_CHECKED_ITEMS = 32


class StoreClient:
    """Calls the store, over one connection for each topic.

    A watch occupies its connection, so that topics don't share one.

    :param loop: the event loop.
    :param address: the store's host and port.
    :param complaints: where objects that can't be read are noted.
    """

    __slots__ = (
        '_abandoned',
        '_address',
        '_complaints',
        '_connections',
        '_loop',
    )

    def __init__(
        self,
        loop: reactor.Loop,
        address: tuple[str, int],
        complaints: _input_errors.Complaints | None = None,
    ) -> None:
        self._loop = loop
        self._address = address
        self._complaints = complaints or _input_errors.Complaints()
        self._connections: dict[str, reactor.HttpClient] = {}
        # The topic whose call is being ended.
        self._abandoned = ''

    def call(self, call: relay.Call, answered: Answered) -> None:
        """Begin a call.

        :param call: what to read.
        :param answered: gets the answer.
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
            lambda reply: answered(self._decode(call, reply)),
        )

    def _decode(self, call: relay.Call, reply: reactor.Reply) -> relay.Answer:
        if self._abandoned == call.topic:
            return relay.Answer(relay.Status.ABANDONED)
        return _decode_reply(call, reply, self._complaints)

    def cancel(self, topic: str) -> None:
        """End the call of a topic that is under way, without an answer.

        :param topic: the topic.
        """
        connection = self._connections.get(topic)
        if connection is not None:
            self._abandoned = topic
            connection.close()
            self._abandoned = ''

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
    # Importing urllib.parse for it would take 4 ms of each start.
    return ''.join(
        chr(byte) if chr(byte) in _PLAIN else f'%{byte:02X}'
        for byte in name.encode()
    )


def _decode_reply(
    call: relay.Call,
    reply: reactor.Reply,
    complaints: _input_errors.Complaints,
) -> relay.Answer:
    try:
        era = _read_era(call, reply)
    except errors.DecodeError as error:
        # Where in the store's history it belongs can't be told.
        complaints.note(_input_errors.ANSWER, call.topic, 0, error.reason)
        return relay.Answer(relay.Status.UNKNOWN)
    return _decode(call, reply.status, reply.body, complaints, era)


def _read_era(call: relay.Call, reply: reactor.Reply) -> int:
    text = reply.headers.get(_ERA_HEADER)
    if text is None:
        return call.era
    return revisions.parse_era(text)


def _decode(
    call: relay.Call,
    status: int,
    body: bytes,
    complaints: _input_errors.Complaints | None = None,
    era: int = 0,
) -> relay.Answer:
    if status == _GONE:
        return relay.Answer(relay.Status.FORGOTTEN)
    if status in _REFUSALS:
        return relay.Answer(relay.Status.REFUSED)
    if status != _OK:
        return relay.Answer(relay.Status.UNKNOWN)
    if complaints is None:
        complaints = _input_errors.Complaints()
    try:
        fields = _fields.Fields(_parse(body))
        return _AnswerReader(call.topic, complaints, era).read(fields)
    except (ValueError, RecursionError, errors.DecodeError) as error:
        complaints.note(
            _input_errors.ANSWER, call.topic, 0, type(error).__name__
        )
        return relay.Answer(relay.Status.UNKNOWN)


def _parse(body: bytes) -> object:
    try:
        return light_imports.parse_json(body)
    except (UnicodeDecodeError, RecursionError):
        # Bytes that are no text become characters that no text may hold:
        # only the objects that have them are unusable then.
        text = body.decode('utf-8', 'surrogateescape')
        return light_imports.parse_json(_flatten(text))


def _flatten(text: str) -> str:
    """Put null in place of all that is nested too deeply to be read.

    :param text: JSON.
    :returns: JSON that the library reads, whoever wrote it.
    """
    # Hardly any answer needs it, and each start would pay for it.
    import re

    parts = []
    depth = begin = 0
    for found in re.finditer(_NESTING, text):
        mark = found.group()
        if mark in _OPENING:
            depth += 1
            if depth == _MOST_DEPTH:
                parts += (text[begin : found.start()], 'null')
        elif mark in _CLOSING:
            if depth == _MOST_DEPTH:
                begin = found.end()
            depth -= 1
    return ''.join((*parts, text[begin:]))


class _AnswerReader:
    """Reads the objects of an answer; those that it can't are left out.

    :param topic: the topic that was asked for.
    :param complaints: where these are noted.
    :param era: the store's era when it answered.
    """

    __slots__ = ('_complaints', '_era', '_topic', '_unusable')

    def __init__(
        self, topic: str, complaints: _input_errors.Complaints, era: int
    ) -> None:
        self._era = era
        self._topic = topic
        self._complaints = complaints
        # An empty entry names nothing to use, but of an evacuation the name
        # says all: one that can't be read counts as none.
        is_said_by_name = topic == _objects.EVACUATIONS_TOPIC
        self._unusable: dict[str, object] | None = (
            None if is_said_by_name else {}
        )

    def read(self, fields: _fields.Fields) -> relay.Answer:
        """Read an answer.

        :param fields: what it holds.
        :returns: the answer.
        :raises DecodeError: if it is no listing and no list of events.
        """
        revision = self._read_revision(fields, 'current_rev')
        if fields.has('events'):
            items = self._read_all(fields.get_list('events'), self._read_event)
            return relay.Answer(relay.Status.OK, items, revision)
        items = self._read_all(fields.get_list('items'), self._read_object)
        is_truncated = fields.is_set('truncated')
        if is_truncated and not items:
            # Where the next page begins is not known; as it stands, all
            # that it holds would pass for deleted.
            raise errors.DecodeError('a page without an object')
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
                self._complaints.note(
                    _input_errors.OBJECT, self._topic, 0, error.reason
                )
                continue
            items.append(item)
        for begin in range(0, len(items), _CHECKED_ITEMS):
            self._check_values(items[begin : begin + _CHECKED_ITEMS])
        return items

    def _check_values(self, items: list[relay.Item]) -> None:
        """Empty values that peers could not be sent.

        :param items: some objects. If all of them together are no larger
            than one may be, none is looked at alone.
        """
        values = [each.value for each in items if each.value is not None]
        try:
            size = relay.measure_values(values)
            if size <= _MOST_BYTES.get(self._topic, size):
                return
        except errors.DecodeError:
            # One of them at least is looked for below.
            pass
        for item in items:
            self._check_value(item)

    def _check_value(self, item: relay.Item) -> None:
        """Empty a value that peers could not be sent.

        :param item: the object.
        """
        if item.value is None:
            return
        try:
            size = relay.measure_values([item.value])
            if size <= _MOST_BYTES.get(self._topic, size):
                return
            reason = 'the value is too large'
        except errors.DecodeError as error:
            reason = error.reason
        item.value = self._unusable
        self._complaints.note(
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
            raise errors.DecodeError('name: printable text is wanted')
        revision = self._read_revision(meta, 'rev')
        value = fields.get_map('spec')
        if value is None:
            value = self._unusable
        if value is None:
            self._complaints.note(
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
        number = fields.get_count(name, 0, revisions.MAXIMUM_NUMBER)
        return revisions.Revision(number, self._era)
