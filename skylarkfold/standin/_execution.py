"""Running requests in a stand-in upstream's slots."""

from __future__ import annotations

import asyncio
import dataclasses
import time

from aiohttp import web
import msgspec

from skylarkfold import request as request_module
from skylarkfold.standin import _behaviour
from skylarkfold.standin import _probe
from skylarkfold.standin import _record
from skylarkfold import verdict

DEFAULT_TIMEOUT_SECONDS = 30.0
RETRY_SECONDS = '1'
SERVICE_HEADER = 'X-Service'
FILL_PARAMETER = 'bytes'

_encoder = msgspec.json.Encoder()


def _refuse(status: int, code: str) -> web.Response:
    headers = {
        request_module.VERDICT_HEADER: verdict.Verdict.NOT_RUN.value,
        request_module.RETRY_HEADER: RETRY_SECONDS,
    }
    return web.json_response({'code': code}, status=status, headers=headers)


def get_key(request: web.Request) -> str:
    """Tell by what key a request is counted.

    :param request: the request.
    :returns: its idempotency key, or its target where it has none.
    """
    key = request.headers.get(request_module.KEY_HEADER, '')
    return key or request.path_qs


def _read_timeout(request: web.Request) -> float:
    text = request.headers.get(request_module.DEADLINE_HEADER, '')
    return int(text) / 1000 if text.isdecimal() else DEFAULT_TIMEOUT_SECONDS


class Executor:
    """Runs requests, as many at a time as there are slots.

    A request counts as run from the moment when it gets its slot; a
    refusal is answered only to one that never got it.

    :param name: the upstream's name.
    :param slots: how many requests run at a time.
    :param record: where to record what ran.
    :param behaviour: how the upstream behaves.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        record: _record.UpstreamRecord,
        behaviour: _behaviour.Behaviour,
    ) -> None:
        self.behaviour = behaviour
        self.running = 0
        self.waiting = 0
        self._name = name
        self._slots = slots
        self._record = record
        self._free = asyncio.Semaphore(slots)

    async def execute(self, request: web.Request) -> web.StreamResponse:
        """Run a request or refuse it.

        :param request: the request.
        :returns: its answer.
        """
        deadline = time.monotonic() + _read_timeout(request)
        self._check_service(request)
        body = await request.read()
        refusal = self._refuse_at_once()
        if refusal is not None:
            return refusal
        if not await self._wait_for_slot(deadline):
            self._record.record_refusal('deadline')
            return _refuse(504, 'deadline')
        try:
            return await self._run(request, body)
        finally:
            self.running -= 1
            self._free.release()

    def _check_service(self, request: web.Request) -> None:
        meant_for = request.headers.get(SERVICE_HEADER)
        if meant_for not in (None, self._record.service):
            self._record.misdelivered += 1

    def _refuse_at_once(self) -> web.Response | None:
        if self.behaviour.draining:
            self._record.record_refusal('draining')
            return _refuse(503, 'draining')
        is_full = self.running >= self._slots
        is_over = is_full and self.waiting >= self.behaviour.queue_limit
        if self.behaviour.shedding or is_over:
            self._record.record_refusal('shedding')
            return _refuse(503, 'shedding')
        return None

    async def _wait_for_slot(self, deadline: float) -> bool:
        self.waiting += 1
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                while self.behaviour.hanging:
                    await asyncio.sleep(0.05)
                await self._free.acquire()
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            self._record.cancelled += 1
            raise
        finally:
            self.waiting -= 1
        if time.monotonic() >= deadline:
            self._free.release()
            return False
        self.running += 1
        return True

    async def _run(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        now = time.monotonic()
        key = get_key(request)
        self._record.runs.setdefault(key, []).append(now)
        await asyncio.sleep(self._get_service_seconds(now))
        if self._take('lose_answers'):
            request.transport.abort()
        answer = self._make_answer(request, key, body)
        if self._take('cut_answers'):
            return await self._cut(request, answer)
        return answer

    def _get_service_seconds(self, now: float) -> float:
        behaviour = self.behaviour
        is_cold = now - self._record.started < behaviour.cold_seconds
        factor = behaviour.cold_factor if is_cold else 1.0
        return behaviour.service_seconds * factor

    def _take(self, switch: str) -> bool:
        left = getattr(self.behaviour, switch)
        if left <= 0:
            return False
        changes = {switch: left - 1}
        self.behaviour = dataclasses.replace(self.behaviour, **changes)
        return True

    def _make_answer(
        self, request: web.Request, key: str, body: bytes
    ) -> web.Response:
        length = request.query.get(FILL_PARAMETER, '0')
        length = int(length) if length.isdecimal() else 0
        answer = _probe.RunAnswer(
            service=self._record.service,
            upstream=self._name,
            key=key,
            echo=body.decode(errors='replace'),
            fill=_probe.make_fill(key, length),
        )
        return web.Response(
            body=_encoder.encode(answer),
            content_type='application/json',
            headers={request_module.VERDICT_HEADER: verdict.Verdict.RAN.value},
        )

    async def _cut(
        self, request: web.Request, answer: web.Response
    ) -> web.StreamResponse:
        whole = answer.body
        cut = web.StreamResponse(headers=answer.headers)
        cut.content_length = len(whole)
        await cut.prepare(request)
        await cut.write(whole[: len(whole) // 2])
        request.transport.close()
        return cut
