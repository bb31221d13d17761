"""The client of the platform's store."""

from __future__ import annotations

from collections.abc import Callable
import json
import string

from skylarkfold import reactor
from skylarkfold import relay

Answered = Callable[[relay.Answer], object]

_PLAIN = frozenset(string.ascii_letters + string.digits + '-._~')

_OK = 200
_GONE = 410
# 429 and 503 say that nothing was done.
_REFUSALS = (429, 503)


class StoreClient:
    """Calls the store, over one connection for each topic.

    A watch occupies its connection, so that topics don't share one.

    :param loop: the event loop.
    :param address: the store's host and port.
    """

    __slots__ = ('_address', '_connections', '_loop')

    def __init__(self, loop: reactor.Loop, address: tuple[str, int]) -> None:
        self._loop = loop
        self._address = address
        self._connections: dict[str, reactor.HttpClient] = {}

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
            lambda status, body: answered(_decode(call, status, body)),
        )

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()


def _build_path(call: relay.Call) -> str:
    path = f'/objects/{call.topic}'
    if call.revision is not None:
        wait = int(call.wait_seconds * 1000)
        return f'{path}?watch={call.revision}&wait_ms={wait}'
    if call.after:
        return f'{path}?after={_quote(call.after)}'
    return path


def _quote(name: str) -> str:
    # Importing urllib.parse for it would take 4 ms of each start.
    return ''.join(
        chr(byte) if chr(byte) in _PLAIN else f'%{byte:02X}'
        for byte in name.encode()
    )


def _decode(call: relay.Call, status: int, body: bytes) -> relay.Answer:
    if status == _GONE:
        return relay.Answer(relay.Status.FORGOTTEN)
    if status in _REFUSALS:
        return relay.Answer(relay.Status.REFUSED)
    if status != _OK:
        return relay.Answer(relay.Status.UNKNOWN)
    try:
        return _convert(json.loads(body))
    except (ValueError, LookupError, TypeError, AttributeError):
        return relay.Answer(relay.Status.UNKNOWN)


def _convert(fields: dict[str, object]) -> relay.Answer:
    if 'events' in fields:
        items = [
            _convert_item(each['object'], each['deleted'])
            for each in fields['events']
        ]
        return relay.Answer(relay.Status.OK, items, int(fields['current_rev']))
    return relay.Answer(
        relay.Status.OK,
        [_convert_item(each, False) for each in fields['items']],
        int(fields['current_rev']),
        bool(fields['truncated']),
    )


def _convert_item(fields: dict[str, object], is_deleted: bool) -> relay.Item:
    meta = fields['meta']
    return relay.Item(
        str(meta['name']),
        int(meta['rev']),
        int(meta['create_rev']),
        None if is_deleted else fields['spec'],
    )
