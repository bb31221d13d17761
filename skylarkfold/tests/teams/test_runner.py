"""Tests of the commands with a platform client."""

import asyncio
import json

import testtools

from skylarkfold import errors
from skylarkfold import service
from skylarkfold import teams
from skylarkfold.tests import fakes
from skylarkfold.tests.teams import test_apply

RETRY = teams.RetrySettings(tries=2, pause_seconds=0.001)
FILE = json.dumps({'services': test_apply.build_services(x='10.0.0.1:1')})


class Client:
    """A client of a fake platform that can be unavailable."""

    def __init__(self):
        self.platform = fakes.FakePlatform()
        self.is_down = False

    async def call(self, request, timeout_seconds):
        if self.is_down:
            return fakes.LOST
        return self.platform.perform(request)


class RunnerTest(testtools.TestCase):
    def test_all_commands(self):
        asyncio.run(self.run_commands(Client(), test_apply.DESK))

    async def run_commands(self, client, operator):
        previewed = await teams.preview_change(client, operator, FILE, 'f')
        self.assertEqual((0, 1), (previewed.version, len(previewed.changes)))
        applied = await teams.apply_settings(
            client, operator, FILE, 'f', 'w1', expected_version=0
        )
        self.assertEqual(1, applied.version)
        draining = service.UpstreamState.DRAINING
        applied = await teams.set_upstream_state(
            client, operator, 'x', 'u-1', draining, 'w2'
        )
        self.assertEqual(2, applied.version)
        subtree = await teams.read_settings(client, 'desk')
        upstream = subtree.services['x']['upstreams']['u-1']
        self.assertEqual('draining', upstream['state'])
        status = await teams.collect_status(client, [])
        self.assertEqual([2], [each.version for each in status.teams])

    def test_unavailable_platform(self):
        client = Client()
        client.is_down = True
        command = teams.apply_settings(
            client, test_apply.DESK, FILE, 'f', 'w1', retry=RETRY
        )
        self.assertRaises(errors.PlatformError, asyncio.run, command)

    def test_invalid_file(self):
        command = teams.apply_settings(
            Client(), test_apply.DESK, '{', 'f', 'w1'
        )
        self.assertRaises(errors.SettingsSyntaxError, asyncio.run, command)
