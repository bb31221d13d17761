"""Tests of the upstream numbers in slot messages."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold.selection import _messages

NAMES = strategies.sets(strategies.text(max_size=12), max_size=64)


class UpstreamNumberTest(testtools.TestCase):
    @hypothesis.given(NAMES)
    def test_few_upstreams_get_distinct_one_byte_numbers(self, names):
        numbers = _messages.assign_upstream_numbers(names)
        self.assertEqual(len(names), len(set(numbers.values())))
        self.assertEqual(
            numbers, _messages.assign_upstream_numbers(sorted(names))
        )
        self.assertTrue(all(0 <= each < 128 for each in numbers.values()))

    def test_adding_an_upstream_keeps_most_numbers(self):
        names = [f'press-desk-{number}' for number in range(40)]
        before = _messages.assign_upstream_numbers(names)
        after = _messages.assign_upstream_numbers([*names, 'press-desk-40'])
        changed = [name for name in names if before[name] != after[name]]
        self.assertLessEqual(len(changed), 3)

    def test_many_upstreams_all_get_numbers(self):
        names = [f'press-desk-{number}' for number in range(100)]
        self.assertEqual(100, len(_messages.assign_upstream_numbers(names)))
