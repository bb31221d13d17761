"""Tests of the platform client against the platform stand-in."""

import contextlib
from unittest import mock

import testtools

from skylarkfold import edge
from skylarkfold import platform_api
from skylarkfold import revision as revisions
from skylarkfold import standin
from skylarkfold.standin import _daemon
from skylarkfold.standin import _platform
from skylarkfold.tests.edge import fixture

OK = platform_api.PlatformStatus.OK


@contextlib.asynccontextmanager
async def open_client():
    """Start a platform stand-in and yield it with a client."""
    platform = standin.PlatformStandin()
    runner = await _daemon.start_server(
        platform.make_application(), fixture.HOST, 0
    )
    client = edge.PlatformClient(f'http://{_daemon.get_address(runner)}')
    await client.open()
    try:
        yield platform, client
    finally:
        await client.close()
        await runner.cleanup()


def build_revision(number, era=1):
    """Build a revision as a plain integer."""
    return int(revisions.Revision(number, era))


def build_write(value, version, path='/teams/desk/settings'):
    return platform_api.WriteObject(path, value, version)


class PlatformClientTest(testtools.TestCase):
    def test_calls_and_their_answers(self):
        async def check():
            async with open_client() as (_, client):
                calls = [
                    build_write(b'one', 0),
                    build_write(b'two', 0),
                    build_write(b'two', 1),
                    platform_api.ReadObject('/teams/desk/settings'),
                    platform_api.ReadObject('/none'),
                    platform_api.ListObjects('/teams/'),
                    platform_api.WatchObjects('/', build_revision(1), 1.0),
                    build_write(None, 2),
                ]
                return [await client.call(each, 5.0) for each in calls]

        answers = fixture.run(check())
        statuses = [each.status for each in answers]
        conflict = platform_api.PlatformStatus.CONFLICT
        missing = platform_api.PlatformStatus.NOT_FOUND
        self.assertEqual([OK, conflict, OK, OK, missing, OK, OK, OK], statuses)
        expected = platform_api.StoredObject(
            '/teams/desk/settings', 2, build_revision(2), b'two'
        )
        for index in (2, 3, 5, 6):
            self.assertEqual((expected,), answers[index].objects)
        self.assertEqual(build_revision(2), answers[5].revision)

    def test_revisions_are_greater_after_a_restore(self):
        async def check():
            async with open_client() as (platform, client):
                await client.call(build_write(b'one', 0), 5.0)
                saved = platform.store.copy()
                await client.call(build_write(b'two', 1), 5.0)
                await client.call(build_write(b'three', 2), 5.0)
                before = await client.call(platform_api.ListObjects('/'), 5.0)
                platform.store = platform.store.restore(saved)
                watch = platform_api.WatchObjects('/', before.revision, 0.1)
                watched = await client.call(watch, 5.0)
                for version in (1, 2, 3):
                    await client.call(build_write(b'x', version), 5.0)
                again = await client.call(watch, 5.0)
                after = await client.call(platform_api.ListObjects('/'), 5.0)
                return before, watched, again, after

        before, watched, again, after = fixture.run(check())
        self.assertEqual(build_revision(3), before.revision)
        # The revision is first unknown to the restored store, then reused
        # by it for another write.
        refused = platform_api.PlatformStatus.REFUSED
        self.assertEqual([refused] * 2, [watched.status, again.status])
        self.assertEqual(build_revision(4, era=2), after.revision)
        self.assertEqual(build_revision(4, era=2), after.objects[0].revision)

    def test_missing_object_has_an_era(self):
        async def check():
            async with open_client() as (platform, client):
                saved = platform.store.copy()
                platform.store = platform.store.restore(saved)
                return await client.call(platform_api.ReadObject('/none'), 5.0)

        answer = fixture.run(check())
        self.assertEqual(platform_api.PlatformStatus.NOT_FOUND, answer.status)
        self.assertEqual(build_revision(0, era=2), answer.revision)

    def test_answer_without_an_era_gets_the_latest_one(self):
        async def check():
            async with open_client() as (platform, client):
                await client.call(build_write(b'one', 0), 5.0)
                platform.store = platform.store.restore(platform.store.copy())
                await client.call(platform_api.ListObjects('/'), 5.0)
                with mock.patch.object(_platform, 'ERA_HEADER', 'X-Other'):
                    return await client.call(
                        platform_api.ListObjects('/'), 5.0
                    )

        answer = fixture.run(check())
        self.assertEqual(build_revision(1, era=2), answer.revision)

    def test_write_with_a_lost_answer_is_unknown(self):
        async def check():
            async with open_client() as (platform, client):
                platform.faults = standin.Faults(lose_answers=1)
                lost = await client.call(build_write(b'one', 0), 5.0)
                read = await client.call(
                    platform_api.ReadObject('/teams/desk/settings'), 5.0
                )
                return lost, read

        lost, read = fixture.run(check())
        self.assertEqual(platform_api.PlatformStatus.UNKNOWN, lost.status)
        self.assertEqual(b'one', read.objects[0].value)

    def test_unavailable_or_slow_platform_is_unknown(self):
        async def check():
            async with open_client() as (platform, client):
                platform.faults = standin.Faults(down=True)
                down = await client.call(platform_api.ListInstances(), 5.0)
                platform.faults = standin.Faults(delay_ms=2000)
                slow = await client.call(platform_api.ListInstances(), 0.05)
                return down.status, slow.status

        unknown = platform_api.PlatformStatus.UNKNOWN
        self.assertEqual((unknown, unknown), fixture.run(check()))

    def test_instances_are_listed(self):
        async def check():
            async with open_client() as (platform, client):
                platform._instances.put(
                    0.0,
                    platform_api.ListedInstance('a', 'z', 'r', '127.0.0.1:1'),
                )
                return await client.call(platform_api.ListInstances(), 5.0)

        answer = fixture.run(check())
        self.assertEqual(('a',), tuple(e.name for e in answer.instances))
