"""The streams between instances, with the faults that are asked for."""

from __future__ import annotations

import dataclasses
import functools
import random

from collections.abc import Callable

from skylarkfold import codec
from skylarkfold.measure import _flow_schedule
from skylarkfold import message as message_module

Receive = Callable[[str, str, message_module.PeerMessage], None]


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """How messages between instances travel.

    :param least_delay_seconds: the shortest time on the way.
    :param most_delay_seconds: the longest.
    :param lost_share: the share that never arrives.
    :param doubled_share: the share that arrives twice.
    :param in_order: whether a link keeps the order, as a stream does.
    """

    least_delay_seconds: float = 0.001
    most_delay_seconds: float = 0.003
    lost_share: float = 0.0
    doubled_share: float = 0.0
    in_order: bool = True


class Links:
    """Carries messages through the real codec and counts their bytes.

    :param schedule: the clock.
    :param settings: delays and faults; they may be replaced at any time.
    :param messages: the union of types that the codec must know.
    :param data_messages: types that carry callers' datagrams, which are
        not control traffic.
    :param receive: called with sender, receiver and message.
    :param source: the random numbers.
    """

    def __init__(
        self,
        schedule: _flow_schedule.Schedule,
        settings: LinkSettings,
        messages: object,
        data_messages: tuple[type, ...],
        receive: Receive,
        source: random.Random,
    ) -> None:
        self.settings = settings
        self.control_bytes = 0
        self.control_messages = 0
        self.data_bytes = 0
        self.data_messages = 0
        self.cut: set[frozenset[str]] = set()
        self._schedule = schedule
        self._messages = messages
        self._data_types = data_messages
        self._receive = receive
        self._source = source
        self._decoders: dict[tuple[str, str], codec.StreamDecoder] = {}
        self._last_arrival: dict[tuple[str, str], float] = {}

    def send(
        self, sender: str, receiver: str, message: message_module.PeerMessage
    ) -> None:
        """Send one message.

        :param sender: the sending instance.
        :param receiver: the receiving instance.
        :param message: what it sends.
        """
        data = codec.encode(message)
        self._count(message, len(data))
        if frozenset((sender, receiver)) in self.cut:
            return
        if self._source.random() < self.settings.lost_share:
            return
        self._schedule_arrival(sender, receiver, data)
        if self._source.random() < self.settings.doubled_share:
            self._schedule_arrival(sender, receiver, data)

    def _count(self, message: message_module.PeerMessage, size: int) -> None:
        if isinstance(message, self._data_types):
            self.data_messages += 1
            self.data_bytes += size
            return
        self.control_messages += 1
        self.control_bytes += size

    def _schedule_arrival(
        self, sender: str, receiver: str, data: bytes
    ) -> None:
        least = self.settings.least_delay_seconds
        most = self.settings.most_delay_seconds
        arrival = self._schedule.now + self._source.uniform(least, most)
        if self.settings.in_order:
            link = (sender, receiver)
            arrival = max(arrival, self._last_arrival.get(link, 0.0))
            self._last_arrival[link] = arrival
        action = functools.partial(self._arrive, sender, receiver, data)
        self._schedule.add(arrival - self._schedule.now, action)

    def _arrive(self, sender: str, receiver: str, data: bytes) -> None:
        if frozenset((sender, receiver)) in self.cut:
            return
        decoder = self._find_decoder((sender, receiver))
        for message in decoder.feed(data):
            self._receive(sender, receiver, message)

    def _find_decoder(self, link: tuple[str, str]) -> codec.StreamDecoder:
        decoder = self._decoders.get(link)
        if decoder is None:
            decoder = codec.StreamDecoder(self._messages)
            self._decoders[link] = decoder
        return decoder
