"""Tests of the checks: they count exactly the broken promises."""

import dataclasses

import testtools

from skylarkfold.load import _promises
from skylarkfold.load import _result
from skylarkfold import standin

CALLER = '127.0.0.1:5'
RAN = _result.AttemptOutcome.RAN
NOT_RUN = _result.AttemptOutcome.NOT_RUN
MAY_HAVE_RUN = _result.AttemptOutcome.MAY_HAVE_RUN
NO_ANSWER = _result.AttemptOutcome.NO_ANSWER


def _make_record(**fields):
    return standin.UpstreamRecord('desk', '127.0.0.1:1', 2, **fields)


def _make_flow(**fields):
    healthy = {
        'caller': CALLER,
        'sent': 10,
        'answered': 10,
        'upstreams': {'desk-1': 10},
        'first_sent': 1.0,
        'last_sent': 10.0,
        'last_answered': 10.0,
    }
    return _result.FlowResult('alerts', 'desk', **(healthy | fields))


def _make_request(*outcomes, repeatable=False):
    attempts = [
        _result.AttemptResult(
            'key', 'host', float(number), number + 0.5, outcome
        )
        for number, outcome in enumerate(outcomes)
    ]
    return _result.RequestResult('settings', 'desk', repeatable, attempts)


def _judge_results(flows=(), requests=(), records=None, **fields):
    results = _result.CallerResults(list(flows), [], list(requests))
    records = records or {'desk-1': _make_record()}
    return _promises.judge(_promises.Evidence(results, records, **fields))


class FlowTest(testtools.TestCase):
    def test_a_healthy_flow_breaks_no_promise(self):
        flow = standin.FlowRecord(1.0, 10.0)
        records = {'desk-1': _make_record(flows={CALLER: flow})}
        promises = _judge_results([_make_flow()], records=records)
        self.assertEqual(0, promises.broken_flows)
        self.assertTrue(promises.hold)

    def test_answers_of_two_upstreams_break_a_flow(self):
        flow = _make_flow(upstreams={'desk-1': 9, 'desk-2': 1})
        promises = _judge_results([flow])
        self.assertEqual(1, promises.broken_flows)
        self.assertFalse(promises.hold)

    def test_a_packet_at_another_upstream_breaks_a_flow(self):
        stray = standin.FlowRecord(3.0, 3.0)
        records = {'desk-2': _make_record(flows={CALLER: stray})}
        promises = _judge_results([_make_flow()], records=records)
        self.assertEqual(1, promises.broken_flows)

    def test_a_flow_whose_upstream_stopped_has_moved(self):
        flow = _make_flow(upstreams={'desk-1': 5, 'desk-2': 5})
        records = {
            'desk-1': _make_record(stopped=5.0),
            'desk-2': _make_record(),
        }
        promises = _judge_results([flow], records=records)
        self.assertEqual((0, 1), (promises.broken_flows, promises.moved_flows))

    def test_a_silent_flow_is_broken(self):
        flow = _make_flow(answered=4, last_answered=4.9)
        self.assertEqual(1, _judge_results([flow]).broken_flows)

    def test_lost_datagrams_alone_break_nothing(self):
        flow = _make_flow(answered=8, last_answered=9.0)
        self.assertEqual(0, _judge_results([flow]).broken_flows)

    def test_misdelivery_is_counted_on_both_sides(self):
        records = {'desk-1': _make_record(misdelivered=2)}
        promises = _judge_results(
            [_make_flow(misdelivered=1)], records=records
        )
        self.assertEqual(3, promises.misdelivered)
        self.assertFalse(promises.hold)

    def test_imbalance_is_peak_over_mean_of_steady_upstreams(self):
        flows = [
            _make_flow(upstreams={name: 1}, caller=str(number))
            for number, name in enumerate(['a', 'a', 'a', 'b', 'drained'])
        ]
        promises = _judge_results(flows, steady={'desk': ('a', 'b')})
        self.assertEqual({'desk': 1.5}, promises.imbalance)


