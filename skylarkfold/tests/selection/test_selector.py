"""Tests of the selection policies."""

import testtools

from skylarkfold import instance
from skylarkfold import request
from skylarkfold import selection
from skylarkfold import service


def build_service(count=7, slots=2, draining=()):
    upstreams = []
    for number in range(count):
        name = f'desk-{number}'
        state = service.UpstreamState.ACTIVE
        if number in draining:
            state = service.UpstreamState.DRAINING
        address = (f'10.0.1.{number}', 9000)
        upstreams.append(
            service.Upstream(name, address, 'hall-a', slots=slots, state=state)
        )
    return service.Service(
        'desk', 'tooling', ('10.0.0.1', 7000), tuple(upstreams)
    )


def build_selector(policy, name='one', **settings):
    return selection.Selector(
        instance.InstanceSettings(name, 'hall-a', 'sierra', ('10.0.9.1', 1)),
        selection.SelectionSettings(policy=policy, **settings),
        seed=1,
    )


class PolicyTest(testtools.TestCase):
    def test_random_policy_uses_all_active_upstreams(self):
        selector = build_selector(selection.Policy.RANDOM)
        selector.configure(build_service(draining=(3,)), ('one',))
        chosen = {
            selector.choose(0.0, 'desk', frozenset()).upstream.name
            for _ in range(200)
        }
        expected = {f'desk-{number}' for number in (0, 1, 2, 4, 5, 6)}
        self.assertEqual(expected, chosen)

    def test_local_choice_keeps_to_the_share_of_the_instance(self):
        selector = build_selector(selection.Policy.RANDOM, share_factor=1.0)
        selector.configure(build_service(), ('one', 'two'))
        dispatched = 0
        while True:
            choice = selector.choose(0.0, 'desk', frozenset())
            if choice.upstream is None:
                break
            selector.record_dispatch(0.0, 'desk', choice.upstream.name)
            dispatched += 1
        self.assertEqual(7, dispatched)
        self.assertEqual(selection.ChoiceReason.NO_ROOM, choice.reason)

    def test_excluded_and_ejected_upstreams_are_not_chosen(self):
        selector = build_selector(selection.Policy.TWO_CHOICES)
        selector.configure(build_service(count=3), ('one',))
        for _ in range(3):
            selector.record_dispatch(0.0, 'desk', 'desk-0')
            selector.record_outcome(
                0.1, 'desk', 'desk-0', request.Outcome.BROKEN, 0.1
            )
        exclude = frozenset(('desk-1',))
        for _ in range(50):
            choice = selector.choose(0.2, 'desk', exclude)
            self.assertEqual('desk-2', choice.upstream.name)
