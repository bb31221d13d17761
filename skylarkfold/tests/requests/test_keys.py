import testtools

from skylarkfold.requests import _holders
from skylarkfold.requests import _messages
from skylarkfold.tests.requests import fleet
from skylarkfold import verdict

Verdict = verdict.Verdict


class KeysTest(testtools.TestCase):
    """Keyed requests to several instances."""

    def setUp(self):
        super().setUp()
        self.patch(_holders, 'RANGES', 32)
        self.fleet = fleet.Fleet()
        self.fleet.provide_holders()
        self.fleet.settle(0.5)

    def assert_verdict(self, expected, sent, code=None):
        [answer] = sent.answers
        self.assertEqual(expected, answer.verdict, answer.code)
        if code is not None:
            self.assertEqual(code, answer.code)

    def test_list_of_holders_becomes_stable(self):
        self.fleet = fleet.Fleet()
        self.fleet.settle(4.0)
        holders = self.fleet.processes['e-0'].core.holder_manager.holders
        self.assertEqual(5, len(holders.value.current))
        self.assertFalse(holders.is_joint)

    def test_ready_once_the_holders_are_known(self):
        self.fleet = fleet.Fleet(1)
        core = self.fleet.processes['e-0'].core
        self.assertFalse(core.is_ready)
        self.fleet.settle(4.0)
        self.assertTrue(core.is_ready)
        self.assert_runs('e-0', 'k')

    def test_ready_without_holders_after_a_while(self):
        self.fleet = fleet.Fleet(1)
        self.fleet.is_platform_up = False
        core = self.fleet.processes['e-0'].core
        self.fleet.advance(9.0)
        self.assertFalse(core.is_ready)
        self.fleet.advance(6.0)
        self.assertTrue(core.is_ready)

    def assert_runs(self, name, key):
        sent = self.fleet.send_request(name, key)
        self.fleet.settle()
        self.assert_verdict(Verdict.RAN, sent)

    def test_keyed_request_runs(self):
        sent = self.fleet.send_request('e-1', 'k')
        self.fleet.settle()
        self.assert_verdict(Verdict.RAN, sent)

    def test_re_sent_key_gets_the_same_answer_from_every_instance(self):
        for name in self.fleet.processes:
            sent = self.fleet.send_request(name, 'k')
            self.fleet.settle()
            self.assert_verdict(Verdict.RAN, sent)
        self.assertEqual({('k', b'x'): 1}, self.fleet.checker.runs)

    def test_re_sent_while_it_runs_gets_its_answer(self):
        first = self.fleet.send_request('e-1', 'k')
        self.fleet.settle(0.5, runs=False)
        second = self.fleet.send_request('e-2', 'k')
        self.fleet.settle()
        self.assert_verdict(Verdict.RAN, first)
        self.assert_verdict(Verdict.RAN, second)

    def test_key_with_another_request_is_refused(self):
        self.fleet.send_request('e-1', 'k')
        self.fleet.settle()
        for name in ('e-1', 'e-2'):
            sent = self.fleet.send_request(name, 'k', b'other')
            self.fleet.settle()
            self.assert_verdict(Verdict.NOT_RUN, sent, 'key-reused')

    def test_owner_died_before_running(self):
        self.fleet.send_request('e-1', 'k')
        self.fleet.settle(0.5, runs=False)
        self.fleet.kill('e-1')
        sent = self.fleet.send_request('e-2', 'k')
        self.fleet.settle(1.0, runs=False)
        self.assert_verdict(Verdict.MAY_HAVE_RUN, sent, 'key-owner-lost')

    def test_refused_request_can_be_sent_again_elsewhere(self):
        first = self.fleet.send_request('e-1', 'k')
        self.fleet.settle(0.5, runs=False)
        for _ in range(3):
            for attempt in list(self.fleet.attempts):
                self.fleet.end(attempt, fleet.Outcome.REFUSED)
            self.fleet.settle(0.5, runs=False)
        self.assert_verdict(Verdict.NOT_RUN, first)
        second = self.fleet.send_request('e-2', 'k')
        self.fleet.settle()
        self.assert_verdict(Verdict.RAN, second)

    def test_concurrent_sends_run_once(self):
        sent_requests = [
            self.fleet.send_request(name, 'k') for name in self.fleet.processes
        ]
        self.fleet.settle(5.0)
        self.assertEqual({('k', b'x'): 1}, self.fleet.checker.runs)
        for sent in sent_requests:
            self.assert_verdict(Verdict.RAN, sent)

    def test_new_keys_run_with_any_one_instance_dead(self):
        self.fleet.kill('e-0')
        for number in range(20):
            sent = self.fleet.send_request('e-1', f'k-{number}')
            self.fleet.settle()
            self.assert_verdict(Verdict.RAN, sent)

    def test_known_keys_survive_successive_failures(self):
        sent_requests = [
            self.fleet.send_request('e-4', f'k-{n}') for n in range(20)
        ]
        self.fleet.settle()
        for name in ('e-0', 'e-1'):
            self.fleet.kill(name)
            self.fleet.settle(6.0)
        for n in range(20):
            sent_requests.append(self.fleet.send_request('e-2', f'k-{n}'))
        self.fleet.settle()
        for sent in sent_requests:
            self.assert_verdict(Verdict.RAN, sent)

    def test_isolated_zone_refuses_and_the_others_serve(self):
        self.fleet.isolate_zone('hall-a')
        inside = self.fleet.send_request('e-0', 'k')
        outside = self.fleet.send_request('e-1', 'k')
        self.fleet.settle(5.0)
        self.assert_verdict(Verdict.MAY_HAVE_RUN, inside, 'key-unverified')
        self.assert_verdict(Verdict.RAN, outside)

    def test_partitioned_zones_do_not_overwrite_the_list_in_turns(self):
        inside = {
            each.name
            for each in self.fleet.processes.values()
            if each.zone == 'hall-a'
        }
        self.fleet.isolate_zone('hall-a')
        for process in self.fleet.list_alive():
            for name in self.fleet.processes:
                if (process.name in inside) != (name in inside):
                    self.fleet.set_view(process, name, fleet.State.DEAD)
        self.fleet.settle(10.0)
        self.assertLess(self.fleet.revision, 5)
        sent_requests = [
            self.fleet.send_request('e-1', f'k-{n}') for n in range(20)
        ]
        self.fleet.settle()
        for sent in sent_requests:
            self.assert_verdict(Verdict.RAN, sent)

    def test_new_keys_run_during_a_platform_outage(self):
        self.fleet.is_platform_up = False
        self.fleet.kill('e-0')
        self.fleet.advance(3600.0)
        sent = self.fleet.send_request('e-1', 'k')
        self.fleet.settle()
        self.assert_verdict(Verdict.RAN, sent)

    def test_restarted_holder_does_not_vote_without_its_former_votes(self):
        self.fleet.is_platform_up = False
        sent_requests = [
            self.fleet.send_request('e-4', f'k-{n}') for n in range(20)
        ]
        self.fleet.settle()
        for name in ('e-0', 'e-1', 'e-2', 'e-3'):
            self.fleet.kill(name)
            self.fleet.start(name)
        self.fleet.kill('e-4')
        sent_requests = [
            self.fleet.send_request('e-0', f'k-{n}') for n in range(20)
        ]
        self.fleet.settle(4.0)
        for sent in sent_requests:
            self.assert_verdict(Verdict.MAY_HAVE_RUN, sent)

    def test_replaced_instances_serve_again_after_the_retention_time(self):
        self.fleet.send_request('e-4', 'k')
        self.fleet.settle()
        for name in list(self.fleet.processes):
            self.fleet.kill(name)
        for name in list(self.fleet.processes):
            self.fleet.start(name)
        self.fleet.settle(8.0)
        early = self.fleet.send_request('e-0', 'k')
        self.fleet.settle(4.0)
        self.assert_verdict(Verdict.MAY_HAVE_RUN, early)
        self.fleet.settle(40.0)
        late = self.fleet.send_request('e-0', 'new')
        self.fleet.settle()
        self.assert_verdict(Verdict.RAN, late)

    def test_two_concurrent_holder_losses_block_only_their_ranges(self):
        self.fleet.kill('e-0')
        self.fleet.kill('e-1')
        self.fleet.settle(8.0)
        sent_requests = [
            self.fleet.send_request('e-2', f'k-{n}') for n in range(60)
        ]
        self.fleet.settle(4.0)
        verdicts = [sent.answers[0].verdict for sent in sent_requests]
        self.assertIn(Verdict.MAY_HAVE_RUN, verdicts)
        self.assertGreater(verdicts.count(Verdict.RAN), 20)

    def test_holders_declared_gone_block_nothing_after_the_retention_time(
        self,
    ):
        self.fleet.kill('e-0')
        self.fleet.kill('e-1')
        self.fleet.settle(4.0)
        self.fleet.declare_gone('e-0', 'e-1')
        self.fleet.settle(2.0)
        self.fleet.advance(36.0)
        self.fleet.settle(4.0)
        sent_requests = [
            self.fleet.send_request('e-2', f'k-{n}') for n in range(60)
        ]
        self.fleet.settle(4.0)
        for sent in sent_requests:
            self.assert_verdict(Verdict.RAN, sent)

    def send_many(self, name):
        sent_requests = [
            self.fleet.send_request(name, f'{self.id()}-{n}')
            for n in range(60)
        ]
        self.fleet.settle(4.0)
        return [sent.answers[0].verdict for sent in sent_requests]

    def test_holders_that_said_goodbye_block_nothing_after_the_memory(self):
        self.fleet.is_platform_up = False
        self.fleet.stop('e-0')
        self.fleet.stop('e-1')
        self.fleet.settle(4.0)
        self.assertFalse(self.fleet.processes['e-0'].is_alive)
        self.fleet.is_platform_up = True
        self.fleet.settle(4.0)
        self.fleet.advance(36.0)
        self.fleet.settle(4.0)
        self.assertEqual({Verdict.RAN}, set(self.send_many('e-2')))

    def test_what_the_membership_says_is_no_proof_of_an_end(self):
        for name in ('e-0', 'e-1'):
            self.fleet.kill(name)
            self.fleet.set_member_state(name, fleet.State.LEFT)
        self.fleet.settle(4.0)
        self.fleet.advance(36.0)
        self.fleet.settle(4.0)
        self.assertIn(Verdict.MAY_HAVE_RUN, self.send_many('e-2'))

    def test_delayed_report_of_a_former_process_does_not_list_it(self):
        old = _messages.ReportMessage(boot_id=7, list_revision=0)
        core = self.fleet.processes['e-0'].core
        core.holder_manager.record_report(self.fleet.now, 'e-1', old)
        core.holder_manager.record_report(self.fleet.now, 'e-1', old)
        revision = self.fleet.revision
        self.fleet.settle(4.0)
        self.assertEqual(revision, self.fleet.revision)

    def test_planned_stop_hands_over_finished_keys(self):
        first = self.fleet.send_request('e-1', 'k')
        self.fleet.settle()
        running = self.fleet.send_request('e-1', 'j')
        self.fleet.settle(0.5, runs=False)
        self.fleet.stop('e-1')
        self.fleet.settle(8.0)
        self.assertFalse(self.fleet.processes['e-1'].is_alive)
        self.assert_verdict(Verdict.RAN, first)
        self.assert_verdict(Verdict.RAN, running)
        for key in ('k', 'j'):
            again = self.fleet.send_request('e-2', key)
            self.fleet.settle()
            self.assert_verdict(Verdict.RAN, again)

    def test_many_finished_keys_are_handed_over_in_batches(self):
        sent_requests = []
        for number in range(450):
            sent_requests.append(self.fleet.send_request('e-1', f'k-{number}'))
            self.fleet.deliver_pending()
            self.fleet.serve()
        self.fleet.settle(0.5)
        self.fleet.stop('e-1')
        while not (batch := self.list_envelopes(_messages.KeyHandoverMessage)):
            self.fleet.deliver_pending()
            self.fleet.advance(0.25)
        self.assertEqual(200, len(batch))
        self.fleet.settle(8.0)
        self.assertFalse(self.fleet.processes['e-1'].is_alive)
        for number in range(0, 450, 75):
            self.assert_verdict(Verdict.RAN, sent_requests[number])
            self.assert_runs('e-2', f'k-{number}')

    def test_stopping_instance_forwards_keyed_requests(self):
        running = self.fleet.send_request('e-1', 'j')
        self.fleet.settle(0.5, runs=False)
        self.fleet.stop('e-1')
        forwarded = self.fleet.send_request('e-1', 'k')
        self.fleet.settle(8.0)
        self.assert_verdict(Verdict.RAN, running)
        self.assert_verdict(Verdict.RAN, forwarded)

    def test_paused_claimant_does_not_run_an_expired_key(self):
        first = self.fleet.send_request('e-1', 'k')
        self.fleet.pause('e-1')
        self.fleet.deliver_pending()
        self.fleet.advance(100.0)
        second = self.fleet.send_request('e-2', 'k')
        self.fleet.settle(1.0)
        self.assert_verdict(Verdict.RAN, second)
        self.fleet.resume('e-1')
        self.fleet.settle()
        self.assert_verdict(Verdict.MAY_HAVE_RUN, first)

    def test_request_read_only_after_a_pause_does_not_run(self):
        self.fleet.pause('e-1')
        unread = self.fleet.send_request('e-1', 'k')
        again = self.fleet.send_request('e-2', 'k')
        self.fleet.settle()
        self.assert_verdict(Verdict.RAN, again)
        self.fleet.advance(45.0)
        self.fleet.resume('e-1')
        self.fleet.settle()
        code = 'instance-was-paused'
        self.assert_verdict(Verdict.MAY_HAVE_RUN, unread, code)
        self.assertEqual(1, self.fleet.checker.runs['k', b'x'])

    def test_outdated_not_run_answer_is_not_relayed(self):
        self.fleet.send_request('e-1', 'k')
        self.fleet.settle(0.5, runs=False)
        sent = self.fleet.send_request('e-2', 'k', timeout=8.0)
        self.fleet.deliver_pending()
        while not self.list_envelopes(_messages.ForwardEndedMessage):
            for attempt in list(self.fleet.attempts):
                self.fleet.end(attempt, fleet.Outcome.REFUSED)
            self.fleet.advance(0.2)
        outdated = self.pop_envelope(_messages.ForwardEndedMessage)
        third = self.fleet.send_request('e-3', 'k')
        self.fleet.settle()
        self.assert_verdict(Verdict.RAN, third)
        self.fleet.deliver(outdated, keep=True)
        self.fleet.settle()
        self.assert_verdict(Verdict.RAN, sent)

    def test_keys_expire(self):
        self.fleet.send_request('e-1', 'k')
        self.fleet.settle()
        self.fleet.advance(50.0)
        self.fleet.advance(1.0)
        for process in self.fleet.list_alive():
            self.assertEqual(0, len(process.core.keyed_requests))
            self.assertEqual(0, len(process.core.vote_table))

    def test_claim_of_a_caller_past_its_deadline_is_dropped(self):
        self.fleet.isolate_zone('hall-a')
        sent = self.fleet.send_request('e-0', 'k', timeout=0.2)
        self.fleet.settle(4.0)
        self.assert_verdict(Verdict.MAY_HAVE_RUN, sent, 'deadline-exceeded')
        self.fleet.broken_links.clear()
        self.fleet.settle()
        self.assertEqual({}, self.fleet.checker.runs)

    def test_forward_delayed_beyond_the_retention_time_runs_nothing(self):
        self.fleet.send_request('e-1', 'j')
        self.fleet.settle(0.5, runs=False)
        self.fleet.stop('e-1')
        self.fleet.send_request('e-1', 'k')
        self.deliver(_messages.TicketRequestMessage)
        self.deliver(_messages.TicketMessage)
        delayed = self.pop_envelope(_messages.ForwardMessage)
        sent = self.fleet.send_request('e-2', 'k')
        self.fleet.settle()
        self.assert_verdict(Verdict.RAN, sent)
        self.fleet.advance(45.0)
        self.fleet.deliver(delayed, keep=True)
        self.fleet.settle()
        self.assertEqual(1, self.fleet.checker.runs['k', b'x'])

    def test_duplicated_forward_runs_once(self):
        self.fleet.send_request('e-1', 'j')
        self.fleet.settle(0.5, runs=False)
        self.fleet.stop('e-1')
        sent = self.fleet.send_request('e-1', 'k')
        self.deliver(_messages.TicketRequestMessage)
        self.deliver(_messages.TicketMessage)
        duplicated = self.pop_envelope(_messages.ForwardMessage)
        for _ in range(3):
            self.fleet.deliver(duplicated, keep=True)
            self.fleet.settle()
        self.assert_verdict(Verdict.RAN, sent)
        self.assertEqual(1, self.fleet.checker.runs['k', b'x'])

    def test_vote_of_a_restarted_holder_is_not_counted(self):
        self.fleet.is_platform_up = False
        first = self.fleet.send_request('e-4', 'k')
        self.fleet.settle()
        self.assert_verdict(Verdict.RAN, first)
        for name in ('e-0', 'e-1', 'e-2', 'e-3'):
            self.fleet.kill(name)
            self.fleet.start(name)
            self.fleet.settle(2.0)
            again = self.fleet.send_request(name, 'k')
            self.fleet.settle(4.0)
            self.assertNotEqual(Verdict.NOT_RUN, again.answers[0].verdict)
        self.assertEqual(1, self.fleet.checker.runs['k', b'x'])

    def test_replay_of_a_dropped_answer_may_have_run(self):
        self.fleet = fleet.Fleet(maximum_answer_bytes=1)
        self.fleet.provide_holders()
        first = self.fleet.send_request('e-1', 'k')
        self.fleet.settle()
        again = self.fleet.send_request('e-2', 'k')
        self.fleet.settle()
        self.assert_verdict(Verdict.RAN, first)
        code = 'answer-forgotten'
        self.assert_verdict(Verdict.MAY_HAVE_RUN, again, code)

    def test_keys_beyond_the_limit_are_refused(self):
        self.fleet = fleet.Fleet(maximum_keys=2)
        self.fleet.provide_holders()
        sent_requests = [
            self.fleet.send_request('e-1', f'k-{n}') for n in range(3)
        ]
        self.fleet.settle()
        self.assert_verdict(Verdict.RAN, sent_requests[1])
        code = 'key-memory-full'
        self.assert_verdict(Verdict.MAY_HAVE_RUN, sent_requests[2], code)

    def deliver(self, kind):
        envelope = self.pop_envelope(kind)
        self.fleet.deliver(envelope, keep=True)

    def pop_envelope(self, kind):
        [envelope] = self.list_envelopes(kind)
        self.fleet.envelopes.remove(envelope)
        return envelope

    def list_envelopes(self, kind):
        return [
            each
            for each in self.fleet.envelopes
            if isinstance(each.message, kind)
        ]
