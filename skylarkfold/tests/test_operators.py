"""Tests of the operators' commands with a platform stand-in."""

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile
import threading

import testtools

from skylarkfold import _commands
from skylarkfold import edge
from skylarkfold import errors
from skylarkfold import revision as revisions
from skylarkfold import service
from skylarkfold import standin
from skylarkfold.standin import _daemon
from skylarkfold.tests.edge import fixture

SETTINGS = """{
  // The desk of the press shops.
  services: {desk: {address: '10.0.0.1:%d', upstreams: {
    'desk-1': {address: '10.0.1.1:9000', zone: 'z'},
    'desk-2': {address: '10.0.1.2:9000', zone: 'z'},
  }}},
}"""


class PlatformThread:
    """Runs a platform stand-in in a thread."""

    def __init__(self):
        self.platform = standin.PlatformStandin()
        self._is_serving = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        self._is_serving.wait()
        return self

    def __exit__(self, *error):
        self._loop.call_soon_threadsafe(self._ended.set)
        self._thread.join()

    def _run(self):
        asyncio.run(self._serve())

    async def _serve(self):
        self._loop = asyncio.get_running_loop()
        self._ended = asyncio.Event()
        application = self.platform.make_application()
        runner = await _daemon.start_server(application, fixture.HOST, 0)
        self.url = f'http://{_daemon.get_address(runner)}'
        self._is_serving.set()
        await self._ended.wait()
        await runner.cleanup()


class OperatorsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.server = self.stack.enter_context(PlatformThread())
        self.folder = pathlib.Path(
            self.stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.commands = _commands.Commands()

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def write_identity(self, team, token=''):
        fields = {
            'name': f'{team}-operator',
            'team': team,
            'platform': self.server.url,
            'token': token,
        }
        return self.write(f'{team}-identity.json', json.dumps(fields))

    def run_command(self, command, *arguments, **options):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            command(*arguments, **options)
        return output.getvalue()

    def read_state(self):
        (stored,) = self.server.platform.store.list_objects('/teams/desk/')
        desk = json.loads(stored.value)['services']['desk']
        return desk['upstreams']['desk-1'].get('state', 'active')

    def test_apply_preview_drain_show(self):
        identity = self.write_identity('desk')
        path = self.write('desk.json', SETTINGS % 7000)
        output = self.run_command(self.commands.preview, path, identity)
        self.assertIn('services.desk: added', output)
        self.assertEqual([], self.server.platform.store.list_objects('/'))
        output = self.run_command(self.commands.apply, path, identity)
        self.assertIn('version 1 of team desk', output)
        output = self.run_command(
            self.commands.drain, 'desk', 'desk-1', identity
        )
        self.assertIn('state: active -> draining', output)
        self.assertEqual(
            service.UpstreamState.DRAINING.value, self.read_state()
        )
        self.run_command(self.commands.undrain, 'desk', 'desk-1', identity)
        self.assertEqual('active', self.read_state())
        output = self.run_command(self.commands.show, 'desk', self.server.url)
        self.assertIn('// version 3 by desk-operator', output)

    def test_outdated_version_is_a_conflict(self):
        path = self.write('desk.json', SETTINGS % 7000)
        apply = self.commands.apply
        self.run_command(apply, path, platform=self.server.url)
        with testtools.ExpectedException(errors.ConflictError):
            self.run_command(apply, path, platform=self.server.url, version=0)

    def test_claims_of_another_team_are_refused(self):
        path = self.write('desk.json', SETTINGS % 7000)
        rival = self.write('rival.json', SETTINGS % 7000)
        apply = self.commands.apply
        self.run_command(apply, path, platform=self.server.url)
        with testtools.ExpectedException(errors.ClaimError):
            self.run_command(apply, rival, platform=self.server.url)

    def test_identity_of_another_team_is_refused(self):
        identity = self.write_identity('rival')
        with testtools.ExpectedException(errors.RightError):
            self.run_command(
                self.commands.drain, 'desk', 'desk-1', identity, 'desk'
            )

    def test_platform_refuses_token_of_another_team(self):
        self.server.platform.rights = {'t1': 'desk', 't2': 'rival'}
        path = self.write('desk.json', SETTINGS % 7000)
        forged = self.write_identity('desk', 't2')
        with testtools.ExpectedException(errors.PlatformError):
            self.run_command(self.commands.apply, path, forged)
        self.assertEqual(
            [], self.server.platform.store.list_objects('/teams/')
        )
        genuine = self.write_identity('desk', 't1')
        self.run_command(self.commands.apply, path, genuine)

    def test_missing_platform_is_usage_error(self):
        with testtools.ExpectedException(errors.UsageError):
            self.commands.drain('desk', 'desk-1', team='desk')

    def test_status_lists_lagging_instances(self):
        path = self.write('desk.json', SETTINGS % 7000)
        self.run_command(self.commands.apply, path, platform=self.server.url)
        # One member's revision is from before the store was restored from an
        # older copy.
        current = int(revisions.Revision(100, 1))
        outdated = int(revisions.Revision(200, 0))
        members = [
            edge.MemberStatus('a1', 'z', 'alive', current),
            edge.MemberStatus('a2', 'z', 'alive', outdated),
        ]
        status = edge.InstanceStatus('a1', True, current, [], members, {})
        with self.serve_status(status) as address:
            output = self.run_command(
                self.commands.status, self.server.url, address
            )
        row = next(
            line for line in output.splitlines() if line.startswith('desk')
        )
        self.assertIn("('a2',)", row)
        rows = [
            line.split()[:5]
            for line in output.splitlines()
            if line.startswith('a')
        ]
        self.assertEqual(
            [
                ['a1', 'z', 'alive', '1', '100'],
                ['a2', 'z', 'alive', '0', '200'],
            ],
            rows,
        )

    @contextlib.contextmanager
    def serve_status(self, status):
        """Serve an instance's admin port in the platform's thread."""
        port = fixture.find_port()
        address = edge.listen_admin((fixture.HOST, port), lambda: status)
        loop = self.server._loop
        runner = asyncio.run_coroutine_threadsafe(address, loop).result()
        try:
            yield f'{fixture.HOST}:{port}'
        finally:
            ended = runner.cleanup()
            asyncio.run_coroutine_threadsafe(ended, loop).result()
