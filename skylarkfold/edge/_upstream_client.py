"""Attempts: one HTTP exchange with one upstream each."""

from __future__ import annotations

import asyncio
import contextvars
import dataclasses
from typing import Any

import aiohttp
from aiohttp.connector import Connection
import yarl

from skylarkfold.edge import _http_session
from skylarkfold.edge import _requests
from skylarkfold.edge import _runtime
from skylarkfold.edge import _settings
from skylarkfold import effect
from skylarkfold import event
from skylarkfold import metric
from skylarkfold import request as request_module
from skylarkfold import verdict

_MILLISECONDS = 1000
_NO_BODY_STATUSES = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """How an exchange ended."""

    outcome: request_module.Outcome
    answer: request_module.Answer | None = None


class _LateError(Exception):
    """The deadline passed before anything was written."""


class _Departure:
    """When a request must be written, and whether it may have been."""

    __slots__ = ('before', 'is_written')

    def __init__(self, before: float) -> None:
        self.before = before
        self.is_written = False


_departure: contextvars.ContextVar[_Departure] = contextvars.ContextVar(
    'departure'
)


class _DeadlineConnector(aiohttp.TCPConnector):
    """Looks at the deadline once more when the connection is there.

    Connecting takes time, and a paused process may go on long after its
    decision. What the upstream is told is the time left at the write.
    """

    async def connect(
        self, req: aiohttp.ClientRequest, *arguments: Any, **options: Any
    ) -> Connection:
        connection = await super().connect(req, *arguments, **options)
        departure = _departure.get()
        left = departure.before - self._loop.time()
        milliseconds = int(left * _MILLISECONDS)
        if milliseconds < 1:
            connection.close()
            raise _LateError
        departure.is_written = True
        req.headers[request_module.DEADLINE_HEADER] = str(milliseconds)
        return connection


class UpstreamClient:
    """Performs attempts and reports how each ended.

    A request that may not be repeated gets a connection of its own: on a
    kept connection that the upstream is closing, it could not be told
    whether the request was taken.

    :param runtime: what all parts of the daemon share.
    :param settings: bounds on sizes and times.
    """

    def __init__(
        self, runtime: _runtime.Runtime, settings: _settings.EdgeSettings
    ) -> None:
        self._runtime = runtime
        self._settings = settings
        self._attempts: dict[int, asyncio.Task] = {}
        self._kept: aiohttp.ClientSession | None = None
        self._single: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Make the connection pools."""
        self._kept = self._make_session(force_close=False)
        self._single = self._make_session(force_close=True)

    def _make_session(self, force_close: bool) -> aiohttp.ClientSession:
        return _http_session.make_session(
            connector=_DeadlineConnector(limit=0, force_close=force_close),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=('User-Agent', 'Accept-Encoding', 'Accept'),
        )

    def dispatch(self, wanted: effect.DispatchAttempt) -> None:
        """Begin an attempt.

        :param wanted: the node's decision.
        """
        self._runtime.counters.add(metric.ATTEMPTS)
        deadline = self._runtime.clock() + wanted.timeout_seconds
        task = self._runtime.start(self._run(wanted, deadline))
        self._attempts[wanted.attempt] = task

    def cancel(self, attempt: int) -> None:
        """Give up an attempt; its connection is closed.

        :param attempt: the attempt's number.
        """
        task = self._attempts.pop(attempt, None)
        if task is not None:
            task.cancel()

    async def _run(
        self, wanted: effect.DispatchAttempt, deadline: float
    ) -> None:
        _departure.set(_Departure(deadline))
        try:
            end = await self._exchange(wanted)
        finally:
            self._attempts.pop(wanted.attempt, None)
        self._runtime.handle(
            event.AttemptEnded(wanted.attempt, end.outcome, end.answer)
        )

    async def _exchange(self, wanted: effect.DispatchAttempt) -> _End:
        try:
            async with asyncio.timeout(wanted.timeout_seconds):
                return await self._send(wanted)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            _LateError,
        ):
            return _End(request_module.Outcome.UNREACHABLE)
        except TimeoutError:
            if not _departure.get().is_written:
                return _End(request_module.Outcome.UNREACHABLE)
            return _End(request_module.Outcome.TIMED_OUT)
        except (aiohttp.ClientError, OSError, ValueError):
            return _End(request_module.Outcome.BROKEN)

    async def _send(self, wanted: effect.DispatchAttempt) -> _End:
        request = wanted.request
        session = self._kept if request.idempotent else self._single
        host = wanted.upstream.address.host
        url = f'http://{host}:{wanted.upstream.request_port}{request.target}'
        async with session.request(
            request.method,
            yarl.URL(url, encoded=True),
            headers=self._list_headers(wanted),
            data=request.body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._settings.connect_seconds
            ),
        ) as response:
            return await self._read(response, request)

    def _list_headers(
        self, wanted: effect.DispatchAttempt
    ) -> list[tuple[str, str]]:
        deadline = request_module.DEADLINE_HEADER.lower()
        return [
            (name, value)
            for name, value in wanted.request.headers
            if name != deadline
        ]

    async def _read(
        self, response: aiohttp.ClientResponse, request: request_module.Request
    ) -> _End:
        body = await self._read_body(response, request)
        if body is None:
            return _End(request_module.Outcome.BROKEN)
        said = response.headers.get(request_module.VERDICT_HEADER)
        if said == verdict.Verdict.NOT_RUN.value:
            return _End(request_module.Outcome.REFUSED)
        headers = tuple(
            (name.lower(), value)
            for name, value in response.headers.items()
            if name.lower() not in _requests.HOP_BY_HOP_HEADERS
        )
        answer = request_module.Answer(
            verdict.Verdict.RAN, response.status, headers, body
        )
        return _End(request_module.Outcome.ANSWERED, answer)

    async def _read_body(
        self, response: aiohttp.ClientResponse, request: request_module.Request
    ) -> bytes | None:
        if request.method == 'HEAD' or response.status in _NO_BODY_STATUSES:
            return b''
        chunked = 'chunked' in response.headers.get('Transfer-Encoding', '')
        if response.content_length is None and not chunked:
            # The end of the connection would end the body: whether it is
            # whole could not be told.
            response.close()
            return None
        portions = []
        size = 0
        async for portion in response.content.iter_any():
            size += len(portion)
            if size > self._settings.maximum_answer_bytes:
                response.close()
                return None
            portions.append(portion)
        return b''.join(portions)

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._kept, self._single):
            if session is not None:
                await session.close()
