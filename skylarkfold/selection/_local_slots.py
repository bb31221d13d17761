"""The slots of one service that an instance holds."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import admission
from skylarkfold import request
from skylarkfold.selection import _messages
from skylarkfold.selection import _settings

_CONFIRM_SECONDS = 1.0
_PROMPT_OUTCOMES = 4
_MAXIMUM_OUTCOMES = 16


class SlotHolder:
    """What an instance holds, uses and wants of one service's slots.

    A slot is kept only while a request uses it, or while one waits that
    may use it next; everything else goes back to the home at once.

    :param service_name: the service.
    :param settings: limits and times.
    """

    def __init__(
        self, service_name: str, settings: _settings.SelectionSettings
    ) -> None:
        self._number = _messages.number_service(service_name)
        self._settings = settings
        self._idle: dict[str, list[int]] = {}
        self._running: dict[str, list[int]] = {}
        self._held: dict[str, int] = {}
        self._numbers: dict[str, int] = {}
        self._waiting = dict.fromkeys(request.Priority, 0)
        self._excluded: set[str] = set()
        self._is_unmet = False
        self._outcomes: list[_messages.SeenOutcome] = []
        self.begin()

    def configure(self, numbers: dict[str, int]) -> None:
        """Take the numbers of the upstreams; old ones stay known.

        :param numbers: by name.
        """
        self._numbers.update(numbers)

    def begin(self) -> None:
        """Begin with a home that knows nothing of this instance."""
        self._seen = 0
        self._expected = dict.fromkeys(request.Priority, 0)
        self._known: dict[str, int] = {}
        self._is_known = False
        self._asked_at: float | None = None
        self._heard_at: float | None = None
        self._sent_at: float | None = None
        self._is_lost = False
        self._alone_until = 0.0

    def take_grant(
        self, now: float, grant: _messages.SlotGrant, upstream_name: str
    ) -> None:
        """Take a slot that the home granted.

        :param now: the present time.
        :param grant: the message.
        :param upstream_name: the upstream that it names.
        """
        self.hear(now)
        self._seen = grant.sequence
        self._idle.setdefault(upstream_name, []).append(grant.uses)
        self._shift_held(upstream_name, 1)
        self._known[upstream_name] = self._known.get(upstream_name, 0) + 1
        priority = request.Priority(grant.priority)
        self._expected[priority] = max(0, self._expected[priority] - 1)

    def hear(self, now: float) -> None:
        """Note that the home is there.

        :param now: the present time.
        """
        self._heard_at = now
        self._is_lost = False

    def go_alone(self, now: float, seconds: float) -> None:
        """Choose without the home for a while, as it asked for.

        :param now: the present time.
        :param seconds: how long.
        """
        self._alone_until = now + seconds

    def is_alone(self, now: float) -> bool:
        """Tell whether the home asked to choose without it.

        :param now: the present time.
        """
        return now < self._alone_until

    def lose_home(self) -> None:
        """Note that the home can't be reached for now."""
        self._is_lost = True

    def is_home_silent(self, now: float) -> bool:
        """Tell whether to choose without the home.

        :param now: the present time.
        :returns: whether it was asked and has not been heard for too long.
        """
        if not self._is_lost and self._asked_at is not None:
            since = max(self._asked_at, self._heard_at or self._asked_at)
            self._is_lost = now - since >= self._settings.silence_seconds
        return self._is_lost

    def find_idle(self, allowed: Iterable[str]) -> str | None:
        """Find a slot that no request uses.

        :param allowed: names of upstreams, the best first.
        :returns: the upstream's name, or None.
        """
        return next((each for each in allowed if self._idle.get(each)), None)

    def has_idle(self) -> bool:
        """Tell whether any slot is held that no request uses."""
        return any(self._idle.values())

    @property
    def is_used(self) -> bool:
        """Tell whether anything is held, wanted or not told yet."""
        if self._is_lost or self._held or self._known or self._outcomes:
            return True
        return any(self._expected.values())

    def has_waiting(self) -> bool:
        """Tell whether a request waits."""
        return any(self._waiting.values())

    def record_waiting(self, waiting: admission.WaitingCounts) -> None:
        """Note how many requests wait.

        :param waiting: a count for each class.
        """
        for priority in request.Priority:
            self._waiting[priority] = waiting.get(priority)
        if not waiting.total:
            self._asked_at = None

    def record_unmet(self, exclude: frozenset[str]) -> None:
        """Note that a request found no slot.

        :param exclude: upstreams that it must not use.
        """
        self._is_unmet = True
        self._excluded |= exclude

    def record_dispatch(self, upstream_name: str) -> None:
        """Note that a request was sent, with or without a slot.

        :param upstream_name: where.
        """
        idle = self._idle.get(upstream_name)
        uses = idle.pop() if idle else 0
        if not uses:
            self._shift_held(upstream_name, 1)
        self._running.setdefault(upstream_name, []).append(uses)
        for priority in request.Priority:
            if self._waiting[priority]:
                self._waiting[priority] -= 1
                break

    def record_outcome(
        self,
        upstream_name: str,
        outcome: request.Outcome,
        elapsed_seconds: float,
    ) -> None:
        """Note how a request ended, and keep its slot if it may be reused.

        :param upstream_name: where it was sent.
        :param outcome: how it ended.
        :param elapsed_seconds: since its dispatch.
        """
        running = self._running.get(upstream_name)
        if not running:
            return
        uses = running.pop(0)
        may_reuse = outcome is request.Outcome.ANSWERED and uses > 1
        if may_reuse and self.has_waiting():
            self._idle.setdefault(upstream_name, []).append(uses - 1)
        else:
            self._shift_held(upstream_name, -1)
        if outcome is request.Outcome.REFUSED and not uses:
            # Sent without a slot: it says nothing about the home's count.
            return
        self._outcomes.append(
            _messages.SeenOutcome(
                self._numbers[upstream_name],
                _messages.OutcomeCode[outcome.name],
                round(elapsed_seconds * 1000),
            )
        )
        del self._outcomes[:-_MAXIMUM_OUTCOMES]

    def release_idle(self) -> None:
        """Give up slots that no request uses."""
        for name in list(self._idle):
            released = self._idle.pop(name)
            self._shift_held(name, -len(released))
            if released and self.has_waiting():
                self._excluded.add(name)

    def build_demand(
        self, now: float, is_tick: bool
    ) -> _messages.SlotDemand | None:
        """Build what the home has to be told now.

        :param now: the present time.
        :param is_tick: whether small corrections are due as well.
        :returns: the message, or None if the home knows enough.
        """
        # A home that was lost is asked again and again until it answers.
        self._is_unmet |= is_tick and self._is_lost
        wanted = self._count_wanted()
        if not self._must_tell(now, wanted, is_tick):
            return None
        demand = self._compose(wanted)
        self._expected = wanted
        self._known = dict(self._held)
        self._is_known = True
        self._sent_at = now
        self._outcomes = []
        self._excluded = set()
        self._is_unmet = False
        if any(wanted.values()) and self._asked_at is None:
            self._asked_at = now
        return demand

    def _count_wanted(self) -> dict[request.Priority, int]:
        wanted = dict(self._waiting)
        if self._is_unmet and not any(wanted.values()):
            wanted[request.Priority.EXCHANGE] = 1
        return wanted

    def _shift_held(self, upstream_name: str, change: int) -> None:
        count = self._held.get(upstream_name, 0) + change
        if count > 0:
            self._held[upstream_name] = count
        else:
            self._held.pop(upstream_name, None)

    def _must_tell(
        self,
        now: float,
        wanted: dict[request.Priority, int],
        is_tick: bool,
    ) -> bool:
        held = self._held
        if not self._is_known and (held or any(wanted.values())):
            return True
        if any(wanted[each] > self._expected[each] for each in wanted):
            return True
        if any(held.get(each, 0) < self._known[each] for each in self._known):
            return True
        if len(self._outcomes) >= _PROMPT_OUTCOMES:
            return True
        if not is_tick:
            return False
        if wanted != self._expected or held != self._known:
            return True
        is_used = bool(held) or any(wanted.values())
        return is_used and now - (self._sent_at or 0.0) >= _CONFIRM_SECONDS

    def _compose(
        self, wanted: dict[request.Priority, int]
    ) -> _messages.SlotDemand:
        slots = tuple(
            _messages.HeldSlots(self._numbers[name], count)
            for name, count in sorted(self._held.items())
        )
        excluded = sorted(map(self._numbers.get, self._excluded))
        return _messages.SlotDemand(
            service=self._number,
            seen=self._seen,
            alerts=wanted[request.Priority.ALERT],
            exchanges=wanted[request.Priority.EXCHANGE],
            bulk=wanted[request.Priority.BULK],
            held=slots,
            outcomes=tuple(self._outcomes),
            excluded=tuple(excluded),
        )
