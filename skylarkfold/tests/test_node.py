"""Tests of the routing of events between cores."""

import testtools

from skylarkfold import effect
from skylarkfold import event
from skylarkfold import member
from skylarkfold import message
from skylarkfold import node
from skylarkfold import platform_api


class Greeting(message.PeerMessage, tag=1):
    text: str


class FakeCore:
    """A core that records events and returns preset effects by type."""

    def __init__(self, answers=None):
        self.answers = answers or {}
        self.seen = []
        self.is_finished = True

    def handle(self, now, received):
        self.seen.append(received)
        return self.answers.get(type(received), [])


class NodeTest(testtools.TestCase):
    def test_published_membership_reaches_every_core(self):
        publish = effect.PublishMembership(member.EMPTY)
        first = FakeCore({event.Tick: [publish]})
        second = FakeCore()
        composed = node.Node(
            [node.CoreBinding(first), node.CoreBinding(second)]
        )
        self.assertEqual([publish], composed.handle(0.0, event.Tick()))
        expected = event.MembershipChanged(member.EMPTY)
        self.assertEqual(expected, first.seen[-1])
        self.assertEqual(expected, second.seen[-1])

    def test_message_reaches_only_bound_core(self):
        receiver = FakeCore()
        other = FakeCore()
        composed = node.Node(
            [
                node.CoreBinding(receiver, messages=(Greeting,)),
                node.CoreBinding(other),
            ]
        )
        received = event.PeerMessageReceived('b', Greeting('hi'))
        composed.handle(0.0, received)
        self.assertEqual([received], receiver.seen)
        self.assertEqual([], other.seen)

    def test_bound_event_reaches_only_bound_core(self):
        receiver = FakeCore()
        other = FakeCore()
        composed = node.Node(
            [
                node.CoreBinding(receiver, events=(event.StreamClosed,)),
                node.CoreBinding(other),
            ]
        )
        composed.handle(0.0, event.StreamClosed(1))
        composed.handle(0.0, event.Tick())
        self.assertEqual(2, len(receiver.seen))
        self.assertEqual([event.Tick()], other.seen)

    def test_platform_answer_reaches_calling_core(self):
        low = FakeCore()
        high = FakeCore()
        composed = node.Node(
            [
                node.CoreBinding(low, first_call_number=0),
                node.CoreBinding(high, first_call_number=1 << 40),
            ]
        )
        answer = platform_api.PlatformAnswer(platform_api.PlatformStatus.OK)
        composed.handle(0.0, event.PlatformAnswered((1 << 40) + 5, answer))
        composed.handle(0.0, event.PlatformAnswered(5, answer))
        self.assertEqual(1, len(low.seen))
        self.assertEqual(1, len(high.seen))

    def test_stop_finishes_after_all_cores(self):
        busy = FakeCore()
        busy.is_finished = False
        composed = node.Node([node.CoreBinding(busy)])
        self.assertEqual([], composed.handle(0.0, event.StopRequested()))
        busy.is_finished = True
        self.assertEqual(
            [effect.StopFinished()], composed.handle(1.0, event.Tick())
        )
        self.assertEqual([], composed.handle(2.0, event.Tick()))
