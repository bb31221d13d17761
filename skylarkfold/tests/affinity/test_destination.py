"""Tests of the choice of a service for routes with several.

They guard against refusing callers while another service of the route has
capacity, and against ignoring the weights while all have.
"""

import collections

import testtools

from skylarkfold import affinity
from skylarkfold.tests.affinity import samples

AIM_SECONDS = 0.12
WORK_SECONDS = 0.022
FIRST = samples.SERVICE
SECOND = samples.OTHER_SERVICE
FLOWS = 200


class DestinationTest(testtools.TestCase):
    def build(self, shares, services=(FIRST, SECOND)):
        upstreams = [
            samples.build_upstream(number + 1, service)
            for number, service in enumerate(services)
        ]
        route = affinity.Route(
            samples.ADDRESS, shares, aim_seconds=AIM_SECONDS
        )
        core = samples.build_core(
            *upstreams, routes=affinity.RouteTable(1, [route])
        )
        for state in core.directory:
            for _ in range(40):
                core._admission.record(
                    0.0, state, samples.ADDRESS, 0, WORK_SECONDS
                )
        return core

    def overload(self, core, service):
        for state in core.directory.list_states(service):
            state.remote_busy = 40.0

    def place(self, core, copy=0):
        """Count the services of new flows, and refusals under None."""
        counts = collections.Counter()
        for port in range(FLOWS):
            counts[self.place_one(core, port, copy)] += 1
        return counts

    def place_one(self, core, port, copy=0):
        effects = core.handle_packet(0.0, samples.build_first(port, copy))
        for state in core.directory:
            # Requests in flight do not count for the next flow.
            state.change_busy(0.0, -state.busy)
        names = samples.list_forwards(effects)
        if not names:
            return None
        return core.directory.get(names[0]).upstream.service

    def test_weights_hold_while_each_has_room(self):
        counts = self.place(self.build(((FIRST, 3), (SECOND, 1))))
        self.assertEqual(FLOWS, counts[FIRST] + counts[SECOND])
        self.assertTrue(0.68 < counts[FIRST] / FLOWS < 0.82, counts)

    def test_what_would_be_refused_goes_to_the_next(self):
        core = self.build(((FIRST, 3), (SECOND, 1)))
        self.overload(core, FIRST)
        self.assertEqual({SECOND: FLOWS}, self.place(core))

    def test_where_one_has_no_upstream_the_next_has_it(self):
        core = self.build(((FIRST, 1), (SECOND, 1)), (SECOND,))
        self.assertEqual({SECOND: FLOWS}, self.place(core))

    def test_where_all_are_crowded_all_are_refused(self):
        core = self.build(((FIRST, 1), (SECOND, 1)))
        self.overload(core, FIRST)
        self.overload(core, SECOND)
        self.assertEqual({None: FLOWS}, self.place(core))

    def test_one_without_a_weight_gets_nothing(self):
        core = self.build(((FIRST, 1), (SECOND, 0)))
        self.overload(core, FIRST)
        self.assertEqual({None: FLOWS}, self.place(core))

    def test_a_copy_goes_where_another_instance_sent_the_first(self):
        one, other = (self.build(((FIRST, 1), (SECOND, 1))) for _ in range(2))
        self.overload(one, FIRST)
        self.overload(other, FIRST)
        for port in range(FLOWS):
            first = self.place_one(one, port)
            self.assertEqual(first, self.place_one(other, port, copy=1))

    def test_a_copy_is_not_refused(self):
        core = self.build(((FIRST, 1), (SECOND, 1)))
        self.overload(core, FIRST)
        self.overload(core, SECOND)
        self.assertNotIn(None, self.place(core, copy=1))

    def test_a_retry_stays_with_the_service(self):
        core = self.build(
            ((FIRST, 1), (SECOND, 1)), (FIRST, FIRST, SECOND, SECOND)
        )
        self.overload(core, FIRST)
        first = core.handle_packet(0.0, samples.build_first(1))
        again = core.tick(0.05)
        names = samples.list_forwards([*first, *again])
        self.assertEqual(2, len(set(names)))
        services = {core.directory.get(n).upstream.service for n in names}
        self.assertEqual({SECOND}, services)
