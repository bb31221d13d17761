"""All that waits to be told to other instances."""

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
    """New pins and hand-ons, each with a byte budget of its own.

    :param settings: the flow settings.
    :param members: the other instances.
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
        """Hand on everything from now on.

        :param now: the time.
        """
        self._stop_requested_at = now

    def has_stopped(self, now: float) -> bool:
        """Tell whether a planned stop has nothing left to hand on.

        :param now: the time.
        """
        if self._stop_requested_at is None:
            return False
        passed = now - self._stop_requested_at
        if passed < self._settings.stop_linger_seconds:
            return False
        is_empty = not self.pins and not self.bulk
        return is_empty or passed >= self._settings.stop_seconds

    def drop_peer(self, peer: str) -> None:
        """Forget what waits for a peer that is gone.

        :param peer: its name.
        """
        self.pins.drop_peer(peer)
        self.bulk.drop_peer(peer)
        self._notified = {each for each in self._notified if each[0] != peer}

    def queue_handovers(
        self,
        now: float,
        change: _members.RankingChange,
        states: Iterable[_state.ServiceState],
    ) -> None:
        """Queue what a change of the ranking asks for.

        :param now: the time.
        :param change: the former and the current ranking.
        :param states: all services.
        """
        notified = self._notified if self.is_stopping else None
        _handover.queue_handovers(
            now, self._members, change, states, self.bulk, notified
        )
        _handover.queue_cached_flows(change, states, self.bulk)

    def drain(self, now: float) -> Iterator[effect.SendToPeer]:
        """Send what the budgets allow.

        :param now: the time.
        :returns: messages.
        """
        yield from self.pins.drain(now)
        for sent in self.bulk.drain(now, self.pins):
            if isinstance(sent.message, _messages.HandoverDone):
                slots = _messages.unpack_slots(sent.message.slots)
                self._members.record_handover_sent(now, sent.peer, slots)
            yield sent
