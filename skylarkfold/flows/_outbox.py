"""Outgoing messages that wait for their byte budget."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

from skylarkfold import effect
from skylarkfold.flows import _handover
from skylarkfold.flows import _members
from skylarkfold.flows import _messages
from skylarkfold.flows import _send_queues
from skylarkfold.flows import _settings
from skylarkfold.flows import _state


class Outbox:
    """Queues for new pins and for bulk messages, with a byte budget each.

    :param settings: the flow settings.
    :param members: this instance's view of the members.
    :ivar pins: new pins for the replicas.
    :ivar bulk: handovers and refreshes.
    """

    def __init__(
        self, settings: _settings.FlowSettings, members: _members.MemberView
    ) -> None:
        self.pins = _send_queues.PinQueue(
            _send_queues.ByteRateLimiter(settings.control_bytes_per_second),
            settings.note_seconds,
        )
        self.bulk = _send_queues.BulkQueue(
            _send_queues.ByteRateLimiter(settings.hand_on_bytes_per_second)
        )
        self._settings = settings
        self._members = members
        self._notified: set[tuple[str, int, bool]] = set()
        self._stop_requested_at: float | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stop_requested_at is not None

    def begin_stop(self, now: float) -> None:
        """Record that a planned stop has begun.

        :param now: the current time.
        """
        self._stop_requested_at = now

    def has_stopped(self, now: float) -> bool:
        """Return whether a planned stop has finished.

        It takes at least ``stop_linger_seconds`` and ends once the queues are
        empty, or after ``stop_seconds``.

        :param now: the current time.
        :returns: whether it has; False if no stop was requested.
        """
        if self._stop_requested_at is None:
            return False
        elapsed = now - self._stop_requested_at
        if elapsed < self._settings.stop_linger_seconds:
            return False
        is_empty = not self.pins and not self.bulk
        return is_empty or elapsed >= self._settings.stop_seconds

    def drop(self, peer: str) -> None:
        """Discard the messages for a lost peer.

        :param peer: the peer's name.
        """
        self.pins.drop(peer)
        self.bulk.drop(peer)
        self._notified = {each for each in self._notified if each[0] != peer}

    def queue_handovers(
        self,
        now: float,
        change: _members.RankingChange,
        states: Iterable[_state.ServiceState],
    ) -> None:
        """Queue the handovers that a ranking change calls for.

        :param now: the current time.
        :param change: the former and the current ranking.
        :param states: the states of all services.
        """
        notified = self._notified if self.is_stopping else None
        _handover.queue_handovers(
            now, self._members, change, states, self.bulk, notified
        )
        _handover.queue_cached_flows(change, states, self.bulk)

    def drain(self, now: float) -> Iterator[effect.SendToPeer]:
        """Take the messages that the byte budgets allow.

        :param now: the current time.
        :returns: the effects that send them.
        """
        yield from self.pins.drain(now)
        for sent in self.bulk.drain(now, self.pins):
            if isinstance(sent.message, _messages.HandoverDone):
                slots = _messages.unpack_slots(sent.message.slots)
                self._members.record_handover_sent(now, sent.peer, slots)
            yield sent
