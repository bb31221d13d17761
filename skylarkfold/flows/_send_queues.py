"""Send queues for messages to peers, limited by byte budgets."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from skylarkfold import effect
from skylarkfold.flows import _messages
from skylarkfold import message as message_module

# Estimated encoded sizes.
FLOW_BYTES = 9
MESSAGE_BYTES = 24
FLOWS_PER_MESSAGE = 256
_BURST_SECONDS = 2.0


class ByteRateLimiter:
    """A token bucket that limits the bytes sent per second.

    :param bytes_per_second: the rate.
    """

    def __init__(self, bytes_per_second: int) -> None:
        self._rate = bytes_per_second
        self._tokens = bytes_per_second * _BURST_SECONDS
        self._refilled_at: float | None = None

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last call.

        :param now: the current time.
        """
        elapsed = 0.0 if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        self._tokens += max(0.0, elapsed) * self._rate
        self._tokens = min(self._tokens, self._rate * _BURST_SECONDS)

    @property
    def has_tokens(self) -> bool:
        """Whether a message may be sent now."""
        return self._tokens > 0

    def spend(self, size: int) -> None:
        """Subtract the bytes of a message; the balance may become negative.

        :param size: the number of bytes.
        """
        self._tokens -= size


class PinQueue:
    """A queue of new pins, batched by peer and service.

    :param limiter: the rate limiter.
    :param note_seconds: the minimum time between two batches.
    """

    def __init__(self, limiter: ByteRateLimiter, note_seconds: float) -> None:
        self._limiter = limiter
        self._note_seconds = note_seconds
        self._drained_at: float | None = None
        self._waiting: dict[str, dict[str, dict[int, list[int]]]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, peer: str, service: str, upstream: int, flow: int) -> None:
        """Add a pin.

        :param peer: the name of the recipient.
        :param service: the service's name.
        :param upstream: the upstream's index in the service's table.
        :param flow: the flow's hash.
        """
        services = self._waiting.setdefault(peer, {})
        groups = services.setdefault(service, {})
        groups.setdefault(upstream, []).append(flow)
        self._count += 1

    def is_waiting(self, peer: str) -> bool:
        """Return whether the queue has pins for a peer."""
        return peer in self._waiting

    def drop(self, peer: str) -> None:
        """Discard the messages for a lost peer."""
        services = self._waiting.pop(peer, {})
        self._count -= _count_flows(services)

    def drain(self, now: float) -> Iterator[effect.SendToPeer]:
        """Take the messages that the byte budget allows.

        :param now: the current time.
        :returns: the effects that send them, one message per peer in turn;
            nothing before the next batch is due.
        """
        if not self._waiting or not self._is_batch_due(now):
            return
        self._drained_at = now
        self._limiter.refill(now)
        while self._waiting and self._limiter.has_tokens:
            peer = next(iter(self._waiting))
            services = self._waiting.pop(peer)
            service = next(iter(services))
            groups = services.pop(service)
            flows = sum(map(len, groups.values()))
            self._count -= flows
            self._limiter.spend(MESSAGE_BYTES + flows * FLOW_BYTES)
            if services:
                self._waiting[peer] = services
            yield effect.SendToPeer(peer, _build_pin_update(service, groups))

    def _is_batch_due(self, now: float) -> bool:
        if self._drained_at is None:
            return True
        return now - self._drained_at >= self._note_seconds


def _count_flows(services: dict[str, dict[int, list[int]]]) -> int:
    return sum(
        len(flows) for groups in services.values() for flows in groups.values()
    )


def _build_pin_update(
    service: str, groups: dict[int, list[int]]
) -> _messages.PinUpdate:
    built = [_messages.PinGroup(each, groups[each]) for each in groups]
    return _messages.PinUpdate(service, built)


class BulkQueue:
    """A queue of handover and refresh messages, in order for each peer.

    :param limiter: the rate limiter.
    """

    def __init__(self, limiter: ByteRateLimiter) -> None:
        self._limiter = limiter
        self._waiting: dict[
            str, collections.deque[message_module.PeerMessage]
        ] = {}

    def __len__(self) -> int:
        return sum(map(len, self._waiting.values()))

    def add_pins(
        self, peer: str, service: str, pins: list[tuple[int, int]]
    ) -> None:
        """Add pins of a service, split into messages of limited size.

        :param peer: the name of the recipient.
        :param service: the service's name.
        :param pins: pairs of flow hash and upstream index.
        """
        for start in range(0, len(pins), FLOWS_PER_MESSAGE):
            groups: dict[int, list[int]] = {}
            for flow, upstream in pins[start : start + FLOWS_PER_MESSAGE]:
                groups.setdefault(upstream, []).append(flow)
            self.add(peer, _build_pin_update(service, groups))

    def add(self, peer: str, message: message_module.PeerMessage) -> None:
        """Add a message behind the others for the same peer.

        :param peer: the name of the recipient.
        :param message: the message.
        """
        waiting = self._waiting.setdefault(peer, collections.deque())
        waiting.append(message)

    def drop(self, peer: str) -> None:
        """Discard the messages for a lost peer."""
        self._waiting.pop(peer, None)

    def drain(self, now: float, pins: PinQueue) -> Iterator[effect.SendToPeer]:
        """Take the messages that the byte budget allows.

        :param now: the current time.
        :param pins: the queue of new pins; a
            :class:`~skylarkfold.flows._messages.HandoverDone` waits until it
            has none for the same peer.
        :returns: the effects that send them, one message per peer in turn.
        """
        self._limiter.refill(now)
        ready = [each for each in self._waiting if self._is_ready(each, pins)]
        while ready and self._limiter.has_tokens:
            peer = ready.pop(0)
            message = self._pop_message(peer)
            self._limiter.spend(_estimate_bytes(message))
            if peer in self._waiting and self._is_ready(peer, pins):
                ready.append(peer)
            yield effect.SendToPeer(peer, message)

    def _is_ready(self, peer: str, pins: PinQueue) -> bool:
        message = self._waiting[peer][0]
        if not isinstance(message, _messages.HandoverDone):
            return True
        return not pins.is_waiting(peer)

    def _pop_message(self, peer: str) -> message_module.PeerMessage:
        waiting = self._waiting[peer]
        message = waiting.popleft()
        if not waiting:
            del self._waiting[peer]
        return message


def _estimate_bytes(message: message_module.PeerMessage) -> int:
    if isinstance(message, _messages.HandoverDone):
        return MESSAGE_BYTES + len(message.slots)
    if not isinstance(message, _messages.PinUpdate):
        return MESSAGE_BYTES
    flows = sum(len(group.flows) for group in message.groups)
    return MESSAGE_BYTES + flows * FLOW_BYTES
