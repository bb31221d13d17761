"""Tests of the timeline of a fleet."""

import io
import pathlib
import tempfile
from unittest import mock

import testtools

from skylarkfold import _commands
from skylarkfold import errors
from skylarkfold import explain
from skylarkfold.tests.explain import samples


def build_crash_lines(instances, at=100.0, offset=0.0):
    """Return lines of instances that all find one upstream unreachable."""
    return [
        samples.build_line(
            at + number / 50 + offset,
            f'n-{number}',
            'health',
            reason='out-of-reach',
            upstream='u-1',
            probe='refused',
        )
        for number in range(instances)
    ]


class TimelineTest(testtools.TestCase):
    def list_entries(self, texts):
        return explain.list_entries(list(explain.read_lines(texts)))

    def test_same_line_from_all_instances_is_one_entry(self):
        (entry,) = self.list_entries(build_crash_lines(40))
        self.assertEqual(('health', 'out-of-reach', 'refused'), entry.kind)
        self.assertEqual(40, entry.count)
        self.assertEqual(40, len(entry.instances))
        self.assertEqual(['u-1'], list(entry.subjects))
        self.assertAlmostEqual(0.78, entry.until - entry.at)

    def test_same_line_after_a_gap_starts_another_entry(self):
        entries = self.list_entries(
            build_crash_lines(3) + build_crash_lines(3, at=105.0)
        )
        self.assertEqual([3, 3], [each.count for each in entries])

    def test_lines_with_different_causes_are_separate_entries(self):
        lost = dict(reason='lost', name='store/config')
        entries = self.list_entries(
            [
                samples.build_line(
                    1.0, 'a', 'dependency', cause='busy', **lost
                ),
                samples.build_line(
                    1.1, 'b', 'dependency', cause='timeout', **lost
                ),
                samples.build_line(
                    1.2, 'c', 'dependency', cause='busy', **lost
                ),
            ]
        )
        self.assertEqual([2, 1], [each.count for each in entries])

    def test_routine_lines_are_left_out(self):
        texts = [
            samples.build_line(
                1.0, 'a', 'open', reason='placed', upstream='u-1'
            ),
            samples.build_line(1.1, 'a', 'known', topic='t', revision=3),
            samples.build_line(1.2, 'a', 'counters', opened=3),
            samples.build_line(
                1.3, 'a', 'doubt', reason='not-answered', upstream='u-1'
            ),
            'no line of ours',
        ]
        self.assertEqual([], self.list_entries(texts))
        text = explain.format_entries([])
        self.assertIn('ordinary', text)

    def test_restored_store_gives_one_entry_for_each_era(self):
        def build_relay_line(time, instance, reason, **fields):
            return samples.build_line(
                time, instance, 'relay', reason=reason, **fields
            )

        texts = [
            build_relay_line(
                1.0, 'a', 'era', topic='config', era=2, since='1:38'
            ),
            build_relay_line(
                1.0, 'a', 'retained', topic='config', names=['main']
            ),
            build_relay_line(
                1.1, 'b', 'era', topic='servers', era=2, since='1:38'
            ),
            build_relay_line(
                1.2, 'b', 'advanced', topic='servers', since='2:1'
            ),
            build_relay_line(
                1.6, 'b', 'era', topic='servers', era=3, since='2:1'
            ),
            build_relay_line(
                9.0, 'a', 'given-up', topic='config', names=['main']
            ),
        ]
        entries = self.list_entries(texts)
        kinds = [each.kind for each in entries]
        self.assertEqual(
            [
                ('relay', 'era', '2'),
                ('relay', 'retained'),
                ('relay', 'era', '3'),
                ('relay', 'given-up'),
            ],
            kinds,
        )
        self.assertEqual(['config', 'servers'], list(entries[0].subjects))

    def test_differing_clocks_are_aligned(self):
        # The second instance's clock is an hour ahead.
        texts = [
            samples.build_line(100.0, 'n-0', 'known', topic='t', revision=1),
            samples.build_line(3700.0, 'n-1', 'known', topic='t', revision=1),
            samples.build_line(101.0, 'n-0', 'started', zone='z'),
            samples.build_line(3701.2, 'n-1', 'started', zone='z'),
        ]
        (entry,) = self.list_entries(texts)
        self.assertEqual(2, entry.count)

    def test_clocks_are_not_aligned_by_a_revision_used_in_two_eras(self):
        # A restored store assigns revision 30 again, in a new era.
        def build_known_line(time, instance, revision):
            return samples.build_line(
                time, instance, 'known', topic='t', revision=revision
            )

        texts = [
            build_known_line(100.0, 'n-0', '1:30'),
            build_known_line(110.0, 'n-0', '2:30'),
            build_known_line(110.1, 'n-1', '2:30'),
            samples.build_line(120.0, 'n-0', 'started', zone='z'),
            samples.build_line(120.2, 'n-1', 'started', zone='z'),
        ]
        (entry,) = self.list_entries(texts)
        self.assertEqual(2, entry.count)

    def test_command_prints_one_line_per_entry(self):
        with tempfile.TemporaryDirectory() as scratch:
            path = pathlib.Path(scratch) / 'log'
            path.write_text('\n'.join(build_crash_lines(40)))
            with mock.patch('sys.stdout', new_callable=io.StringIO) as out:
                status = _commands.Commands().timeline(str(path))
        self.assertEqual(0, status)
        self.assertEqual(
            '     0.00 to 0.78 s  health out-of-reach refused: u-1; 40 lines'
            ' of n-0, n-1, n-2 and 37 more\n',
            out.getvalue(),
        )

    def test_command_requires_a_log_file(self):
        self.assertRaises(errors.UsageError, _commands.Commands().timeline)
