"""The platform stand-in: its object API over HTTP."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import time

from aiohttp import web
import msgspec

from skylarkfold import platform_api
from skylarkfold.standin import _daemon
from skylarkfold.standin import _faults
from skylarkfold.standin import _instances
from skylarkfold.standin import _store

MAXIMUM_VALUE_BYTES = 1024 * 1024
# A value travels as base64 within JSON.
MAXIMUM_BODY_BYTES = 2 * MAXIMUM_VALUE_BYTES
JSON_TYPE = 'application/json'
UNCOUNTED = ('/faults', '/counts', '/rights', '/copy', '/return')
ERA_HEADER = 'Store-Era'
ZONE_PREFIX = '/via/{zone}'

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def _describe(each: platform_api.StoredObject) -> dict[str, object]:
    value = each.value
    encoded = None if value is None else base64.b64encode(value).decode()
    return {
        'path': each.path,
        'version': each.version,
        'revision': each.revision,
        'value': encoded,
    }


def _answer_object(each: platform_api.StoredObject) -> web.Response:
    headers = {'ETag': f'"{each.version}"'}
    return web.json_response(_describe(each), headers=headers)


def _read_expected_version(request: web.Request) -> int:
    if request.headers.get('If-None-Match') == '*':
        return 0
    match = request.headers.get('If-Match', '').strip('"')
    if not match.isdecimal():
        raise web.HTTPPreconditionRequired(
            text='If-Match: "VERSION" or If-None-Match: * is needed'
        )
    return int(match)


def _read_number(request: web.Request, name: str, default: float) -> float:
    text = request.query.get(name, '')
    try:
        return float(text) if text else default
    except ValueError:
        raise web.HTTPBadRequest(text=f'{name} is no number') from None


async def _read_value(request: web.Request) -> bytes:
    """Read a value, sent as it is or as base64 within JSON."""
    value = await request.read()
    if request.content_type == JSON_TYPE:
        value = _decode_value(value)
    if len(value) > MAXIMUM_VALUE_BYTES:
        raise web.HTTPRequestEntityTooLarge(MAXIMUM_VALUE_BYTES, len(value))
    return value


def _decode_value(body: bytes) -> bytes:
    try:
        return base64.b64decode(json.loads(body)['value'], validate=True)
    except (ValueError, KeyError, TypeError):
        raise web.HTTPBadRequest(text='no value in base64') from None


def _drop(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _get_zone(request: web.Request) -> str:
    return request.match_info.get('zone', '')


def _get_call(request: web.Request) -> str:
    """Tell the path of a call without the zone that it comes from."""
    zone = _get_zone(request)
    prefix = ZONE_PREFIX.format(zone=zone) if zone else ''
    return request.path.removeprefix(prefix)


class PlatformStandin:
    """An HTTP server of the platform's object API.

    Each route is there under ``/via/ZONE`` too, so that one zone can be
    cut off: ``PUT /via/ZONE/faults`` sets what that zone sees in place
    of what all see. ``PUT /copy`` makes a copy of the store, and ``PUT
    /return`` has it come back from that. ``PUT /rights`` names the team of
    each token; after that a team's subtree is written with its token only.

    :param kept_changes: how many last changes a watch can still see.
    """

    def __init__(self, kept_changes: int = _store.KEPT_CHANGES) -> None:
        self.counts: dict[str, int] = {}
        self.rights: dict[str, str] = {}
        self.store = _store.ObjectStore(kept_changes)
        self._faults = {'': _faults.Faults()}
        self._stale: dict[str, _store.ObjectStore] = {}
        self._saved = self.store.copy()
        self._instances = _instances.InstanceRegistry()
        self._changed = asyncio.Event()

    @property
    def faults(self) -> _faults.Faults:
        """What is wrong for all zones without faults of their own."""
        return self._faults['']

    @faults.setter
    def faults(self, faults: _faults.Faults) -> None:
        self._set('', faults)

    def _set(self, zone: str, faults: _faults.Faults) -> None:
        before = self._faults.get(zone, self._faults[''])
        if faults.stale_reads and not before.stale_reads:
            self._stale[zone] = self.store.copy()
        self._faults[zone] = faults
        self._wake_watches()

    def make_application(self) -> web.Application:
        """Make the application that serves the API."""
        application = web.Application(
            middlewares=[self._apply_faults],
            client_max_size=MAXIMUM_BODY_BYTES,
        )
        for prefix in ('', ZONE_PREFIX):
            application.add_routes(self._list_routes(prefix))
        return application

    def _list_routes(self, prefix: str) -> list[web.RouteDef]:
        objects = f'{prefix}/objects'
        instances = f'{prefix}/instances'
        return [
            web.get(objects, self._list_objects),
            web.get(objects + '/{path:.*}', self._read_object),
            web.put(objects + '/{path:.*}', self._write_object),
            web.delete(objects + '/{path:.*}', self._delete_object),
            web.get(f'{prefix}/watch', self._watch),
            web.put(f'{prefix}/rights', self._set_rights),
            web.get(instances, self._list_instances),
            web.put(instances + '/{name}', self._put_instance),
            web.delete(instances + '/{name}', self._remove_instance),
            web.get(f'{prefix}/faults', self._show_faults),
            web.put(f'{prefix}/faults', self._set_faults),
            web.get(f'{prefix}/counts', self._show_counts),
            web.put(f'{prefix}/copy', self._copy),
            web.put(f'{prefix}/return', self._return),
        ]

    def _find_origin(self, request: web.Request) -> str:
        """Find whose faults a call meets: its zone's or, else, all's."""
        zone = _get_zone(request)
        return zone if zone in self._faults else ''

    def _get_faults(self, request: web.Request) -> _faults.Faults:
        return self._faults[self._find_origin(request)]

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        call = _get_call(request)
        is_operator = call.startswith('/instances/')
        if call in UNCOUNTED or is_operator:
            return await handler(request)
        self._count(request, call)
        try:
            answer = await self._answer_call(request, handler)
        except web.HTTPException as error:
            error.headers[ERA_HEADER] = str(self.store.era)
            raise
        answer.headers[ERA_HEADER] = str(self.store.era)
        return answer

    async def _answer_call(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        delay_ms = self._get_faults(request).delay_ms
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)
        if self._get_faults(request).down:
            return _drop(request)
        answer = await handler(request)
        is_down = self._get_faults(request).down
        if is_down or self._loses_answer(request, answer):
            return _drop(request)
        return answer

    def _count(self, request: web.Request, call: str) -> None:
        kind = call.strip('/')
        if call.startswith('/objects'):
            kind = 'reads' if request.method == 'GET' else 'writes'
        for name in (kind, 'total'):
            self.counts[name] = self.counts.get(name, 0) + 1

    def _loses_answer(
        self, request: web.Request, answer: web.StreamResponse
    ) -> bool:
        if request.method == 'GET' or answer.status != 200:
            return False
        faults = self._get_faults(request)
        left = faults.lose_answers
        if left > 0:
            self._faults[self._find_origin(request)] = dataclasses.replace(
                faults, lose_answers=left - 1
            )
        return left != 0

    def _get_readable(self, request: web.Request) -> _store.ObjectStore:
        if self._get_faults(request).stale_reads:
            return self._stale[self._find_origin(request)]
        return self.store

    async def _list_objects(self, request: web.Request) -> web.Response:
        store = self._get_readable(request)
        found = store.list_objects(request.query.get('prefix', ''))
        return web.json_response(
            {
                'revision': store.revision,
                'objects': [_describe(each) for each in found],
            }
        )

    async def _read_object(self, request: web.Request) -> web.Response:
        found = self._get_readable(request).read(self._get_path(request))
        if found is None:
            raise web.HTTPNotFound(text='no such object')
        return _answer_object(found)

    def _get_path(self, request: web.Request) -> str:
        return '/' + request.match_info['path'].lstrip('/')

    async def _write_object(self, request: web.Request) -> web.Response:
        value = await _read_value(request)
        return self._write(request, value)

    async def _delete_object(self, request: web.Request) -> web.Response:
        return self._write(request, None)

    def _check_right(self, request: web.Request, path: str) -> None:
        parts = path.split('/')
        if not self.rights or parts[1] != 'teams':
            return
        scheme = request.headers.get('Authorization', '')
        team = self.rights.get(scheme.removeprefix('Bearer '))
        if team != parts[2]:
            raise web.HTTPForbidden(text="another team's subtree")

    def _write(
        self, request: web.Request, value: bytes | None
    ) -> web.Response:
        expected_version = _read_expected_version(request)
        path = self._get_path(request)
        self._check_right(request, path)
        write = platform_api.WriteObject(path, value, expected_version)
        written = self.store.write(write)
        if written is None:
            raise web.HTTPPreconditionFailed(text='another version is there')
        self._wake_watches()
        return _answer_object(written)

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query.get('prefix', '')
        revision = int(_read_number(request, 'revision', 0))
        wait_seconds = _read_number(request, 'wait', 0)
        deadline = time.monotonic() + wait_seconds
        while not self._list_changes(request, prefix, revision):
            left = deadline - time.monotonic()
            if left <= 0 or self._get_faults(request).down:
                break
            await self._wait_for_change(left)
        changes = self._list_changes(request, prefix, revision)
        reached = self._get_readable(request).revision
        return web.json_response(
            {
                'revision': max(revision, reached),
                'objects': [_describe(each) for each in changes],
            }
        )

    async def _wait_for_change(self, timeout_seconds: float) -> None:
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def _list_changes(
        self, request: web.Request, prefix: str, revision: int
    ) -> list[platform_api.StoredObject]:
        try:
            store = self._get_readable(request)
            return store.list_changes(prefix, revision)
        except _store.CompactedError:
            raise web.HTTPGone(text='compacted: list anew') from None

    async def _list_instances(self, request: web.Request) -> web.Response:
        shown = time.monotonic() - self._get_faults(request).list_lag_s
        listed = self._instances.list_instances(shown)
        return web.json_response(
            {'instances': [dataclasses.asdict(each) for each in listed]}
        )

    async def _put_instance(self, request: web.Request) -> web.Response:
        fields = await request.json()
        fields['name'] = request.match_info['name']
        try:
            instance = msgspec.convert(fields, platform_api.ListedInstance)
        except msgspec.ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self._instances.put(time.monotonic(), instance)
        return web.json_response(dataclasses.asdict(instance))

    async def _remove_instance(self, request: web.Request) -> web.Response:
        self._instances.remove(time.monotonic(), request.match_info['name'])
        return web.json_response({})

    async def _show_faults(self, request: web.Request) -> web.Response:
        return web.json_response(dataclasses.asdict(self._get_faults(request)))

    async def _set_faults(self, request: web.Request) -> web.Response:
        current = self._get_faults(request)
        fields = dataclasses.asdict(current) | await request.json()
        try:
            faults = msgspec.convert(fields, _faults.Faults)
        except msgspec.ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self._set(_get_zone(request), faults)
        return web.json_response(fields)

    async def _set_rights(self, request: web.Request) -> web.Response:
        fields = await request.json()
        try:
            self.rights = msgspec.convert(fields, dict[str, str])
        except msgspec.ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.json_response(self.rights)

    async def _copy(self, request: web.Request) -> web.Response:
        self._saved = self.store.copy()
        return web.json_response({'revision': self._saved.revision})

    async def _return(self, request: web.Request) -> web.Response:
        self.store = self.store.restore(self._saved)
        self._wake_watches()
        return web.json_response({'era': self.store.era})

    async def _show_counts(self, request: web.Request) -> web.Response:
        return web.json_response(self.counts)


async def _serve(host: str, port: int, kept_changes: int) -> None:
    standin = PlatformStandin(kept_changes)
    application = standin.make_application()
    await _daemon.serve_until_stopped(application, host, port)


def run_platform_standin(
    host: str = '127.0.0.1',
    port: int = 0,
    kept_changes: int = _store.KEPT_CHANGES,
) -> None:
    """Serve the platform's object API until SIGTERM or SIGINT.

    Prints ``ready host:port`` on standard output once it listens.

    :param host: where to listen.
    :param port: the port; 0 for any free one.
    :param kept_changes: how many last changes a watch can still see.
    """
    _daemon.run(_serve(host, port, kept_changes))
