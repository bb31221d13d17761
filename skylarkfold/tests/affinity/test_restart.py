"""Tests of upstreams that restart under the same name."""

import testtools

from skylarkfold import affinity
from skylarkfold import revision as revisions
from skylarkfold.tests.affinity import samples
from skylarkfold import upstream_load

BORN = 1764720000123
# The store revisions of the entries of both starts.
FIRST = 5
SECOND = 9
# A flow that has been open for so long when the new entry arrives is of the
# earlier start; a recent one may be of the later.
LONG = 20.0


def build(number=1, born=BORN, revision=FIRST, **fields):
    return samples.build_upstream(
        number, created=3, revision=revision, born=born, **fields
    )


class RestartTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.first = build()
        self.second = build(born=BORN + 5000, revision=SECOND)
        self.core = samples.build_core(self.first)
        self.core.note_present(0.0)

    def open_flow(self, now, port, core=None):
        core = core or self.core
        core.handle_packet(now, samples.build_first(port))
        packet = samples.build_packet(port, self.first.token)
        effects = core.handle_packet(now + 0.01, packet)
        self.assertEqual([self.first.name], samples.list_forwards(effects))

    def send(self, now, port, length=100, core=None):
        core = core or self.core
        packet = samples.build_packet(
            port, self.first.token, int(now * 1000), 501, length
        )
        return core.handle_packet(now, packet)

    def get_state(self):
        return self.core.directory.get(self.first.name)

    def test_a_restart_discards_all_state(self):
        self.open_flow(0.0, 1)
        loads = {self.first.incarnation: upstream_load.UpstreamLoad(7, 3.0)}
        self.core.handle_load(0.1, 'peer', loads)
        before = self.get_state()
        before.health = 'out-of-reach'
        before.early_answer_share = 0.9
        before.deprioritized_until = 1000.0
        self.core.set_upstreams(1.0, [self.second])
        state = self.get_state()
        self.assertIsNot(before, state)
        self.assertEqual('good', state.health)
        self.assertEqual(0.0, state.early_answer_share)
        self.assertEqual(0, state.load)
        self.assertEqual(0.0, state.in_flight)
        self.assertLess(state.deprioritized_until, 1.0)
        self.assertLess(state.last_heard, 0.0)
        self.assertEqual(0, self.core.directory.count_flows())

    def test_a_restart_discards_an_earlier_lapse(self):
        self.core.set_upstreams(1.0, [])
        self.core.set_upstreams(2.0, [self.second])
        self.assertIsNone(self.get_state().lapsed_at)
        effects = self.core.handle_packet(2.1, samples.build_first(1))
        self.assertEqual([self.second.name], samples.list_forwards(effects))

    def test_a_changed_entry_of_the_same_start_keeps_the_state(self):
        before = self.get_state()
        again = build(revision=SECOND, is_draining=True)
        self.core.set_upstreams(1.0, [again])
        self.assertIs(before, self.get_state())

    def test_start_times_are_not_ordered(self):
        for born in (BORN - 86_400_000, BORN + 1, None):
            before = self.get_state()
            other = build(born=born, revision=SECOND)
            self.core.set_upstreams(1.0, [other])
            self.assertIsNot(before, self.get_state())
            self.assertIs(other, self.get_state().upstream)
            self.core.set_upstreams(2.0, [self.first])

    def test_another_address_or_service_is_another_start(self):
        for fields in (
            {'address': ('10.9.9.9', 80)},
            {'service': samples.OTHER_SERVICE},
        ):
            before = self.get_state()
            other = build(revision=SECOND, **fields)
            self.core.set_upstreams(1.0, [other])
            self.assertIsNot(before, self.get_state())
            self.core.set_upstreams(2.0, [self.first])

    def test_reports_on_the_earlier_start_are_ignored(self):
        self.core.set_upstreams(1.0, [self.second])
        old = self.first.incarnation
        loads = {old: upstream_load.UpstreamLoad(7, 3.0)}
        self.core.handle_load(1.1, 'peer', loads)
        self.core.handle_last_seen(1.1, {old: 0.0})
        effects = self.core.handle_unreachable(1.1, [old])
        self.assertEqual([], effects)
        self.assertEqual({}, self.core.list_last_seen(1.1, [old]))
        state = self.get_state()
        self.assertEqual(0, state.load)
        self.assertLess(state.last_heard, 0.0)
        self.assertEqual('good', state.health)

    def test_early_reports_on_the_new_start_count_once_it_is_known(self):
        loads = {self.second.incarnation: upstream_load.UpstreamLoad(7, 3.0)}
        self.core.handle_load(0.9, 'peer', loads)
        self.assertEqual(0, self.get_state().load)
        self.core.set_upstreams(1.0, [self.second])
        self.assertEqual(7, self.get_state().load)

    def test_a_probe_of_the_earlier_start_is_ignored(self):
        core = self.core
        self.open_flow(0.0, 1)
        self.send(1.0, 1)
        core.tick(1.2)
        (probed,) = samples.list_probes(core.tick(1.25))
        self.assertEqual(self.first.name, probed)
        core.set_upstreams(1.3, [self.second])
        core.handle_probe_result(
            1.35, probed, affinity.ProbeOutcome.REFUSED, self.first.incarnation
        )
        state = self.get_state()
        self.assertEqual('good', state.health)
        self.assertEqual(0, state.probe_failures)
        core.handle_probe_result(
            1.35, probed, affinity.ProbeOutcome.ALIVE, self.first.incarnation
        )
        self.assertLess(state.probe_answered_at, 0.0)

    def test_flows_of_the_earlier_start_are_reset_at_once(self):
        self.open_flow(0.0, 1)
        self.core.note_present(LONG)
        effects = self.core.set_upstreams(LONG, [self.second])
        self.assertEqual([samples.build_flow(1)], samples.list_resets(effects))

    def test_flows_of_the_earlier_start_that_run_once_are_reset_too(
        self,
    ):
        routes = samples.build_routes(is_idempotent=False)
        core = samples.build_core(self.first, routes=routes)
        self.open_flow(0.0, 1, core)
        self.send(LONG - 0.01, 1, core=core)
        core.note_present(LONG)
        effects = core.set_upstreams(LONG, [self.second])
        self.assertEqual([samples.build_flow(1)], samples.list_resets(effects))

    def test_a_flow_that_may_be_of_the_new_start_is_never_reset(self):
        # Its process ended 4.6 s before the store removed the entry, and the
        # first packet had waited for 1.3 s.
        self.open_flow(LONG - 5.9, 1)
        self.core.note_present(LONG)
        effects = self.core.set_upstreams(LONG, [self.second])
        self.assertEqual([], samples.list_resets(effects))
        effects = self.send(LONG + 0.1, 1)
        self.assertEqual([], samples.list_resets(effects))
        self.assertEqual([self.second.name], samples.list_forwards(effects))
        self.assertEqual(1, self.get_state().flows)

    def test_without_the_store_no_flow_is_known_to_be_of_the_earlier_start(
        self,
    ):
        # Last confirmed at 0 s; the restart may have been at any time since.
        self.open_flow(1.0, 1)
        effects = self.core.set_upstreams(LONG, [self.second])
        self.assertEqual([], samples.list_resets(effects))

    def test_a_lapse_bounds_the_lifetime_of_the_earlier_start(self):
        self.open_flow(0.0, 1)
        self.open_flow(LONG, 2)
        self.core.note_present(LONG + 0.9)
        self.core.set_upstreams(LONG + 1.0, [])
        self.core.note_present(LONG + 50.0)
        self.send(LONG + 50.0, 1)
        self.send(LONG + 50.0, 2)
        effects = self.core.set_upstreams(LONG + 50.0, [self.second])
        self.assertEqual([samples.build_flow(1)], samples.list_resets(effects))

    def test_a_lapse_that_is_learnt_late_resets_no_flow(self):
        # It restarted at 1 s, was cut off from the store and lapsed at 5 s;
        # this instance learnt of both much later.
        self.open_flow(2.0, 1)
        self.core.set_upstreams(LONG, [])
        self.core.note_present(LONG)
        effects = self.core.set_upstreams(LONG + 1.0, [self.second])
        self.assertEqual([], samples.list_resets(effects))

    def test_a_request_to_the_earlier_start_raises_no_suspicion_of_the_new_one(
        self,
    ):
        self.open_flow(0.0, 1)
        self.send(1.0, 1)
        self.core.set_upstreams(1.05, [self.second])
        for number in range(1, 30):
            self.assertEqual([], self.core.tick(1.05 + number / 20))
        self.assertEqual('good', self.get_state().health)

    def test_a_first_packet_to_the_earlier_start_raises_no_suspicion_either(
        self,
    ):
        self.core.handle_packet(1.0, samples.build_first(1))
        self.core.set_upstreams(1.01, [self.second])
        self.assertEqual([], samples.list_queried(self.core.tick(1.1)))
        self.assertEqual('good', self.get_state().health)

    def test_a_flow_that_continues_does_not_prove_the_new_start_alive(self):
        self.open_flow(0.0, 1)
        self.core.set_upstreams(1.0, [self.second])
        self.send(1.1, 1)
        self.assertLess(self.get_state().last_heard, 0.0)
        self.assertEqual(1, self.get_state().flows)

    def test_an_answer_of_either_start_does_not_prove_the_new_one_alive(self):
        self.core.handle_packet(1.0, samples.build_first(1))
        self.core.set_upstreams(1.01, [self.second])
        self.send(1.1, 1)
        self.assertLess(self.get_state().last_heard, 0.0)

    def test_flows_of_the_earlier_owner_of_its_new_address_are_reset(self):
        other = samples.build_upstream(
            2, created=7, revision=7, address=('10.0.0.77', 80)
        )
        core = samples.build_core(other)
        core.handle_packet(0.0, samples.build_first(1))
        core.handle_packet(0.01, samples.build_packet(1, other.token))
        # Its entry was created before that of the owner of the address.
        moved = build(revision=SECOND, address=other.address)
        effects = core.set_upstreams(5.0, [moved])
        self.assertEqual([samples.build_flow(1)], samples.list_resets(effects))

    def test_an_address_belongs_to_the_entry_of_the_later_era(self):
        # The store was restored from a copy made before the new entry was
        # written, so that the new revision has a lower number.
        address = ('10.0.0.77', 80)
        former = samples.build_upstream(
            2,
            created=revisions.Revision(30, 1),
            revision=revisions.Revision(38, 1),
            address=address,
        )
        core = samples.build_core(former)
        core.handle_packet(0.0, samples.build_first(1))
        core.handle_packet(0.01, samples.build_packet(1, former.token))
        later = revisions.Revision(26, 2)
        new = samples.build_upstream(
            3, created=later, revision=later, address=address
        )
        effects = core.set_upstreams(5.0, [new])
        self.assertEqual([samples.build_flow(1)], samples.list_resets(effects))

    def test_both_orders_end_alike(self):
        other = samples.build_core(self.second)
        self.core.set_upstreams(1.0, [self.second])
        for core in (self.core, other):
            effects = core.handle_packet(2.0, samples.build_first(1))
            self.assertEqual(
                [self.second.name], samples.list_forwards(effects)
            )
        self.assertEqual(
            self.core.list_loads(2.0).keys(), other.list_loads(2.0).keys()
        )


