"""HTTP client for attempts, each one exchange with one upstream."""

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
class _AttemptResult:
    """The outcome of an attempt, with the answer if there is one."""

    outcome: request_module.Outcome
    answer: request_module.Answer | None = None


class _DeadlinePassedError(Exception):
    """The deadline passed before the request was written."""


class _WriteState:
    """The deadline of a request's write and whether the write began."""

    __slots__ = ('is_write_started', 'write_deadline')

    def __init__(self, write_deadline: float) -> None:
        self.write_deadline = write_deadline
        self.is_write_started = False


_write_state: contextvars.ContextVar[_WriteState] = contextvars.ContextVar(
    'departure'
)


class _DeadlineConnector(aiohttp.TCPConnector):
    """Connector that checks the deadline again once it has a connection.

    Connecting takes time, and a paused process may resume long after its
    decision. The deadline header holds the time left at the write.
    """

    async def connect(
        self, req: aiohttp.ClientRequest, *arguments: Any, **options: Any
    ) -> Connection:
        connection = await super().connect(req, *arguments, **options)
        write_state = _write_state.get()
        remaining_seconds = write_state.write_deadline - self._loop.time()
        remaining_ms = int(remaining_seconds * _MILLISECONDS)
        if remaining_ms < 1:
            connection.close()
            raise _DeadlinePassedError
        write_state.is_write_started = True
        req.headers[request_module.DEADLINE_HEADER] = str(remaining_ms)
        return connection


class UpstreamClient:
    """Performs attempts and reports their outcomes.

    A request that is not idempotent gets a connection of its own: on a
    pooled connection that the upstream closes meanwhile, the client can't
    tell whether the upstream received the request.

    :param runtime: the runtime that all parts of the daemon share.
    :param settings: limits on sizes and times.
    """

    def __init__(
        self, runtime: _runtime.Runtime, settings: _settings.EdgeSettings
    ) -> None:
        self._runtime = runtime
        self._settings = settings
        self._tasks: dict[int, asyncio.Task] = {}
        self._pooled_session: aiohttp.ClientSession | None = None
        self._unpooled_session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Create the client sessions."""
        self._pooled_session = self._make_session(force_close=False)
        self._unpooled_session = self._make_session(force_close=True)

    def _make_session(self, force_close: bool) -> aiohttp.ClientSession:
        return _http_session.make_session(
            connector=_DeadlineConnector(limit=0, force_close=force_close),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=('User-Agent', 'Accept-Encoding', 'Accept'),
        )

    def dispatch(self, attempt: effect.DispatchAttempt) -> None:
        """Start an attempt.

        :param attempt: the effect that describes the attempt.
        """
        self._runtime.counters.add(metric.ATTEMPTS)
        deadline = self._runtime.clock() + attempt.timeout_seconds
        task = self._runtime.start(self._run_attempt(attempt, deadline))
        self._tasks[attempt.attempt] = task

    def cancel(self, attempt: int) -> None:
        """Cancel an attempt and close its connection.

        :param attempt: the attempt's number.
        """
        task = self._tasks.pop(attempt, None)
        if task is not None:
            task.cancel()

    async def _run_attempt(
        self, attempt: effect.DispatchAttempt, deadline: float
    ) -> None:
        _write_state.set(_WriteState(deadline))
        try:
            result = await self._perform_exchange(attempt)
        finally:
            self._tasks.pop(attempt.attempt, None)
        self._runtime.handle(
            event.AttemptEnded(attempt.attempt, result.outcome, result.answer)
        )

    async def _perform_exchange(
        self, attempt: effect.DispatchAttempt
    ) -> _AttemptResult:
        try:
            async with asyncio.timeout(attempt.timeout_seconds):
                return await self._send_request(attempt)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            _DeadlinePassedError,
        ):
            return _AttemptResult(request_module.Outcome.UNREACHABLE)
        except TimeoutError:
            if not _write_state.get().is_write_started:
                return _AttemptResult(request_module.Outcome.UNREACHABLE)
            return _AttemptResult(request_module.Outcome.TIMED_OUT)
        except (aiohttp.ClientError, OSError, ValueError):
            return _AttemptResult(request_module.Outcome.BROKEN)

    async def _send_request(
        self, attempt: effect.DispatchAttempt
    ) -> _AttemptResult:
        request = attempt.request
        session = (
            self._pooled_session
            if request.idempotent
            else self._unpooled_session
        )
        host = attempt.upstream.address.host
        url = f'http://{host}:{attempt.upstream.request_port}{request.target}'
        async with session.request(
            request.method,
            yarl.URL(url, encoded=True),
            headers=self._build_headers(attempt),
            data=request.body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._settings.connect_seconds
            ),
        ) as response:
            return await self._read_response(response, request)

    def _build_headers(
        self, attempt: effect.DispatchAttempt
    ) -> list[tuple[str, str]]:
        deadline = request_module.DEADLINE_HEADER.lower()
        return [
            (name, value)
            for name, value in attempt.request.headers
            if name != deadline
        ]

    async def _read_response(
        self, response: aiohttp.ClientResponse, request: request_module.Request
    ) -> _AttemptResult:
        body = await self._read_body(response, request)
        if body is None:
            return _AttemptResult(request_module.Outcome.BROKEN)
        verdict_value = response.headers.get(request_module.VERDICT_HEADER)
        if verdict_value == verdict.Verdict.NOT_RUN.value:
            return _AttemptResult(request_module.Outcome.REFUSED)
        headers = tuple(
            (name.lower(), value)
            for name, value in response.headers.items()
            if name.lower() not in _requests.HOP_BY_HOP_HEADERS
        )
        answer = request_module.Answer(
            verdict.Verdict.RAN, response.status, headers, body
        )
        return _AttemptResult(request_module.Outcome.ANSWERED, answer)

    async def _read_body(
        self, response: aiohttp.ClientResponse, request: request_module.Request
    ) -> bytes | None:
        if request.method == 'HEAD' or response.status in _NO_BODY_STATUSES:
            return b''
        chunked = 'chunked' in response.headers.get('Transfer-Encoding', '')
        if response.content_length is None and not chunked:
            # Only the end of the connection delimits the body, so that a
            # truncated body can't be detected.
            response.close()
            return None
        chunks = []
        size = 0
        async for chunk in response.content.iter_any():
            size += len(chunk)
            if size > self._settings.maximum_answer_bytes:
                response.close()
                return None
            chunks.append(chunk)
        return b''.join(chunks)

    async def close(self) -> None:
        """Close the client sessions and their connections."""
        for session in (self._pooled_session, self._unpooled_session):
            if session is not None:
                await session.close()
