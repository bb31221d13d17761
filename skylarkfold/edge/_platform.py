"""HTTP client of the platform's object API."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import functools
import urllib.parse

import aiohttp
import msgspec

from skylarkfold.edge import _http_session
from skylarkfold.edge import _runtime
from skylarkfold import effect
from skylarkfold import errors
from skylarkfold import event
from skylarkfold import metric
from skylarkfold import platform_api
from skylarkfold import revision as revisions

_ERA_HEADER = 'Store-Era'


class _Object(msgspec.Struct):
    path: str
    version: int
    revision: int
    value: str | None

    def convert(self) -> platform_api.StoredObject:
        value = self.value
        return platform_api.StoredObject(
            self.path,
            self.version,
            self.revision,
            None if value is None else base64.b64decode(value),
        )


class _WriteBody(msgspec.Struct):
    value: str


class _Objects(msgspec.Struct):
    revision: int
    objects: list[_Object]


class _Instance(msgspec.Struct):
    name: str
    zone: str
    region: str
    address: str
    leaving: bool = False


class _Instances(msgspec.Struct):
    instances: list[_Instance]


_STATUSES = {
    200: platform_api.PlatformStatus.OK,
    201: platform_api.PlatformStatus.OK,
    204: platform_api.PlatformStatus.OK,
    404: platform_api.PlatformStatus.NOT_FOUND,
    412: platform_api.PlatformStatus.CONFLICT,
}
_UNKNOWN = platform_api.PlatformAnswer(platform_api.PlatformStatus.UNKNOWN)
_REFUSED = platform_api.PlatformAnswer(platform_api.PlatformStatus.REFUSED)


def _convert_status(status: int) -> platform_api.PlatformStatus:
    if status in _STATUSES:
        return _STATUSES[status]
    # A server error may come after the write took effect.
    if status >= 500:
        return platform_api.PlatformStatus.UNKNOWN
    return platform_api.PlatformStatus.REFUSED


def _convert_objects(body: bytes) -> platform_api.PlatformAnswer:
    listed = msgspec.json.decode(body, type=_Objects)
    return platform_api.PlatformAnswer(
        platform_api.PlatformStatus.OK,
        tuple(each.convert() for each in listed.objects),
        listed.revision,
    )


def _convert_object(body: bytes) -> platform_api.PlatformAnswer:
    stored = msgspec.json.decode(body, type=_Object).convert()
    return platform_api.PlatformAnswer(
        platform_api.PlatformStatus.OK, (stored,), stored.revision
    )


def _convert_instances(body: bytes) -> platform_api.PlatformAnswer:
    listed = msgspec.json.decode(body, type=_Instances)
    return platform_api.PlatformAnswer(
        platform_api.PlatformStatus.OK,
        instances=tuple(
            platform_api.ListedInstance(
                each.name, each.zone, each.region, each.address, each.leaving
            )
            for each in listed.instances
        ),
    )


def _add_era(
    answer: platform_api.PlatformAnswer, era: int
) -> platform_api.PlatformAnswer:
    """Add the store's era to all revisions of an answer."""
    return dataclasses.replace(
        answer,
        revision=_build_revision(answer.revision, era),
        objects=tuple(
            dataclasses.replace(
                each, revision=_build_revision(each.revision, era)
            )
            for each in answer.objects
        ),
    )


def _build_revision(number: int, era: int) -> int:
    if not 0 <= number <= revisions.MAXIMUM_NUMBER:
        raise ValueError('revision is out of range')
    # Messages hold plain integers.
    return int(revisions.Revision(number, era))


