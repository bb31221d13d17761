"""Slots of one service that this instance holds."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import admission
from skylarkfold import request
from skylarkfold.selection import _messages
from skylarkfold.selection import _settings

_REFRESH_SECONDS = 1.0
_OUTCOMES_PER_REPORT = 4
_MAXIMUM_OUTCOMES = 16


class LocalSlots:
    """Held slots and waiting requests of one service on this instance.

    A slot is kept only while a request uses it or a waiting request can
    use it next; otherwise it is returned to the coordinator at once.

    :param service_name: the service.
    :param settings: the selection settings.
    """

    def __init__(
        self, service_name: str, settings: _settings.SelectionSettings
    ) -> None:
        self._service_number = _messages.compute_service_number(service_name)
        self._settings = settings
        self._idle: dict[str, list[int]] = {}
        self._running: dict[str, list[int]] = {}
        self._held: dict[str, int] = {}
        self._upstream_numbers: dict[str, int] = {}
        self._waiting = dict.fromkeys(request.Priority, 0)
        self._excluded: set[str] = set()
        self._has_unmet_request = False
        self._outcomes: list[_messages.AttemptOutcome] = []
        self.reset_coordinator()

    def configure(self, numbers: dict[str, int]) -> None:
        """Set the numbers of the upstreams; those of others are kept.

        :param numbers: the numbers by upstream name.
        """
        self._upstream_numbers.update(numbers)

    def reset_coordinator(self) -> None:
        """Forget what was exchanged with the previous coordinator."""
        self._last_sequence = 0
        self._requested = dict.fromkeys(request.Priority, 0)
        self._reported_held: dict[str, int] = {}
        self._has_reported = False
        self._requested_at: float | None = None
        self._heard_at: float | None = None
        self._reported_at: float | None = None
        self._is_coordinator_lost = False
        self._bypassed_until = 0.0

    def add_grant(
        self, now: float, grant: _messages.SlotGrant, upstream_name: str
    ) -> None:
        """Add a slot that the coordinator granted.

        :param now: the current time.
        :param grant: the message.
        :param upstream_name: the upstream of the slot.
        """
        self.record_contact(now)
        self._last_sequence = grant.sequence
        self._idle.setdefault(upstream_name, []).append(grant.uses)
        self._adjust_held(upstream_name, 1)
        self._reported_held[upstream_name] = (
            self._reported_held.get(upstream_name, 0) + 1
        )
        priority = request.Priority(grant.priority)
        self._requested[priority] = max(0, self._requested[priority] - 1)

    def record_contact(self, now: float) -> None:
        """Record that the coordinator was heard from.

        :param now: the current time.
        """
        self._heard_at = now
        self._is_coordinator_lost = False

    def bypass_coordinator(self, now: float, seconds: float) -> None:
        """Do without the coordinator for a while, at its request.

        :param now: the current time.
        :param seconds: for how long.
        """
        self._bypassed_until = now + seconds

    def is_bypassing(self, now: float) -> bool:
        """Tell whether the coordinator asked to do without it.

        :param now: the current time.
        """
        return now < self._bypassed_until

    def record_coordinator_lost(self) -> None:
        """Record that the coordinator can't be reached."""
        self._is_coordinator_lost = True

    def is_coordinator_silent(self, now: float) -> bool:
        """Tell whether the coordinator is lost or does not reply in time.

        :param now: the current time.
        """
        if not self._is_coordinator_lost and self._requested_at is not None:
            since = max(
                self._requested_at, self._heard_at or self._requested_at
            )
            self._is_coordinator_lost = (
                now - since >= self._settings.silence_seconds
            )
        return self._is_coordinator_lost

    def find_idle(self, allowed: Iterable[str]) -> str | None:
        """Find an idle slot.

        :param allowed: names of upstreams in order of preference.
        :returns: the upstream's name, or None.
        """
        return next((each for each in allowed if self._idle.get(each)), None)

    def has_idle(self) -> bool:
        """Tell whether any held slot is idle."""
        return any(self._idle.values())

    @property
    def has_state(self) -> bool:
        """Tell whether anything is held, requested or not reported yet."""
        if (
            self._is_coordinator_lost
            or self._held
            or self._reported_held
            or self._outcomes
        ):
            return True
        return any(self._requested.values())

    def has_waiting(self) -> bool:
        """Tell whether any request waits."""
        return any(self._waiting.values())

    def record_waiting(self, waiting: admission.WaitingCounts) -> None:
        """Set the number of waiting requests.

        :param waiting: a count for each class.
        """
        for priority in request.Priority:
            self._waiting[priority] = waiting.get(priority)
        if not waiting.total:
            self._requested_at = None

    def record_unmet_request(self, exclude: frozenset[str]) -> None:
        """Record that a request found no slot.

        :param exclude: names of upstreams that it must not use.
        """
        self._has_unmet_request = True
        self._excluded |= exclude

    def record_dispatch(self, upstream_name: str) -> None:
        """Record that a request was dispatched, with or without a slot.

        :param upstream_name: the upstream that it was sent to.
        """
        idle = self._idle.get(upstream_name)
        uses = idle.pop() if idle else 0
        if not uses:
            self._adjust_held(upstream_name, 1)
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
        """Record the outcome of a request, and reuse or release its slot.

        :param upstream_name: the upstream that it was sent to.
        :param outcome: how it ended.
        :param elapsed_seconds: the time since its dispatch.
        """
        running = self._running.get(upstream_name)
        if not running:
            return
        uses = running.pop(0)
        is_reusable = outcome is request.Outcome.ANSWERED and uses > 1
        if is_reusable and self.has_waiting():
            self._idle.setdefault(upstream_name, []).append(uses - 1)
        else:
            self._adjust_held(upstream_name, -1)
        if outcome is request.Outcome.REFUSED and not uses:
            # It was sent without a slot, so the refusal does not mean that
            # the coordinator granted too many.
            return
        self._outcomes.append(
            _messages.AttemptOutcome(
                self._upstream_numbers[upstream_name],
                _messages.OutcomeCode[outcome.name],
                round(elapsed_seconds * 1000),
            )
        )
        del self._outcomes[:-_MAXIMUM_OUTCOMES]

    def release_idle(self) -> None:
        """Release all idle slots."""
        for name in list(self._idle):
            released = self._idle.pop(name)
            self._adjust_held(name, -len(released))
            if released and self.has_waiting():
                self._excluded.add(name)

    def build_demand(
        self, now: float, is_tick: bool
    ) -> _messages.SlotDemand | None:
        """Build the next message to the coordinator.

        :param now: the current time.
        :param is_tick: whether to report changes that are not urgent and
            refresh old reports as well.
        :returns: the message, or None if none is due.
        """
        # Keep asking a lost coordinator until it replies.
        self._has_unmet_request |= is_tick and self._is_coordinator_lost
        wanted = self._get_wanted()
        if not self._is_report_due(now, wanted, is_tick):
            return None
        demand = self._build_message(wanted)
        self._requested = wanted
        self._reported_held = dict(self._held)
        self._has_reported = True
        self._reported_at = now
        self._outcomes = []
        self._excluded = set()
        self._has_unmet_request = False
        if any(wanted.values()) and self._requested_at is None:
            self._requested_at = now
        return demand

    def _get_wanted(self) -> dict[request.Priority, int]:
        wanted = dict(self._waiting)
        if self._has_unmet_request and not any(wanted.values()):
            wanted[request.Priority.EXCHANGE] = 1
        return wanted

    def _adjust_held(self, upstream_name: str, change: int) -> None:
        count = self._held.get(upstream_name, 0) + change
        if count > 0:
            self._held[upstream_name] = count
        else:
            self._held.pop(upstream_name, None)

    def _is_report_due(
        self,
        now: float,
        wanted: dict[request.Priority, int],
        is_tick: bool,
    ) -> bool:
        held = self._held
        if not self._has_reported and (held or any(wanted.values())):
            return True
        if any(wanted[each] > self._requested[each] for each in wanted):
            return True
        if any(
            held.get(each, 0) < self._reported_held[each]
            for each in self._reported_held
        ):
            return True
        if len(self._outcomes) >= _OUTCOMES_PER_REPORT:
            return True
        if not is_tick:
            return False
        if wanted != self._requested or held != self._reported_held:
            return True
        is_active = bool(held) or any(wanted.values())
        return (
            is_active and now - (self._reported_at or 0.0) >= _REFRESH_SECONDS
        )

    def _build_message(
        self, wanted: dict[request.Priority, int]
    ) -> _messages.SlotDemand:
        slots = tuple(
            _messages.HeldSlots(self._upstream_numbers[name], count)
            for name, count in sorted(self._held.items())
        )
        excluded = sorted(map(self._upstream_numbers.get, self._excluded))
        return _messages.SlotDemand(
            service=self._service_number,
            seen=self._last_sequence,
            alerts=wanted[request.Priority.ALERT],
            exchanges=wanted[request.Priority.EXCHANGE],
            bulk=wanted[request.Priority.BULK],
            held=slots,
            outcomes=tuple(self._outcomes),
            excluded=tuple(excluded),
        )
