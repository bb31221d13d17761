"""Tests of a fleet's timeline."""

import io
import pathlib
import tempfile
from unittest import mock

import testtools

from skylarkfold import _commands
from skylarkfold import errors
from skylarkfold import explain
from skylarkfold.tests.explain import samples


def build_crash(instances, at=100.0, offset=0.0):
    """Lines of instances that all find the same upstream gone."""
    return [
        samples.write(
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

    def test_what_all_find_out_is_one_entry(self):
        (entry,) = self.list_entries(build_crash(40))
        self.assertEqual(('health', 'out-of-reach', 'refused'), entry.kind)
        self.assertEqual(40, entry.count)
        self.assertEqual(40, len(entry.instances))
        self.assertEqual(['u-1'], list(entry.subjects))
        self.assertAlmostEqual(0.78, entry.until - entry.at)

    def test_the_same_again_later_is_another(self):
        entries = self.list_entries(build_crash(3) + build_crash(3, at=105.0))
        self.assertEqual([3, 3], [each.count for each in entries])

    def test_kinds_are_told_apart_by_their_cause(self):
        lost = dict(reason='lost', name='store/config')
        entries = self.list_entries(
            [
                samples.write(1.0, 'a', 'dependency', cause='busy', **lost),
                samples.write(1.1, 'b', 'dependency', cause='timeout', **lost),
                samples.write(1.2, 'c', 'dependency', cause='busy', **lost),
            ]
        )
        self.assertEqual([2, 1], [each.count for each in entries])

    def test_ordinary_work_is_left_out(self):
        texts = [
            samples.write(1.0, 'a', 'open', reason='placed', upstream='u-1'),
            samples.write(1.1, 'a', 'known', topic='t', revision=3),
            samples.write(1.2, 'a', 'counters', opened=3),
            samples.write(
                1.3, 'a', 'doubt', reason='not-answered', upstream='u-1'
            ),
            'no line of ours',
        ]
        self.assertEqual([], self.list_entries(texts))
        text = explain.format_entries([])
        self.assertIn('ordinary', text)

    def test_a_return_of_the_store_is_an_entry_for_each_era(self):
        def say(time, instance, reason, **fields):
            return samples.write(
                time, instance, 'relay', reason=reason, **fields
            )

        texts = [
            say(1.0, 'a', 'era', topic='config', era=2, since='1:38'),
            say(1.0, 'a', 'retained', topic='config', names=['main']),
            say(1.1, 'b', 'era', topic='servers', era=2, since='1:38'),
            say(1.2, 'b', 'advanced', topic='servers', since='2:1'),
            say(1.6, 'b', 'era', topic='servers', era=3, since='2:1'),
            say(9.0, 'a', 'given-up', topic='config', names=['main']),
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

    def test_clocks_that_differ_are_set(self):
        # The second instance's clock is an hour ahead.
        texts = [
            samples.write(100.0, 'n-0', 'known', topic='t', revision=1),
            samples.write(3700.0, 'n-1', 'known', topic='t', revision=1),
            samples.write(101.0, 'n-0', 'started', zone='z'),
            samples.write(3701.2, 'n-1', 'started', zone='z'),
        ]
        (entry,) = self.list_entries(texts)
        self.assertEqual(2, entry.count)

    def test_clocks_are_not_set_by_a_number_that_was_given_out_twice(self):
        # What one took before the store came back, the other took after.
        def know(time, instance, revision):
            return samples.write(
                time, instance, 'known', topic='t', revision=revision
            )

        texts = [
            know(100.0, 'n-0', '1:30'),
            know(110.0, 'n-0', '2:30'),
            know(110.1, 'n-1', '2:30'),
            samples.write(120.0, 'n-0', 'started', zone='z'),
            samples.write(120.2, 'n-1', 'started', zone='z'),
        ]
        (entry,) = self.list_entries(texts)
        self.assertEqual(2, entry.count)

    def test_the_command_prints_one_line_an_entry(self):
        with tempfile.TemporaryDirectory() as scratch:
            path = pathlib.Path(scratch) / 'log'
            path.write_text('\n'.join(build_crash(40)))
            with mock.patch('sys.stdout', new_callable=io.StringIO) as out:
                status = _commands.Commands().timeline(str(path))
        self.assertEqual(0, status)
        self.assertEqual(
            '     0.00 to 0.78 s  health out-of-reach refused: u-1; 40 lines'
            ' of n-0, n-1, n-2 and 37 more\n',
            out.getvalue(),
        )

    def test_a_log_must_be_named(self):
        self.assertRaises(errors.UsageError, _commands.Commands().timeline)
