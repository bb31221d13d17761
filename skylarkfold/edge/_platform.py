"""The platform's object API over HTTP."""

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


class _Value(msgspec.Struct):
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


def _judge_status(status: int) -> platform_api.PlatformStatus:
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
    single = msgspec.json.decode(body, type=_Object).convert()
    return platform_api.PlatformAnswer(
        platform_api.PlatformStatus.OK, (single,), single.revision
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


def _stamp(
    answer: platform_api.PlatformAnswer, era: int
) -> platform_api.PlatformAnswer:
    """Put the store's era into all revisions of an answer."""
    return dataclasses.replace(
        answer,
        revision=_place(answer.revision, era),
        objects=tuple(
            dataclasses.replace(each, revision=_place(each.revision, era))
            for each in answer.objects
        ),
    )


def _place(number: int, era: int) -> int:
    if not 0 <= number <= revisions.MAXIMUM_NUMBER:
        raise ValueError('a revision is out of range')
    # Messages hold plain integers only.
    return int(revisions.Revision(number, era))


class PlatformClient:
    """Performs calls to the platform.

    Revisions in answers hold the store's era, so that they order all that it
    ever said; one that doesn't say it is taken to be in the era that it said
    last.

    :param url: the API's base URL.
    :param token: sent as a bearer token; empty for none.
    """

    def __init__(self, url: str, token: str = '') -> None:
        self._url = url.rstrip('/')
        self._headers = {'Content-Type': 'application/json'}
        if token:
            self._headers['Authorization'] = f'Bearer {token}'
        self._session: aiohttp.ClientSession | None = None
        self._era = 0

    async def open(self) -> None:
        """Make the connection pool."""
        self._session = _http_session.make_session(headers=self._headers)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self, request: platform_api.PlatformCall, timeout_seconds: float
    ) -> platform_api.PlatformAnswer:
        """Perform one call.

        :param request: what to ask.
        :param timeout_seconds: how long to wait.
        :returns: the answer; its status is ``UNKNOWN`` where none came or
            none that can be read.
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
            # What the store has from where its copy ends up to the number
            # that was asked from isn't in it: all has to be listed.
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
            body = msgspec.json.encode(_Value(value))
        async with self._session.request(
            method, url, data=body, headers=headers
        ) as response:
            body = await response.read()
            status = _judge_status(response.status)
            era = self._read_era(response)
        if status is not platform_api.PlatformStatus.OK or not body:
            return platform_api.PlatformAnswer(status, revision=_place(0, era))
        return _stamp(_convert_object(body), era)

    def _read_era(self, response: aiohttp.ClientResponse) -> int:
        text = response.headers.get(_ERA_HEADER)
        if text is None:
            return self._era
        era = revisions.parse_era(text)
        self._era = max(self._era, era)
        return era

    async def _get(self, path: str, convert) -> platform_api.PlatformAnswer:
        async with self._session.get(self._url + path) as response:
            body = await response.read()
            status = _judge_status(response.status)
            era = self._read_era(response)
        if status is not platform_api.PlatformStatus.OK:
            return platform_api.PlatformAnswer(status, revision=_place(0, era))
        return _stamp(convert(body), era)

    def _quote(self, path: str) -> str:
        return urllib.parse.quote(path, safe='/:')


class PlatformCallRunner:
    """Performs the node's platform calls and feeds the answers back.

    :param runtime: what all parts of the daemon share.
    :param client: the API.
    """

    def __init__(
        self, runtime: _runtime.Runtime, client: PlatformClient
    ) -> None:
        self._runtime = runtime
        self._client = client

    def call(self, wanted: effect.CallPlatform) -> None:
        """Begin a call.

        :param wanted: the node's decision.
        """
        self._runtime.counters.add(metric.PLATFORM_CALLS)
        self._runtime.start(self._run(wanted))

    async def _run(self, wanted: effect.CallPlatform) -> None:
        answer = await self._client.call(
            wanted.request, wanted.timeout_seconds
        )
        self._runtime.handle(event.PlatformAnswered(wanted.call, answer))
