import testtools

from skylarkfold import effect
from skylarkfold import event
from skylarkfold import request
from skylarkfold import service
from skylarkfold.tests.requests import samples
from skylarkfold import verdict

Outcome = request.Outcome
Verdict = verdict.Verdict


class RequestExecutorTest(testtools.TestCase):
    """Requests of one instance, from admission to the answer."""

    def begin(self, core, number=1, now=1.0, **options):
        made = samples.make_request(number, **options)
        return core.handle(now, event.RequestReceived(made))

    def end(self, core, attempt, outcome, answer=None, now=2.0):
        ended = event.AttemptEnded(attempt, outcome, answer)
        return core.handle(now, ended)

    def test_complete_answer_goes_to_its_caller(self):
        core = samples.make_core()
        first = samples.list_dispatches(self.begin(core, 1))[0]
        second = samples.list_dispatches(self.begin(core, 2))[0]
        late = samples.make_answer(b'two')
        effects = self.end(core, second.attempt, Outcome.ANSWERED, late)
        [sent] = samples.list_answers(effects)
        self.assertEqual((2, b'two'), (sent.request, sent.answer.body))
        answer = samples.make_answer(b'one')
        effects = self.end(core, first.attempt, Outcome.ANSWERED, answer)
        [sent] = samples.list_answers(effects)
        self.assertEqual((1, b'one'), (sent.request, sent.answer.body))
        self.assertEqual(Verdict.RAN, sent.answer.verdict)

    def test_duplicate_answer_is_dropped(self):
        core = samples.make_core()
        [sent] = samples.list_dispatches(self.begin(core))
        answer = samples.make_answer()
        self.end(core, sent.attempt, Outcome.ANSWERED, answer)
        effects = self.end(core, sent.attempt, Outcome.ANSWERED, answer)
        self.assertEqual([], samples.list_answers(effects))

    def test_truncated_answer_is_not_relayed(self):
        core = samples.make_core()
        [sent] = samples.list_dispatches(self.begin(core))
        headers = (('content-length', '9'),)
        short = samples.make_answer(b'done', headers=headers)
        effects = self.end(core, sent.attempt, Outcome.ANSWERED, short)
        [answered] = samples.list_answers(effects)
        self.assertEqual(Verdict.MAY_HAVE_RUN, answered.answer.verdict)
        self.assertEqual(b'', answered.answer.body)

    def test_broken_attempt_is_repeated_only_if_idempotent(self):
        core = samples.make_core()
        [sent] = samples.list_dispatches(self.begin(core))
        effects = self.end(core, sent.attempt, Outcome.BROKEN)
        [answered] = samples.list_answers(effects)
        self.assertEqual(Verdict.MAY_HAVE_RUN, answered.answer.verdict)
        [sent] = samples.list_dispatches(self.begin(core, 2, idempotent=True))
        effects = self.end(core, sent.attempt, Outcome.BROKEN)
        self.assertEqual([], samples.list_answers(effects))
        effects = core.handle(2.5, event.Tick())
        [again] = samples.list_dispatches(effects)
        self.assertNotEqual(sent.upstream.name, again.upstream.name)

    def test_refused_attempt_is_repeated_elsewhere(self):
        core = samples.make_core()
        [sent] = samples.list_dispatches(self.begin(core))
        self.end(core, sent.attempt, Outcome.REFUSED)
        [again] = samples.list_dispatches(core.handle(2.5, event.Tick()))
        effects = self.end(core, again.attempt, Outcome.REFUSED)
        [answered] = samples.list_answers(effects)
        self.assertEqual(Verdict.NOT_RUN, answered.answer.verdict)
        self.assertIsNotNone(answered.answer.retry_after_seconds)

    def test_refusal_after_a_broken_attempt_may_have_run(self):
        core = samples.make_core()
        [sent] = samples.list_dispatches(self.begin(core, idempotent=True))
        self.end(core, sent.attempt, Outcome.BROKEN)
        [again] = samples.list_dispatches(core.handle(2.5, event.Tick()))
        effects = self.end(core, again.attempt, Outcome.REFUSED)
        [answered] = samples.list_answers(effects)
        self.assertEqual(Verdict.MAY_HAVE_RUN, answered.answer.verdict)

    def test_retries_stay_within_their_budget(self):
        core = samples.make_core(retry_burst=1.0, retry_share=0.0)
        for number in (1, 2):
            [sent] = samples.list_dispatches(self.begin(core, number))
            effects = self.end(core, sent.attempt, Outcome.REFUSED)
            answered = samples.list_answers(effects)
            self.assertEqual(number - 1, len(answered))

    def test_no_retry_past_the_deadline(self):
        core = samples.make_core()
        [sent] = samples.list_dispatches(
            self.begin(core, timeout_seconds=1.001)
        )
        effects = self.end(core, sent.attempt, Outcome.REFUSED)
        self.assertEqual(1, len(samples.list_answers(effects)))

    def test_deadline_cancels_the_attempt_and_answers_may_have_run(self):
        core = samples.make_core()
        [sent] = samples.list_dispatches(self.begin(core))
        self.assertEqual(5.0, sent.timeout_seconds)
        effects = core.handle(6.0, event.Tick())
        [cancelled] = samples.select(effects, effect.CancelAttempt)
        self.assertEqual(sent.attempt, cancelled.attempt)
        [answered] = samples.list_answers(effects)
        self.assertEqual(Verdict.MAY_HAVE_RUN, answered.answer.verdict)
        late = samples.make_answer()
        effects = self.end(core, sent.attempt, Outcome.ANSWERED, late, 7.0)
        self.assertEqual([], samples.list_answers(effects))

    def test_queued_past_its_deadline_is_not_run(self):
        core = samples.make_core(samples.make_upstream('u-1', slots=1))
        self.begin(core, 1, timeout_seconds=50.0)
        self.begin(core, 2, timeout_seconds=1.0)
        [answered] = samples.list_answers(core.handle(2.0, event.Tick()))
        self.assertEqual(2, answered.request)
        self.assertEqual(Verdict.NOT_RUN, answered.answer.verdict)

    def test_draining_upstream_gets_no_new_work(self):
        core = samples.make_core()
        [sent] = samples.list_dispatches(self.begin(core, 1))
        draining = samples.make_upstream(
            sent.upstream.name, state=service.UpstreamState.DRAINING
        )
        changed = samples.make_configuration(draining, revision=2)
        core.handle(1.5, event.ConfigurationChanged(changed))
        effects = self.begin(core, 2)
        [answered] = samples.list_answers(effects)
        self.assertEqual('no-upstream', answered.answer.code)
        answer = samples.make_answer()
        effects = self.end(core, sent.attempt, Outcome.ANSWERED, answer)
        self.assertEqual(1, len(samples.list_answers(effects)))

    def test_stop_finishes_what_runs_and_refuses_the_rest(self):
        core = samples.make_core()
        [sent] = samples.list_dispatches(self.begin(core, 1))
        core.handle(1.5, event.StopRequested())
        self.assertFalse(core.is_finished)
        [answered] = samples.list_answers(self.begin(core, 2))
        self.assertEqual(Verdict.NOT_RUN, answered.answer.verdict)
        self.assertEqual('stopping', answered.answer.code)
        self.end(core, sent.attempt, Outcome.ANSWERED, samples.make_answer())
        self.assertTrue(core.is_finished)

    def test_alerts_are_dispatched_first(self):
        core = samples.make_core(samples.make_upstream('u-1', slots=1))
        [sent] = samples.list_dispatches(self.begin(core, 1))
        self.begin(core, 2, priority=request.Priority.BULK)
        self.begin(core, 3, priority=request.Priority.ALERT)
        answer = samples.make_answer()
        effects = self.end(core, sent.attempt, Outcome.ANSWERED, answer)
        [following] = samples.list_dispatches(effects)
        self.assertEqual(3, following.request.number)

    def test_cancelled_while_queued_is_never_dispatched(self):
        core = samples.make_core(samples.make_upstream('u-1', slots=1))
        [sent] = samples.list_dispatches(self.begin(core, 1))
        self.begin(core, 2)
        core.handle(1.5, event.RequestCancelled(2))
        answer = samples.make_answer()
        effects = self.end(core, sent.attempt, Outcome.ANSWERED, answer)
        self.assertEqual([], samples.list_dispatches(effects))

    def test_queued_request_is_refused_when_no_upstream_is_left(self):
        core = samples.make_core(samples.make_upstream('u-1', slots=1))
        self.begin(core, 1)
        self.begin(core, 2)
        changed = samples.make_configuration(revision=2)
        effects = core.handle(1.5, event.ConfigurationChanged(changed))
        [answered] = samples.list_answers(effects)
        self.assertEqual(2, answered.request)
        self.assertEqual(Verdict.NOT_RUN, answered.answer.verdict)
        self.assertIsNotNone(answered.answer.retry_after_seconds)