class ServicesTest(testtools.TestCase):
    """Entries of services that no configuration names."""

    def setUp(self):
        super().setUp()
        self.known = samples.build_upstream(1, created=9)
        # The older of two upstreams keeps a shared token.
        self.foreign = samples.build_upstream(
            (1 << 32) + 1, 'unheard-of', created=2
        )

    def build_routes(self, version, *services):
        route = affinity.Route(samples.ADDRESS, ((samples.SERVICE, 1),))
        return affinity.RouteTable(version, [route], services=services)

    def test_an_entry_of_an_unknown_service_claims_no_token(self):
        routes = self.build_routes(1, samples.SERVICE)
        core = samples.build_core(self.known, self.foreign, routes=routes)
        effects = core.handle_packet(1.0, samples.build_first(1))
        self.assertEqual([self.known.name], samples.list_forwards(effects))
        self.assertIsNone(core.directory.get(self.foreign.name))

    def test_an_entry_counts_as_soon_as_its_service_is_known(self):
        routes = self.build_routes(1, samples.SERVICE)
        other = samples.build_upstream(2, samples.OTHER_SERVICE)
        core = samples.build_core(self.known, other, routes=routes)
        self.assertIsNone(core.directory.get(other.name))
        core.set_routes(
            1.0, self.build_routes(2, samples.SERVICE, samples.OTHER_SERVICE)
        )
        self.assertIsNotNone(core.directory.get(other.name))

    def test_flows_of_a_removed_service_continue(self):
        core = samples.build_core(
            self.known, routes=self.build_routes(1, samples.SERVICE)
        )
        core.handle_packet(1.0, samples.build_first(1))
        core.handle_packet(1.01, samples.build_packet(1, self.known.token))
        core.set_routes(1.5, self.build_routes(2, 'another'))
        effects = core.handle_packet(
            2.0, samples.build_packet(1, self.known.token, 900, 501, 10)
        )
        self.assertEqual([self.known.name], samples.list_forwards(effects))
