"""Malformed and inconsistent messages from peers never stop a core."""

import enum
import typing

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from skylarkfold import codec
from skylarkfold import distribution
from skylarkfold import endpoint
from skylarkfold import errors
from skylarkfold import event
from skylarkfold import instance
from skylarkfold import member
from skylarkfold import membership

MESSAGES = membership.MESSAGES | distribution.MESSAGES
NAMES = ('a1', 'a2', 'a3', '', '127.0.0.1:9000')

counts = strategies.sampled_from((0, 1, 2, 9, (1 << 64) - 1)) | (
    strategies.integers(-1, 1 << 63)
)
names = strategies.sampled_from(NAMES)
SCALARS = {
    int: counts,
    str: names,
    bytes: strategies.binary(max_size=4),
    bool: strategies.booleans(),
    type(None): strategies.none(),
}


def build(hint):
    """Build values of a field's type, with numbers that fit the codec."""
    if hint in SCALARS:
        return SCALARS[hint]
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        return strategies.lists(build(item), max_size=3).map(tuple)
    if typing.get_args(hint):
        return strategies.one_of(*map(build, typing.get_args(hint)))
    if issubclass(hint, enum.Enum):
        return strategies.sampled_from(hint)
    fields = typing.get_type_hints(hint)
    fields.pop('__struct_config__', None)
    known = {name: build(fields[name]) for name in hint.__struct_fields__}
    return strategies.builds(hint, **known)


messages = build(MESSAGES)


def build_cores():
    settings = instance.InstanceSettings(
        'a1', 'hall-a', 'norte', endpoint.Endpoint('127.0.0.1', 9000)
    )
    return (
        membership.MembershipCore(
            settings, membership.MembershipSettings(), 1, seed=1
        ),
        distribution.DistributionCore(
            settings, distribution.DistributionSettings(), seed=1
        ),
    )


class MessagesTest(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.tuples(names, messages), max_size=8)
    )
    @hypothesis.settings(max_examples=150)
    def test_any_messages_are_taken(self, received):
        cores = build_cores()
        decoder = codec.StreamDecoder(MESSAGES)
        now = 0.0
        for sender, sent in received:
            try:
                decoded = list(decoder.feed(codec.encode(sent)))
            except errors.DecodeError:
                decoder = codec.StreamDecoder(MESSAGES)
                continue
            for message in decoded:
                now += 0.3
                taken = event.PeerMessageReceived(sender, message)
                self.feed(cores, now, taken)
                self.feed(cores, now, event.Tick())

    def test_highest_incarnation_is_refuted_or_malformed(self):
        update = membership.MemberUpdate(
            name='a1',
            zone='hall-a',
            region='norte',
            address='127.0.0.1:9000',
            incarnation=(1 << 64) - 1,
            state=member.MemberState.DEAD,
            is_suspect=False,
            revision=0,
        )
        decoder = codec.StreamDecoder(MESSAGES)
        for incarnation in (1 << 62, (1 << 64) - 1):
            received_update = msgspec.structs.replace(
                update, incarnation=incarnation
            )
            data = codec.encode(membership.Hello(received_update, True))
            try:
                (message,) = decoder.feed(data)
            except errors.DecodeError:
                continue
            gossip = membership.Gossip((message.fact,))
            received = event.PeerMessageReceived('a2', gossip)
            cores = build_cores()
            self.feed(cores, 0.0, received)
            connected = event.PeerConnected('a2')
            self.feed(cores, 0.3, connected)

    def feed(self, cores, now, received):
        for core in cores:
            for produced in core.handle(now, received):
                message = getattr(produced, 'message', None)
                if message is not None:
                    codec.encode(message)

    @hypothesis.given(strategies.binary(max_size=64))
    def test_any_bytes_give_messages_or_a_coded_error(self, data):
        decoder = codec.StreamDecoder(MESSAGES)
        try:
            list(decoder.feed(data))
        except errors.DecodeError as error:
            self.assertEqual('message-malformed', error.code)
