import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import errors
from skylarkfold import platform_api
from skylarkfold.requests import _holders

LIMIT = 60


def make_holder(number):
    return _holders.Holder(f'e-{number}', f'zone-{number % 4}', number)


def make_list(numbers, before=None, revision=1):
    current = tuple(make_holder(each) for each in sorted(numbers))
    value = _holders.HolderValue(current)
    return _holders.HolderList(revision, revision, value, before)


class HoldersTest(testtools.TestCase):
    """The list of holders and the holders of each range."""

    def test_holders_of_a_range_are_in_different_zones(self):
        holders = make_list(range(12))
        for number in range(LIMIT):
            zones = {each.zone for each in holders.get_current(number)}
            self.assertEqual(_holders.HOLDERS_PER_RANGE, len(zones))

    def test_one_zone_gives_three_holders(self):
        holders = make_list(range(0, 40, 4))
        self.assertEqual(3, len(set(holders.get_current(1))))

    def test_majorities_of_a_set_intersect(self):
        for size in range(1, 4):
            needed = _holders.count_majority(
                make_list(range(size)).value.current
            )
            self.assertGreater(2 * needed, size)

    def test_removed_holder_moves_only_its_ranges(self):
        before = make_list(range(12))
        after = make_list(range(1, 12))
        for number in range(LIMIT):
            chosen = before.get_current(number)
            if make_holder(0) not in chosen:
                self.assertEqual(chosen, after.get_current(number))

    @hypothesis.given(
        strategies.sets(strategies.integers(0, 9), min_size=1),
        strategies.sets(strategies.integers(0, 9), min_size=1),
    )
    def test_sets_used_again_are_those_made_afresh(self, first, second):
        before = make_list(first)
        for number in range(LIMIT):
            before.get_current(number)
        derived = make_list(second, before, 2)
        fresh = make_list(second)
        for number in range(LIMIT):
            self.assertEqual(
                fresh.get_current(number), derived.get_current(number)
            )

    def test_value_round_trip(self):
        value = make_list(range(3)).value
        written = _holders.encode_value(value)
        changed = platform_api.StoredObject(_holders.PATH, 4, 9, written)
        read = _holders.decode_list(changed)
        self.assertEqual(
            (value, 9, 4), (read.value, read.list_revision, read.version)
        )

    def test_malformed_value_is_an_error(self):
        changed = platform_api.StoredObject(_holders.PATH, 4, 9, b'[1]')
        self.assertRaises(errors.DecodeError, _holders.decode_list, changed)


class ChangeTest(testtools.TestCase):
    """Changes of the list and the previous holders of moved ranges."""

    def replace(self, before, numbers, revision):
        wanted = tuple(make_holder(each) for each in sorted(numbers))
        value = before.build_replacement(wanted)
        return _holders.HolderList(revision, revision, value, before)

    def test_moved_range_depends_on_both_sets(self):
        before = make_list(range(5))
        after = self.replace(before, range(1, 5), 2)
        for number in range(_holders.RANGES):
            sets = after.list_sets(number)
            self.assertEqual(after.get_current(number), sets[0])
            if number in after.list_pending():
                self.assertEqual(before.get_current(number), sets[1])
            else:
                self.assertEqual(1, len(sets))

    def test_second_change_keeps_the_previous_holders_of_a_range(self):
        first = make_list(range(5))
        second = self.replace(first, range(1, 5), 2)
        third = self.replace(second, range(2, 5), 3)
        for number in second.list_pending():
            if number in third.list_pending():
                self.assertEqual(
                    first.get_current(number), third.get_previous(number)
                )
            else:
                self.assertEqual(
                    first.get_current(number), third.get_current(number)
                )

    def test_reverted_change_leaves_no_pending_ranges(self):
        first = make_list(range(5))
        second = self.replace(first, range(1, 5), 2)
        third = self.replace(second, range(5), 3)
        self.assertEqual([], third.list_pending())

    def test_completed_ranges_drop_their_previous_holders(self):
        first = make_list(range(5))
        second = self.replace(first, range(1, 5), 2)
        stuck = second.list_pending()[0]
        rest = frozenset(second.list_pending()) - {stuck}
        value = second.build_completion(rest)
        third = _holders.HolderList(3, 3, value, second)
        self.assertEqual([stuck], third.list_pending())
        self.assertEqual(first.get_current(stuck), third.get_previous(stuck))
        value = third.build_completion(frozenset({stuck}))
        self.assertFalse(_holders.HolderList(4, 4, value).is_joint)
