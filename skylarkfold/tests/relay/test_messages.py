"""Tests of the messages between instances."""

import hypothesis
from hypothesis import strategies
import msgpack
import testtools

from skylarkfold import errors
from skylarkfold import relay
from skylarkfold.relay import _messages
from skylarkfold import revision as revisions
from skylarkfold import upstream_load

COUNTS = strategies.integers(0, 2**62)
NAMES = strategies.text(min_size=1, max_size=8)
VALUES = strategies.none() | strategies.dictionaries(
    NAMES, strategies.integers(0, 9) | NAMES, max_size=3
)
NUMBERS = strategies.integers(0, revisions.MAXIMUM_NUMBER)
REVISIONS = strategies.builds(
    revisions.Revision, NUMBERS, strategies.integers(0, revisions.MAXIMUM_ERA)
)
ITEMS = strategies.builds(relay.Item, NAMES, REVISIONS, REVISIONS, VALUES)
AGES = strategies.none() | strategies.integers(0, 10**6).map(
    lambda number: number / 1000
)
LOADS = strategies.builds(
    _messages.LoadReport,
    NAMES,
    strategies.booleans(),
    strategies.integers(0, 9).map(float),
    strategies.dictionaries(
        COUNTS,
        strategies.builds(
            upstream_load.UpstreamLoad,
            COUNTS,
            strategies.integers(0, 999).map(lambda number: number / 100),
        )
        | strategies.builds(
            upstream_load.UpstreamLoad,
            COUNTS,
            strategies.just(0.25),
            strategies.just(1.5),
            strategies.integers(-110, 110).map(
                lambda number: 1.5 * number / 80
            ),
        ),
        max_size=3,
    ),
)
AGES_BY_DIGEST = strategies.dictionaries(
    strategies.integers(0, 2**32 - 1),
    strategies.integers(0, 255).map(lambda number: number / 10),
    max_size=3,
)
BEACONS = strategies.builds(
    relay.Beacon,
    NAMES,
    NAMES,
    strategies.integers(0, 20),
    strategies.booleans(),
    strategies.booleans(),
    strategies.lists(
        strategies.builds(relay.Position, REVISIONS, REVISIONS, AGES),
        max_size=3,
    ).map(tuple),
    strategies.none()
    | strategies.builds(
        _messages.TopicDelta,
        strategies.integers(0, 5),
        REVISIONS,
        strategies.lists(ITEMS, max_size=3).map(tuple),
    ),
    strategies.lists(LOADS, max_size=3).map(tuple),
    ages=AGES_BY_DIGEST,
    silent=AGES_BY_DIGEST,
)
ANYTHING = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=4)
    | strategies.binary(max_size=4),
    lambda inner: (
        strategies.lists(inner, max_size=8)
        | strategies.dictionaries(
            strategies.text(max_size=3), inner, max_size=3
        )
    ),
    max_leaves=12,
)


class MessagesTest(testtools.TestCase):
    @hypothesis.given(BEACONS)
    def test_a_beacon_survives_encoding_and_decoding(self, beacon):
        data = relay.encode_beacon(beacon)
        again = relay.decode_beacon(data)
        self.assertEqual(data, relay.encode_beacon(again))
        self.assertEqual(beacon.name, again.name)
        self.assertEqual(beacon.is_leaving, again.is_leaving)
        self.assertEqual(len(beacon.positions), len(again.positions))
        self.assertEqual(beacon.ages, again.ages)
        self.assertEqual(beacon.silent, again.silent)

    def test_the_age_of_an_instance_never_shrinks(self):
        # Instances pass ages on in cycles: an age that shrank with every hop
        # would keep an instance that is down looking alive.
        ages = {1: 0.01, 2: 0.1, 3: 1.21, 4: 9.99}
        beacon = relay.Beacon('n', 'z', 0, False, False, (), ages=ages)
        again = relay.decode_beacon(relay.encode_beacon(beacon))
        for digest, age in ages.items():
            self.assertGreaterEqual(again.ages[digest], age)
            self.assertLess(again.ages[digest], age + 0.1)

    def test_the_age_of_a_position_never_shrinks(self):
        # Passed on in cycles, a shrinking age would stay low however long the
        # store is down, and retained objects would expire without its answer.
        for age in (0.0, 0.0004, 0.0016, 2.9999):
            position = relay.Position(revisions.ZERO, revisions.ZERO, age)
            beacon = relay.Beacon('n', 'z', 0, False, False, (position,))
            again = relay.decode_beacon(relay.encode_beacon(beacon))
            decoded_age = again.positions[0].age_seconds
            self.assertGreaterEqual(decoded_age, age)
            self.assertLess(decoded_age, age + 0.002)

    @hypothesis.given(
        REVISIONS,
        REVISIONS,
        strategies.booleans(),
        AGES,
        strategies.lists(ITEMS, max_size=3).map(tuple),
    )
    def test_a_page_survives_encoding_and_decoding(
        self, base, revision, whole, age, items
    ):
        page = relay.Page(base, revision, whole, age, items)
        again = relay.decode_page(relay.encode_page(page))
        self.assertEqual(relay.encode_page(page), relay.encode_page(again))

    @hypothesis.given(COUNTS, REVISIONS)
    def test_a_fetch_survives_encoding_and_decoding(self, topic, position):
        data = relay.encode_fetch(topic, position)
        self.assertEqual((topic, position), relay.decode_fetch(data))

    @hypothesis.given(
        strategies.binary(max_size=60)
        | ANYTHING.map(msgpack.packb)
        | strategies.lists(ANYTHING, max_size=8).map(
            lambda rest: msgpack.packb([1, *rest])
        )
    )
    def test_any_bytes_give_a_message_or_a_decode_error(self, data):
        for decode in (
            relay.decode_beacon,
            relay.decode_fetch,
            relay.decode_page,
        ):
            try:
                decode(data)
            except errors.DecodeError as error:
                self.assertEqual('message-malformed', error.code)
