"""Admin HTTP endpoint of an instance: readiness and status."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web
import msgspec

from skylarkfold import endpoint


class MemberStatus(msgspec.Struct):
    """Status of one instance as the reporting instance sees it.

    :param name: the instance's name.
    :param zone: its availability zone.
    :param state: its membership state.
    :param revision: the configuration revision that it applies.
    """

    name: str
    zone: str
    state: str
    revision: int


class InstanceStatus(msgspec.Struct):
    """Status that an instance reports about itself.

    :param instance: its name.
    :param ready: whether it is ready for traffic.
    :param revision: the configuration revision that it applies.
    :param services: the names of the services that it serves.
    :param members: all instances that it knows.
    :param counters: its metric totals since it started.
    """

    instance: str
    ready: bool
    revision: int
    services: list[str]
    members: list[MemberStatus]
    counters: dict[str, int]


async def listen(
    address: endpoint.Endpoint, get_status: Callable[[], InstanceStatus]
) -> web.AppRunner:
    """Serve ``/ready`` and ``/status``.

    :param address: the address to listen on.
    :param get_status: returns the current status.
    :returns: the runner, which the caller must clean up.
    :raises OSError: if the address can't be bound.
    """

    async def answer_ready(_: web.Request) -> web.Response:
        status = 200 if get_status().ready else 503
        return web.Response(status=status)

    async def answer_status(_: web.Request) -> web.Response:
        body = msgspec.json.encode(get_status())
        return web.Response(body=body, content_type='application/json')

    application = web.Application()
    application.router.add_get('/ready', answer_ready)
    application.router.add_get('/status', answer_status)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, *address).start()
    return runner
