"""HTTP server for callers' requests, which the node handles."""

from __future__ import annotations

import asyncio
import itertools
import math

from aiohttp import web
import msgspec

from skylarkfold.edge import _runtime
from skylarkfold.edge import _settings
from skylarkfold import event
from skylarkfold import metric
from skylarkfold import request as request_module
from skylarkfold import service as service_module
from skylarkfold import verdict

IDEMPOTENT_METHODS = frozenset(
    {'GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE'}
)
PROBLEM_TYPE = 'application/problem+json'
HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
_MILLISECONDS = 1000.0
_MAXIMUM_ALERT_URGENCY = 1
_MINIMUM_BULK_URGENCY = 5


class Problem(msgspec.Struct, omit_defaults=True):
    """Problem details of an answer that no upstream gave (RFC 9457).

    :param type: always ``about:blank``.
    :param title: the reason phrase of the HTTP status.
    :param status: the HTTP status.
    :param code: the error code.
    :param verdict: whether the request may have run.
    :param retry_after_seconds: the delay before a retry.
    """

    title: str
    status: int
    code: str
    verdict: str
    retry_after_seconds: float | None = None
    type: str = 'about:blank'


class HeaderError(ValueError):
    """A malformed header in a caller's request."""


def parse_timeout(text: str | None, settings: _settings.EdgeSettings) -> float:
    """Parse the timeout header of a caller's request.

    :param text: the header's value in milliseconds, None if missing.
    :param settings: the default and the maximum timeout.
    :returns: the timeout in seconds.
    :raises HeaderError: if the value is no positive integer.
    """
    if text is None:
        return settings.default_timeout_seconds
    if not text.isdecimal() or int(text) == 0:
        raise HeaderError(f'{request_module.DEADLINE_HEADER}: {text!r}')
    seconds = int(text) / _MILLISECONDS
    return min(seconds, settings.maximum_timeout_seconds)


def parse_priority(text: str | None) -> request_module.Priority:
    """Parse the urgency of a priority header (RFC 9218).

    :param text: the header's value, None if missing.
    :returns: the priority; ``EXCHANGE`` if there is no valid urgency.
    """
    for part in (text or '').split(','):
        name, _, value = part.strip().partition('=')
        if name == 'u' and value.isdecimal():
            return _classify_urgency(int(value))
    return request_module.Priority.EXCHANGE


def _classify_urgency(urgency: int) -> request_module.Priority:
    if urgency <= _MAXIMUM_ALERT_URGENCY:
        return request_module.Priority.ALERT
    if urgency >= _MINIMUM_BULK_URGENCY:
        return request_module.Priority.BULK
    return request_module.Priority.EXCHANGE


def build_response(answer: request_module.Answer) -> web.Response:
    """Build the HTTP response of an answer, with the verdict header.

    :param answer: the node's answer.
    :returns: the response.
    """
    response = web.Response(status=answer.status, body=answer.body)
    for name, value in answer.headers:
        if name not in HOP_BY_HOP_HEADERS:
            response.headers[name] = value
    response.headers[request_module.VERDICT_HEADER] = answer.verdict.value
    if answer.retry_after_seconds is not None:
        seconds = max(1, math.ceil(answer.retry_after_seconds))
        response.headers[request_module.RETRY_HEADER] = str(seconds)
    if answer.verdict is not verdict.Verdict.RAN:
        response.body = _encode_problem(answer, response.reason or '')
        response.content_type = PROBLEM_TYPE
    return response


def _encode_problem(answer: request_module.Answer, title: str) -> bytes:
    problem = Problem(
        title=title,
        status=answer.status,
        code=answer.code,
        verdict=answer.verdict.value,
        retry_after_seconds=answer.retry_after_seconds,
    )
    return msgspec.json.encode(problem)


def _build_refusal(status: int, code: str) -> web.Response:
    return build_response(
        request_module.Answer(verdict.Verdict.NOT_RUN, status, code=code)
    )


class RequestServer:
    """Receives callers' requests for all services and sends the answers.

    :param runtime: the runtime that all parts of the daemon share.
    :param settings: limits on sizes and times.
    """

    def __init__(
        self, runtime: _runtime.Runtime, settings: _settings.EdgeSettings
    ) -> None:
        self._runtime = runtime
        self._settings = settings
        self._request_numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future] = {}

    def __len__(self) -> int:
        return len(self._pending)

    async def listen(
        self, host: str, service: service_module.Service
    ) -> web.AppRunner:
        """Accept callers' requests to a service.

        :param host: the address to bind.
        :param service: the service.
        :returns: the runner, which the caller must clean up.
        :raises OSError: if the address can't be bound.
        """

        async def answer(received: web.Request) -> web.Response:
            return await self._handle_request(service.name, received)

        application = web.Application(
            client_max_size=self._settings.maximum_body_bytes
        )
        application.router.add_route('*', '/{path:.*}', answer)
        runner = web.AppRunner(
            application, handler_cancellation=True, access_log=None
        )
        await runner.setup()
        await web.TCPSite(runner, host, service.request_port).start()
        return runner

    async def _handle_request(
        self, service_name: str, received: web.Request
    ) -> web.Response:
        self._runtime.counters.add(metric.REQUESTS_RECEIVED)
        try:
            request = await self._read_request(service_name, received)
        except HeaderError:
            return _build_refusal(400, 'header-malformed')
        except web.HTTPRequestEntityTooLarge:
            self._runtime.counters.add(metric.REQUESTS_OVERSIZED)
            return _build_refusal(413, 'request-too-large')
        return build_response(await self._submit_request(request))

    async def _read_request(
        self, service_name: str, received: web.Request
    ) -> request_module.Request:
        headers = received.headers
        timeout = headers.get(request_module.DEADLINE_HEADER)
        seconds = parse_timeout(timeout, self._settings)
        body = await received.read()
        return request_module.Request(
            number=next(self._request_numbers),
            service=service_name,
            method=received.method,
            target=received.raw_path,
            headers=tuple(
                (name.lower(), value)
                for name, value in headers.items()
                if name.lower() not in HOP_BY_HOP_HEADERS
            ),
            body=body,
            key=headers.get(request_module.KEY_HEADER, ''),
            idempotent=received.method in IDEMPOTENT_METHODS,
            priority=parse_priority(
                headers.get(request_module.PRIORITY_HEADER)
            ),
            timeout_seconds=seconds,
        )

    async def _submit_request(
        self, request: request_module.Request
    ) -> request_module.Answer:
        future = asyncio.get_running_loop().create_future()
        self._pending[request.number] = future
        try:
            self._runtime.handle(event.RequestReceived(request))
            return await future
        except asyncio.CancelledError:
            self._runtime.handle(event.RequestCancelled(request.number))
            raise
        finally:
            self._pending.pop(request.number, None)

    def send(self, number: int, answer: request_module.Answer) -> None:
        """Answer a request, unless its caller has disconnected.

        :param number: the request's number.
        :param answer: the final answer.
        """
        future = self._pending.get(number)
        if future is not None and not future.done():
            future.set_result(answer)
