"""Tests of the history of a flow."""

import testtools

from skylarkfold import explain
from skylarkfold.tests.explain import samples

FLOW = '192.0.2.7:40001>198.51.100.1:443'


def build_logs():
    """Return lines of two instances; the second's clock is 2 s ahead."""
    return [
        samples.build_line(100.0, 'one', 'known', topic='t', revision=5),
        samples.build_line(102.01, 'two', 'known', topic='t', revision=5),
        samples.build_line(100.1, 'one', 'known', topic='t', revision=6),
        samples.build_line(102.11, 'two', 'known', topic='t', revision=6),
        samples.build_line(
            100.2, 'one', 'routes', reason='in-force', version=7
        ),
        samples.build_line(
            101.0, 'one', 'open', reason='placed', flow=FLOW, upstream='u'
        ),
        samples.build_line(
            101.1, 'one', 'open', reason='placed', flow='x>y', upstream='v'
        ),
        samples.build_line(
            101.2, 'one', 'upstream', reason='lapsed', upstream='u'
        ),
        samples.build_line(
            101.2, 'one', 'upstream', reason='lapsed', upstream='v'
        ),
        samples.build_line(
            103.9, 'two', 'reset', reason='replaced', flow=FLOW
        ),
        samples.build_line(
            103.95, 'two', 'dependency', reason='lost', name='store'
        ),
        'no line of ours',
        '{"time": 5}',
    ]


class FlowHistoryTest(testtools.TestCase):
    def build_history(self, flow=FLOW, logs=None):
        lines = list(explain.read_lines(logs or build_logs()))
        return explain.build_history(flow, lines)

    def test_history_has_lines_of_the_flow_and_of_its_upstream(self):
        history = self.build_history()
        events = [
            (event.line.message, event.line.get('upstream'))
            for event in history.events
        ]
        self.assertEqual(
            [
                ('routes', ''),
                ('open', 'u'),
                ('upstream', 'u'),
                ('reset', ''),
                ('dependency', ''),
            ],
            events,
        )
        self.assertEqual(['u'], history.upstreams)

    def test_refusal_over_the_share_shows_its_fields(self):
        logs = [
            samples.build_line(
                100.0,
                'one',
                'reset',
                reason='over-share',
                flow=FLOW,
                caller='192.0.2.7',
                demand_slots=9.5,
                share_slots=3.0,
                room_slots=11.4,
                word_age_ms=240,
            )
        ]
        for flow in (FLOW, '192.0.2.7:40001'):
            text = explain.format_history(self.build_history(flow, logs))
            self.assertIn('last decision: reset over-share', text)
            self.assertIn('demand_slots=9.5 share_slots=3.0', text)
            self.assertIn('word_age_ms=240', text)

    def test_clocks_are_aligned_by_changes_both_instances_logged(self):
        history = self.build_history()
        self.assertAlmostEqual(2.01, history.clocks['two'].offset)
        (reset,) = [
            event for event in history.events if event.line.message == 'reset'
        ]
        self.assertAlmostEqual(0.89, reset.at, places=2)

    def test_caller_address_alone_selects_the_flow(self):
        history = self.build_history('192.0.2.7:40001')
        self.assertEqual(2, len(history.own_lines))
        self.assertEqual(0, len(self.build_history('192.0.2.7:4000').events))

    def test_text_marks_clocks_that_cannot_be_compared(self):
        logs = [
            *build_logs(),
            samples.build_line(5.0, 'three', 'open', flow=FLOW),
        ]
        text = explain.format_history(self.build_history(logs=logs))
        self.assertIn('three: not comparable', text)
        self.assertIn('two: +2.010 s, from 2 changes', text)
        self.assertIn('last decision:', text)

    def test_text_reports_lines_left_out(self):
        logs = [
            *build_logs(),
            samples.build_line(101.3, 'one', 'lines left out', count=3),
        ]
        text = explain.format_history(self.build_history(logs=logs))
        self.assertIn('the story has gaps', text)

    def test_log_collector_prefix_is_ignored(self):
        logs = [f'  12.5 one {line}' for line in build_logs()]
        self.assertEqual(2, len(self.build_history(logs=logs).own_lines))
