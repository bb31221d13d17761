"""Caller that sends independent requests."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import msgspec

from skylarkfold.load import _fabric
from skylarkfold.load import _latency
from skylarkfold.load import _result
from skylarkfold.load import _traffic
from skylarkfold import request as request_module
from skylarkfold import standin
from skylarkfold import verdict

CLIENT_TIMEOUT_MARGIN_SECONDS = 2.0
MAXIMUM_RETRY_PAUSE_SECONDS = 1.0
RETRY_PAUSE_SECONDS = 0.1
TOKEN_PARAMETER = 'token'

_VERDICTS = {each.value: each for each in verdict.Verdict}
_OUTCOMES_BY_VERDICT = {
    verdict.Verdict.NOT_RUN: _result.AttemptOutcome.NOT_RUN,
    verdict.Verdict.MAY_HAVE_RUN: _result.AttemptOutcome.MAY_HAVE_RUN,
}
_RETRIED_OUTCOMES = (
    _result.AttemptOutcome.NOT_RUN,
    _result.AttemptOutcome.MAY_HAVE_RUN,
    _result.AttemptOutcome.UNSENT,
    _result.AttemptOutcome.NO_ANSWER,
)


class _RequestContent:
    """Content of a request, the same for all attempts except for the token.

    All attempts of a request that may run only once have the same key. Each
    attempt of a repeatable request has its own token, so that its runs can
    be distinguished.
    """

    def __init__(self, traffic: _traffic.Requests, number: int) -> None:
        self._traffic = traffic
        self._name = f'{traffic.name}-{number}'.replace(' ', '-')
        self.body = f'{self._name}|'.ljust(traffic.body_bytes, '.')

    @property
    def method(self) -> str:
        """HTTP method."""
        return 'GET' if self._traffic.repeatable else 'POST'

    def build_target(self, attempt: int) -> str:
        """Return the path and query of an attempt."""
        target = f'/{self._traffic.service}'
        token = f'{self._name}.{attempt}' if self._traffic.repeatable else ''
        target += f'?{TOKEN_PARAMETER}={token}'
        if self._traffic.answer_bytes:
            target += f'&bytes={self._traffic.answer_bytes}'
        return target

    def get_key(self, attempt: int) -> str:
        """Return the key under which upstreams count an attempt."""
        if self._traffic.repeatable:
            return self.build_target(attempt)
        return self._name

    def build_headers(self) -> dict[str, str]:
        """Return the headers of an attempt."""
        timeout_ms = int(self._traffic.timeout_seconds * 1000)
        headers = {
            request_module.DEADLINE_HEADER: str(timeout_ms),
            request_module.PRIORITY_HEADER: f'u={self._traffic.urgency}',
            standin.SERVICE_HEADER: self._traffic.service,
        }
        if not self._traffic.repeatable:
            headers[request_module.KEY_HEADER] = self._name
        return headers


class RequestCaller:
    """Sender of the requests of one traffic entry.

    :param traffic: the traffic to generate.
    :param port: the service's HTTP port on every instance.
    :param fabric: the fabric that chooses an instance for each attempt.
    :param latency: the recorder of latencies.
    :param session: the HTTP client session.
    """

    def __init__(
        self,
        traffic: _traffic.Requests,
        port: int,
        fabric: _fabric.Fabric,
        latency: _latency.LatencyRecorder,
        session: aiohttp.ClientSession,
    ) -> None:
        self._traffic = traffic
        self._port = port
        self._fabric = fabric
        self._latency = latency
        self._session = session
        self._open_tasks: set[asyncio.Task[None]] = set()
        self.results: list[_result.RequestResult] = []

    async def run(self) -> None:
        """Start requests at the traffic's rate until cancelled."""
        await asyncio.sleep(self._traffic.start_seconds)
        next_start = time.monotonic()
        number = 0
        while True:
            number += 1
            self._start_request(number)
            next_start += 1 / self._traffic.rate_per_second
            await asyncio.sleep(max(0.0, next_start - time.monotonic()))

    def _start_request(self, number: int) -> None:
        task = asyncio.create_task(self._send_with_retries(number))
        self._open_tasks.add(task)
        task.add_done_callback(self._open_tasks.discard)

    async def finish(self) -> None:
        """Wait for all open requests to end."""
        await asyncio.gather(*self._open_tasks)

    async def _send_with_retries(self, number: int) -> None:
        content = _RequestContent(self._traffic, number)
        attempts: list[_result.AttemptResult] = []
        result = _result.RequestResult(
            self._traffic.name,
            self._traffic.service,
            self._traffic.repeatable,
            attempts,
        )
        self.results.append(result)
        target = ''
        while len(attempts) < self._traffic.attempts:
            target = self._fabric.choose(other_than=target)
            attempts.append(
                await self._run_attempt(content, len(attempts), target)
            )
            if result.outcome not in _RETRIED_OUTCOMES:
                break
            await asyncio.sleep(RETRY_PAUSE_SECONDS * 2 ** len(attempts))
        if result.outcome is _result.AttemptOutcome.RAN:
            elapsed = attempts[-1].ended - attempts[0].sent
            self._latency.record(self._traffic.name, elapsed)

    async def _run_attempt(
        self, content: _RequestContent, number: int, target: str
    ) -> _result.AttemptResult:
        sent = time.monotonic()
        outcome, code = await self._send(content, number, target)
        return _result.AttemptResult(
            content.get_key(number),
            target,
            sent,
            time.monotonic(),
            outcome,
            code,
        )

    async def _send(
        self, content: _RequestContent, number: int, target: str
    ) -> tuple[_result.AttemptOutcome, str]:
        url = f'http://{target}:{self._port}{content.build_target(number)}'
        try:
            async with self._session.request(
                content.method,
                url,
                data=content.body.encode(),
                headers=content.build_headers(),
                timeout=aiohttp.ClientTimeout(
                    self._traffic.timeout_seconds
                    + CLIENT_TIMEOUT_MARGIN_SECONDS
                ),
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            return _result.AttemptOutcome.UNSENT, type(error).__name__
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return _result.AttemptOutcome.NO_ANSWER, type(error).__name__
        return self._classify_response(response, body, content, number)

    def _classify_response(
        self,
        response: aiohttp.ClientResponse,
        body: bytes,
        content: _RequestContent,
        number: int,
    ) -> tuple[_result.AttemptOutcome, str]:
        text = response.headers.get(request_module.VERDICT_HEADER, '')
        received_verdict = _VERDICTS.get(text)
        if received_verdict is None:
            return _result.AttemptOutcome.UNKNOWN_VERDICT, str(response.status)
        if received_verdict is verdict.Verdict.RAN:
            if self._is_expected_answer(body, content, number):
                return _result.AttemptOutcome.RAN, ''
            return _result.AttemptOutcome.WRONG, str(response.status)
        return _OUTCOMES_BY_VERDICT[received_verdict], _read_code(body)

    def _is_expected_answer(
        self, body: bytes, content: _RequestContent, number: int
    ) -> bool:
        try:
            read = msgspec.json.decode(body, type=standin.RunAnswer)
        except msgspec.DecodeError:
            return False
        key = content.get_key(number)
        fill = standin.make_fill(key, self._traffic.answer_bytes)
        return (read.service, read.key, read.echo, read.fill) == (
            self._traffic.service,
            key,
            content.body,
            fill,
        )


class _ProblemDetails(msgspec.Struct):
    code: str = ''


def _read_code(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_ProblemDetails).code
    except msgspec.DecodeError:
        return ''
