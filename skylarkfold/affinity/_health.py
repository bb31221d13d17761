"""Finds upstreams that are out of reach from the callers' packets.

Answers go straight to the callers, so nothing is heard of an upstream
directly. A caller shows that it was answered by what it acknowledges, and
that it was not by a first packet without a second, or a request without
an acknowledgement. Such a silence is a doubt.
"""

from __future__ import annotations

import collections

from skylarkfold.affinity import _admission
from skylarkfold.affinity import _answer_timeouts
from skylarkfold.affinity import _effect
from skylarkfold.affinity import _failure_detector
from skylarkfold.affinity import _flow
from skylarkfold.affinity import _flow_reset
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _tally
from skylarkfold.affinity import _upstream_state
from skylarkfold import light_imports

if light_imports.TYPE_CHECKING:
    from skylarkfold.affinity import _share_enforcer

_NEVER = float('-inf')


class HealthMonitor:
    """Reads from callers' packets which upstreams answer, and how soon.

    :param settings: the limits.
    :param suspects: told of upstreams that don't answer.
    :param admission: told how long answers take.
    :param tally: where durations are counted.
    :ivar sharing: told of what callers ask for; None where they have no
        shares.
    """

    __slots__ = (
        '_admission',
        '_answer_timeouts',
        '_failure_detector',
        '_histograms',
        '_settings',
        '_waits',
        'sharing',
    )

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        failure_detector: _failure_detector.FailureDetector,
        admission: _admission.Admission,
        tally: _tally.Tally,
    ) -> None:
        self._settings = settings
        self._failure_detector = failure_detector
        self._admission = admission
        self._histograms = tally.histograms
        self._answer_timeouts = _answer_timeouts.AnswerTimeouts(settings)
        self.sharing: _share_enforcer.ShareEnforcer | None = None
        self._waits: collections.deque[tuple[float, _flow.Flow]] = (
            collections.deque()
        )

    def record_heard(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> None:
        """Note that a packet proved an upstream to answer.

        :param now: the time.
        :param standing: the upstream.
        """
        state.heard_at = now
        state.deprioritized_until = _NEVER

    def record_open(
        self, now: float, flow: _flow.Flow, packet: _packet.Packet
    ) -> None:
        """Note that a flow's caller has answered its upstream.

        :param now: the time.
        :param flow: the flow.
        :param packet: the first packet that shows it.
        """
        seconds = now - flow.started_at
        self._histograms[_tally.OPEN_SECONDS].observe(seconds)
        flow.is_open = True
        flow.first_packet = b''
        # Its upstream's numbers begin anywhere.
        flow.acknowledged = packet.acknowledged
        self.record_heard(now, flow.state)
        # Of several that had the first packet, either may have answered.
        if len(flow.tried) == 1:
            local_loss = self._failure_detector.local_loss
            local_loss.record_opened(now, flow.state, flow.placed_at)
        if self.sharing is not None:
            service = flow.state.upstream.service
            self.sharing.record_open(service, seconds)

    def handle_packet(
        self, now: float, flow: _flow.Flow, packet: _packet.Packet
    ) -> None:
        """Learn from a packet that is forwarded.

        :param now: the time.
        :param flow: its flow.
        :param packet: the packet.
        """
        if _flow.is_after(packet.acknowledged, flow.acknowledged):
            flow.acknowledged = packet.acknowledged
            self._record_answer(now, flow)
            _flow.finish_request(flow, now)
        if not packet.length:
            return
        end = _flow.add_length(packet.sequence, packet.length)
        if flow.next_sequence is not None and not _flow.is_after(
            end, flow.next_sequence
        ):
            return
        is_followup = (
            flow.next_sequence is not None and flow.waiting_since is None
        )
        flow.next_sequence = end
        _flow.start_request(flow, now)
        if self.sharing is not None and is_followup:
            self.sharing.record_request(now, flow)
        if flow.waiting_since is None:
            flow.waiting_since = now
            service = flow.state.upstream.service
            self._waits.append(
                (now + self._answer_timeouts.get(service), flow)
            )

    def suspect_unopened(self, now: float, flow: _flow.Flow) -> list[object]:
        """Take a first packet that was not answered in time.

        :param now: the time.
        :param flow: its flow.
        :returns: effects.
        """
        state = flow.state
        if state.is_superseded or state.last_heard >= flow.placed_at:
            return []
        reason = _effect.Reason.NOT_OPENED
        doubt = _build_doubt_record(now, flow, flow.placed_at, reason)
        self._failure_detector.local_loss.record_unopened(
            state, flow.placed_at
        )
        return [
            doubt,
            *self._failure_detector.suspect(now, state, flow.placed_at),
        ]

    def handle_lapse(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> list[object]:
        """Take that an upstream's entry has disappeared.

        :param now: the time.
        :param standing: the upstream.
        :returns: effects.
        """
        # One that left as planned ends its flows itself; one without flows
        # here may be looked at when there are some.
        is_planned = state.upstream.is_draining
        if state.is_replaced or is_planned or not state.flows:
            return []
        return self._failure_detector.suspect(now, state, now)

    def find_due(self) -> float | None:
        """Find when the next request has waited for too long."""
        while self._waits:
            due, flow = self._waits[0]
            if flow.waiting_since is not None and not flow.is_closed:
                return due
            self._waits.popleft()
        return None

    def tick(self, now: float) -> list[object]:
        """Look at requests that wait and probe what is due.

        :param now: the time.
        :returns: effects.
        """
        effects: list[object] = []
        while self._waits and self._waits[0][0] <= now:
            _, flow = self._waits.popleft()
            effects += self._check_wait(now, flow)
        effects += self._admission.refresh(now)
        return effects + self._failure_detector.tick(now)

    def _record_answer(self, now: float, flow: _flow.Flow) -> None:
        self.record_heard(now, flow.state)
        if flow.waiting_since is not None:
            service = flow.state.upstream.service
            waited = now - flow.waiting_since
            self._answer_timeouts.record(service, waited)
            address = _packet.get_address(flow.key)
            self._admission.record(
                now, flow.state, address, flow.requests_ahead, waited
            )
            self._histograms[_tally.ANSWER_SECONDS].observe(waited)
            flow.waiting_since = None

    def _check_wait(self, now: float, flow: _flow.Flow) -> list[object]:
        if flow.waiting_since is None or flow.is_closed:
            return []
        if flow.state.is_superseded or self._has_moved(now, flow):
            flow.waiting_since = None
            _flow.finish_request(flow, now)
            return []
        state = flow.state
        silent_since = max(flow.waiting_since, state.last_heard)
        answer_timeout = self._answer_timeouts.get(state.upstream.service)
        if now - silent_since < answer_timeout:
            self._waits.append((silent_since + answer_timeout, flow))
            return []
        self._waits.append((now + answer_timeout, flow))
        effects = self._failure_detector.suspect(now, state, silent_since)
        if flow.reported_wait != flow.waiting_since:
            flow.reported_wait = flow.waiting_since
            reason = _effect.Reason.NOT_ANSWERED
            since = flow.waiting_since
            effects.insert(0, _build_doubt_record(now, flow, since, reason))
        return effects

    def _has_moved(self, now: float, flow: _flow.Flow) -> bool:
        """Tell whether its caller goes through another instance now.

        One that is not answered repeats its packet; one that gave up, or
        whose answer was acknowledged elsewhere, does not.
        """
        waited = now - flow.waiting_since
        settings = self._settings
        if waited > settings.longest_wait_seconds:
            return True
        # A request of several packets takes some milliseconds to come.
        repeated_after = flow.last_packet_at - flow.waiting_since
        is_repeated = repeated_after > settings.repeat_seconds / 2
        return waited > settings.repeat_seconds and not is_repeated


def _build_doubt_record(
    now: float, flow: _flow.Flow, since: float, reason: str
) -> _effect.RecordDecision:
    state = flow.state
    details = {
        'waited_ms': _flow_reset.to_ms(now - since),
        'heard_ms_ago': _flow_reset.to_ms(now - state.last_heard),
        'health': state.health,
    }
    name = state.upstream.name
    return _effect.RecordDecision('doubt', reason, flow.key, name, details)
