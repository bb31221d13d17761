"""Tests of the core of the platform client."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import instance
from skylarkfold import platform_api
from skylarkfold import store
from skylarkfold.tests import fakes

INSTANCE = instance.InstanceSettings(
    'entry-1', 'hall-a', 'sierra-norte', endpoint.Endpoint('127.0.0.1', 1)
)
SETTINGS = store.StoreSettings()
Status = platform_api.PlatformStatus
WRITE = platform_api.WriteObject('/tables/x', b'new', 1)


def make_core(seed=1, **changes):
    return store.StoreCore(INSTANCE, store.StoreSettings(**changes), seed)


def list_calls(effects):
    return [each for each in effects if type(each) is effect.CallPlatform]


def list_ended(effects):
    return [
        each.ended
        for each in effects
        if type(each) is effect.PublishWriteEnded
    ]


class StoreCoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.core = make_core()
        self.now = 0.0
        effects = self.core.request_write(self.now, WRITE)
        self.call = list_calls(effects)[0]

    def answer(self, answer):
        """Answer the last call; return the end of the write, if it ended."""
        answered = event.PlatformAnswered(self.call.call, answer)
        effects = self.core.handle(self.now, answered)
        if not list_calls(effects):
            self.now += SETTINGS.maximum_retry_seconds
            effects += self.core.handle(self.now, event.Tick())
        for call in list_calls(effects):
            self.call = call
        ended = list_ended(effects)
        return ended[0] if ended else None

    def read(self, version, value):
        found = platform_api.StoredObject(WRITE.path, version, version, value)
        return platform_api.PlatformAnswer(Status.OK, (found,), version)

    def test_a_write_that_is_answered(self):
        ended = self.answer(platform_api.PlatformAnswer(Status.OK, (), 9))
        self.assertEqual(Status.OK, ended.status)
        self.assertEqual(
            platform_api.StoredObject(WRITE.path, 2, 9, b'new'), ended.current
        )
        self.assertTrue(self.core.is_finished)

    def test_a_conflict_costs_no_read(self):
        ended = self.answer(platform_api.PlatformAnswer(Status.CONFLICT))
        self.assertEqual(Status.CONFLICT, ended.status)
        self.assertFalse(ended.may_have_stood)

    def test_a_lost_answer_is_resolved_by_a_read(self):
        self.assertIsNone(self.answer(fakes.LOST))
        self.assertEqual(
            platform_api.ReadObject(WRITE.path), self.call.request
        )
        ended = self.answer(self.read(2, b'new'))
        self.assertEqual(Status.OK, ended.status)

    def test_a_write_that_did_not_arrive_is_tried_again(self):
        self.answer(fakes.LOST)
        self.assertIsNone(self.answer(self.read(1, b'old')))
        self.assertEqual(WRITE, self.call.request)

    def test_a_lost_answer_and_another_writer(self):
        self.answer(fakes.LOST)
        ended = self.answer(self.read(2, b'other'))
        self.assertEqual(Status.CONFLICT, ended.status)
        self.assertFalse(ended.may_have_stood)

    def test_a_lost_answer_and_a_later_version(self):
        self.answer(fakes.LOST)
        ended = self.answer(self.read(3, b'other'))
        self.assertEqual(Status.CONFLICT, ended.status)
        self.assertTrue(ended.may_have_stood)

    def test_a_stale_read_after_a_late_write(self):
        self.answer(fakes.LOST)
        self.answer(self.read(1, b'old'))
        # The first try was applied late, so the second one has a conflict.
        self.assertIsNone(
            self.answer(platform_api.PlatformAnswer(Status.CONFLICT))
        )
        self.assertIsNone(self.answer(self.read(1, b'old')))
        self.assertEqual(
            platform_api.ReadObject(WRITE.path), self.call.request
        )
        ended = self.answer(self.read(2, b'new'))
        self.assertEqual(Status.OK, ended.status)

    def test_a_watched_change_resolves_a_lost_answer(self):
        answered = event.PlatformAnswered(self.call.call, fakes.LOST)
        self.core.handle(self.now, answered)
        found = platform_api.StoredObject(WRITE.path, 2, 5, b'new')
        effects = self.core.handle(self.now, event.ObjectChanged(found))
        self.assertEqual([Status.OK], [e.status for e in list_ended(effects)])

    def test_a_platform_that_never_answers(self):
        ended = None
        calls = 0
        while ended is None:
            ended = self.answer(fakes.LOST)
            calls += 1
        self.assertEqual(Status.UNKNOWN, ended.status)
        self.assertLess(calls, 8)

    def test_a_platform_that_refuses_calls(self):
        ended = None
        while ended is None:
            ended = self.answer(fakes.SHED)
        self.assertEqual(Status.REFUSED, ended.status)

    def test_an_outage_allows_one_call_at_a_time(self):
        core = make_core()
        calls = []
        for number in range(8):
            write = platform_api.WriteObject(f'/tables/{number}', b'', 0)
            calls += list_calls(core.request_write(0.0, write))
        self.assertEqual(8, len(calls))
        for call in calls:
            core.handle(1.0, event.PlatformAnswered(call.call, fakes.LOST))
        effects = core.handle(30.0, event.Tick())
        self.assertEqual(1, len(list_calls(effects)))

    def test_an_outage_of_an_hour(self):
        """Writes are requested again; few calls are sent, then all succeed."""
        platform = fakes.FakePlatform()
        core = make_core()
        writes = [
            platform_api.WriteObject(f'/tables/{number}', b'x', 0)
            for number in range(8)
        ]
        calls = 0
        settled = set()
        for tick in range(2 * 3660):
            now = tick / 2
            effects = core.handle(now, event.Tick())
            for write in writes:
                if write.path not in settled:
                    effects += core.request_write(now, write)
            for each in effects:
                if type(each) is effect.CallPlatform:
                    calls += now < 3600
                    answer = fakes.LOST
                    if now >= 3600:
                        answer = platform.perform(each.request)
                    answered = event.PlatformAnswered(each.call, answer)
                    # Extends the list that the loop iterates over.
                    effects += core.handle(now, answered)
            for ended in list_ended(effects):
                if ended.status is Status.OK:
                    settled.add(ended.path)
        self.assertEqual(8, len(settled))
        self.assertLess(calls, 3600 / 8)

    def test_writes_are_rate_limited(self):
        core = make_core(writes_per_second=0.5, burst_calls=3)
        effects = []
        for number in range(50):
            write = platform_api.WriteObject(f'/tables/{number}', b'', 0)
            effects += core.request_write(0.0, write)
        sent = len(list_calls(effects))
        self.assertEqual(3, sent)
        answer = platform_api.PlatformAnswer(Status.OK, (), 1)
        for tick in range(41):
            now = tick / 4
            for call in list_calls(effects):
                core.handle(now, event.PlatformAnswered(call.call, answer))
            effects = core.handle(now, event.Tick())
            sent += len(list_calls(effects))
        self.assertEqual(3 + 5, sent)

    def test_writes_beyond_the_limit_are_refused(self):
        core = make_core(maximum_waiting=1)
        core.request_write(0.0, WRITE)
        other = platform_api.WriteObject('/tables/y', b'', 0)
        ended = list_ended(core.request_write(0.0, other))
        self.assertEqual([Status.REFUSED], [each.status for each in ended])

    def test_a_repeated_request_is_sent_once(self):
        self.assertEqual([], self.core.request_write(0.0, WRITE))


class WritersMachine(stateful.RuleBasedStateMachine):
    """Three writers, two objects, a platform that loses and delays.

    The oracle is the platform's log: an outcome must agree with what it
    says then and later.
    """

    PATHS = ('/a', '/b')

    def __init__(self):
        super().__init__()
        self.platform = fakes.FakePlatform()
        self.cores = [make_core(seed, burst_calls=50) for seed in range(3)]
        self.now = 0.0
        self.open = []
        self.delayed = []
        self.asked = {}
        self.ended = {}

    def take(self, index, effects):
        for call in list_calls(effects):
            self.open.append((index, call))
        for ended in list_ended(effects):
            self.settle(index, ended)

    def settle(self, index, ended):
        for key, write in self.asked.items():
            if key[0] == index and write.path == ended.path:
                if key not in self.ended:
                    self.ended[key] = ended
                    return
        raise AssertionError('an outcome of no write')

    @stateful.rule(
        index=strategies.integers(0, 2),
        path=strategies.sampled_from(PATHS),
        behind=strategies.integers(0, 1),
    )
    def ask(self, index, path, behind):
        current = self.platform.get(path, behind)
        version = store.get_version(current)
        key = (index, len(self.asked))
        if any(
            key not in self.ended and key[0] == index and write.path == path
            for key, write in self.asked.items()
        ):
            return
        write = platform_api.WriteObject(path, str(key).encode(), version)
        self.asked[key] = write
        effects = self.cores[index].request_write(self.now, write)
        self.take(index, effects)

    def answer(self, index, call, answer):
        answered = event.PlatformAnswered(call.call, answer)
        self.take(index, self.cores[index].handle(self.now, answered))

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(
        pick=strategies.integers(0, 99),
        fate=strategies.sampled_from(
            ['whole', 'whole', 'lost before', 'lost after', 'late', 'shed']
        ),
        behind=strategies.integers(0, 3),
    )
    def deliver(self, pick, fate, behind):
        index, call = self.open.pop(pick % len(self.open))
        answer = fakes.LOST
        if fate == 'whole':
            answer = self.platform.perform(call.request, behind)
        elif fate == 'lost after':
            self.platform.perform(call.request)
        elif fate == 'late':
            self.delayed.append(call.request)
        elif fate == 'shed':
            answer = fakes.SHED
        self.answer(index, call, answer)

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule(pick=strategies.integers(0, 99))
    def land_late(self, pick):
        self.platform.perform(self.delayed.pop(pick % len(self.delayed)))

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 16.0, 70.0]))
    def wait(self, seconds):
        self.now += seconds
        for index, core in enumerate(self.cores):
            self.take(index, core.handle(self.now, event.Tick()))

    def teardown(self):
        for _ in range(40):
            while self.open:
                index, call = self.open.pop(0)
                answer = self.platform.perform(call.request)
                self.answer(index, call, answer)
            self.wait(16.0)
        while self.delayed:
            self.land_late(0)
        for key, write in self.asked.items():
            self.check(write, self.ended[key])

    def check(self, write, ended):
        versions = [
            each.version
            for each in self.platform.log
            if each.value == write.value
        ]
        if ended.status is Status.OK:
            assert versions == [write.expected_version + 1], (write, ended)
        elif ended.status is Status.REFUSED:
            assert not versions, (write, ended)
        elif ended.status is Status.CONFLICT and not ended.may_have_stood:
            assert not versions, (write, ended)


class WritersTest(WritersMachine.TestCase):
    settings = hypothesis.settings(max_examples=120, stateful_step_count=40)
