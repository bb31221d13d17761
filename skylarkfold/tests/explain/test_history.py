"""Tests of a flow's story."""

import testtools

from skylarkfold import explain
from skylarkfold.tests.explain import samples

FLOW = '192.0.2.7:40001>198.51.100.1:443'


def build_logs():
    """Two instances, the second with a clock 2 s ahead."""
    return [
        samples.write(100.0, 'one', 'known', topic='t', revision=5),
        samples.write(102.01, 'two', 'known', topic='t', revision=5),
        samples.write(100.1, 'one', 'known', topic='t', revision=6),
        samples.write(102.11, 'two', 'known', topic='t', revision=6),
        samples.write(100.2, 'one', 'routes', reason='in-force', version=7),
        samples.write(
            101.0, 'one', 'open', reason='placed', flow=FLOW, upstream='u'
        ),
        samples.write(
            101.1, 'one', 'open', reason='placed', flow='x>y', upstream='v'
        ),
        samples.write(101.2, 'one', 'upstream', reason='lapsed', upstream='u'),
        samples.write(101.2, 'one', 'upstream', reason='lapsed', upstream='v'),
        samples.write(103.9, 'two', 'reset', reason='replaced', flow=FLOW),
        samples.write(
            103.95, 'two', 'dependency', reason='lost', name='store'
        ),
        'no line of ours',
        '{"time": 5}',
    ]


class ExplainTest(testtools.TestCase):
    def tell(self, flow=FLOW, logs=None):
        lines = list(explain.read_lines(logs or build_logs()))
        return explain.build_history(flow, lines)

    def test_lines_of_the_flow_and_of_its_upstream_are_told(self):
        story = self.tell()
        told = [
            (each.line.message, each.line.get('upstream'))
            for each in story.events
        ]
        self.assertEqual(
            [
                ('routes', ''),
                ('open', 'u'),
                ('upstream', 'u'),
                ('reset', ''),
                ('dependency', ''),
            ],
            told,
        )
        self.assertEqual(['u'], story.upstreams)

    def test_a_refusal_for_a_share_shows_its_figures(self):
        logs = [
            samples.write(
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
            text = explain.format_history(self.tell(flow, logs))
            self.assertIn('last decision: reset over-share', text)
            self.assertIn('demand_slots=9.5 share_slots=3.0', text)
            self.assertIn('word_age_ms=240', text)

    def test_clocks_are_set_by_changes_that_both_have_seen(self):
        story = self.tell()
        self.assertAlmostEqual(2.01, story.clocks['two'].offset)
        (reset,) = [
            each for each in story.events if each.line.message == 'reset'
        ]
        self.assertAlmostEqual(0.89, reset.at, places=2)

    def test_the_callers_part_is_enough(self):
        story = self.tell('192.0.2.7:40001')
        self.assertEqual(2, len(story.own_lines))
        self.assertEqual(0, len(self.tell('192.0.2.7:4000').events))

    def test_the_text_says_what_is_not_known(self):
        logs = [*build_logs(), samples.write(5.0, 'three', 'open', flow=FLOW)]
        text = explain.format_history(self.tell(logs=logs))
        self.assertIn('three: not comparable', text)
        self.assertIn('two: +2.010 s, from 2 changes', text)
        self.assertIn('last decision:', text)

    def test_left_out_lines_are_said(self):
        logs = [
            *build_logs(),
            samples.write(101.3, 'one', 'lines left out', count=3),
        ]
        text = explain.format_history(self.tell(logs=logs))
        self.assertIn('the story has gaps', text)

    def test_what_a_collector_puts_before_a_line_is_passed_over(self):
        logs = [f'  12.5 one {line}' for line in build_logs()]
        self.assertEqual(2, len(self.tell(logs=logs).own_lines))