class StreamTest(testtools.TestCase):
    def _judge_stream(self, **fields):
        stream = _result.StreamResult(
            'feeds', 'desk', 'host', 'desk-1', broken='reset'
        )
        results = _result.CallerResults([], [stream], [])
        records = {'desk-1': _make_record()}
        evidence = _promises.Evidence(results, records, **fields)
        promises = _promises.judge(evidence)
        return promises.broken_streams, promises.cut_streams

    def test_a_stream_that_ends_early_is_broken(self):
        self.assertEqual((1, 0), self._judge_stream())

    def test_a_stream_whose_instance_ended_is_cut(self):
        stopped = frozenset({'host'})
        self.assertEqual((0, 1), self._judge_stream(stopped=stopped))


class RequestTest(testtools.TestCase):
    def _judge_runs(self, times, *outcomes, repeatable=False):
        request = _make_request(*outcomes, repeatable=repeatable)
        records = {'desk-1': _make_record(runs={'key': times})}
        return _judge_results(requests=[request], records=records)

    def test_one_run_with_its_answer_breaks_no_promise(self):
        promises = self._judge_runs([0.2], RAN)
        self.assertTrue(promises.hold)
        self.assertEqual(1, promises.ran)

    def test_a_second_run_is_a_duplicate(self):
        promises = self._judge_runs([0.2, 1.2], NO_ANSWER, RAN)
        self.assertEqual(1, promises.duplicate_runs)

    def test_runs_at_two_upstreams_are_duplicates(self):
        records = {
            'desk-1': _make_record(runs={'key': [0.2]}),
            'desk-2': _make_record(runs={'key': [0.3]}),
        }
        promises = _judge_results(
            requests=[_make_request(RAN)], records=records
        )
        self.assertEqual(1, promises.duplicate_runs)

    def test_repeatable_requests_may_run_twice(self):
        promises = self._judge_runs([0.2, 0.3], RAN, repeatable=True)
        self.assertEqual(0, promises.duplicate_runs)

    def test_a_rejection_after_a_run_is_false(self):
        promises = self._judge_runs([0.2], NO_ANSWER, NOT_RUN)
        self.assertEqual(1, promises.false_not_run)

    def test_a_rejection_before_a_run_without_a_retry_is_false(self):
        self.assertEqual(1, self._judge_runs([0.8], NOT_RUN).false_not_run)

    def test_a_rejection_before_the_run_of_a_retry_is_true(self):
        promises = self._judge_runs([1.2], NOT_RUN, RAN)
        self.assertTrue(promises.hold)

    def test_a_request_without_a_verdict_is_unanswered(self):
        promises = self._judge_runs([], NO_ANSWER)
        self.assertEqual(1, promises.unanswered)
        self.assertFalse(promises.hold)

    def test_may_have_run_is_a_verdict(self):
        promises = self._judge_runs([0.2], MAY_HAVE_RUN)
        self.assertTrue(promises.hold)
        self.assertEqual(1, promises.may_have_run)

    def test_wrong_answers_are_counted(self):
        wrong = _result.AttemptOutcome.WRONG
        promises = self._judge_runs([0.2], wrong)
        self.assertEqual(1, promises.wrong_answers)


class DrainTest(testtools.TestCase):
    def _judge_drain(self, time, **fields):
        drain = _promises.Drain('desk', 'desk-1', 10.0)
        drain = dataclasses.replace(drain, **fields)
        late = standin.FlowRecord(time, time)
        record = _make_record(
            flows={CALLER: late}, runs={'key': [time]}, streams={'s': [time]}
        )
        records = {'desk-1': record}
        return _judge_results(records=records, drains=(drain,)).late_new_work

    def test_new_work_long_after_the_drain_is_late(self):
        self.assertEqual(3, self._judge_drain(15.1))

    def test_new_work_soon_after_the_drain_is_not(self):
        self.assertEqual(0, self._judge_drain(14.9))

    def test_new_work_after_the_drain_ended_is_not(self):
        self.assertEqual(0, self._judge_drain(30.0, undrained=29.0))
        self.assertEqual(3, self._judge_drain(28.0, undrained=29.0))