class PlatformClient:
    """Performs calls to the platform.

    Revisions in answers contain the store's era, so that they are ordered
    across restores of the store. A response without an era gets the latest
    era seen.

    :param url: the API's base URL.
    :param token: the bearer token; empty for none.
    """

    def __init__(self, url: str, token: str = '') -> None:
        self._url = url.rstrip('/')
        self._headers = {'Content-Type': 'application/json'}
        if token:
            self._headers['Authorization'] = f'Bearer {token}'
        self._session: aiohttp.ClientSession | None = None
        self._era = 0

    async def open(self) -> None:
        """Create the client session."""
        self._session = _http_session.make_session(headers=self._headers)

    async def close(self) -> None:
        """Close the client session and its connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self, request: platform_api.PlatformCall, timeout_seconds: float
    ) -> platform_api.PlatformAnswer:
        """Perform one call.

        :param request: the call.
        :param timeout_seconds: how long to wait for the answer.
        :returns: the answer; its status is ``UNKNOWN`` if none came or it
            can't be decoded.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._perform(request)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return _UNKNOWN
        except (msgspec.MsgspecError, ValueError, errors.DecodeError):
            return _UNKNOWN

    @functools.singledispatchmethod
    async def _perform(
        self, request: platform_api.PlatformCall
    ) -> platform_api.PlatformAnswer:
        raise NotImplementedError(type(request))

    @_perform.register
    async def _(
        self, request: platform_api.ReadObject
    ) -> platform_api.PlatformAnswer:
        path = self._quote(request.path)
        return await self._get(f'/objects{path}', _convert_object)

    @_perform.register
    async def _(
        self, request: platform_api.ListObjects
    ) -> platform_api.PlatformAnswer:
        query = urllib.parse.urlencode({'prefix': request.prefix})
        return await self._get(f'/objects?{query}', _convert_objects)

    @_perform.register
    async def _(
        self, request: platform_api.WatchObjects
    ) -> platform_api.PlatformAnswer:
        query = urllib.parse.urlencode(
            {
                'prefix': request.prefix,
                'revision': revisions.get_number(request.revision),
                'wait': request.wait_seconds,
            }
        )
        answer = await self._get(f'/watch?{query}', _convert_objects)
        era = revisions.get_era(request.revision)
        if revisions.get_era(answer.revision) > era:
            # The store was restored from an older copy. The answer lacks
            # changes between the copy and the requested revision, so that
            # the client must list all objects again.
            return _REFUSED
        return answer

    @_perform.register
    async def _(
        self, request: platform_api.ListInstances
    ) -> platform_api.PlatformAnswer:
        return await self._get('/instances', _convert_instances)

    @_perform.register
    async def _(
        self, request: platform_api.WriteObject
    ) -> platform_api.PlatformAnswer:
        headers = {'If-Match': f'"{request.expected_version}"'}
        if request.expected_version == 0:
            headers = {'If-None-Match': '*'}
        method = 'DELETE' if request.value is None else 'PUT'
        url = f'{self._url}/objects{self._quote(request.path)}'
        body = None
        if request.value is not None:
            value = base64.b64encode(request.value).decode()
            body = msgspec.json.encode(_WriteBody(value))
        async with self._session.request(
            method, url, data=body, headers=headers
        ) as response:
            body = await response.read()
            status = _convert_status(response.status)
            era = self._read_era(response)
        if status is not platform_api.PlatformStatus.OK or not body:
            return platform_api.PlatformAnswer(
                status, revision=_build_revision(0, era)
            )
        return _add_era(_convert_object(body), era)

    def _read_era(self, response: aiohttp.ClientResponse) -> int:
        text = response.headers.get(_ERA_HEADER)
        if text is None:
            return self._era
        era = revisions.parse_era(text)
        self._era = max(self._era, era)
        return era

    async def _get(
        self, path: str, convert_body
    ) -> platform_api.PlatformAnswer:
        async with self._session.get(self._url + path) as response:
            body = await response.read()
            status = _convert_status(response.status)
            era = self._read_era(response)
        if status is not platform_api.PlatformStatus.OK:
            return platform_api.PlatformAnswer(
                status, revision=_build_revision(0, era)
            )
        return _add_era(convert_body(body), era)

    def _quote(self, path: str) -> str:
        return urllib.parse.quote(path, safe='/:')


class PlatformCallRunner:
    """Performs the node's platform calls and reports the answers to it.

    :param runtime: the runtime that all parts of the daemon share.
    :param client: the client of the platform's API.
    """

    def __init__(
        self, runtime: _runtime.Runtime, client: PlatformClient
    ) -> None:
        self._runtime = runtime
        self._client = client

    def call(self, call: effect.CallPlatform) -> None:
        """Start a call.

        :param call: the effect that describes the call.
        """
        self._runtime.counters.add(metric.PLATFORM_CALLS)
        self._runtime.start(self._run(call))

    async def _run(self, call: effect.CallPlatform) -> None:
        answer = await self._client.call(call.request, call.timeout_seconds)
        self._runtime.handle(event.PlatformAnswered(call.call, answer))
