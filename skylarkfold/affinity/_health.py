"""Detection of silent upstreams from callers' packets.

Answers go directly to the callers, so this instance never sees them. A
caller's acknowledgements show that it was answered; a first packet without a
second one, or a request without an acknowledgement, shows that it was not.
Such a silence makes the upstream suspect.
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
    """Tracks from callers' packets which upstreams answer, and how fast.

    :param settings: limits and timeouts.
    :param failure_detector: notified of upstreams that do not answer.
    :param admission: receives the answer times.
    :param tally: where durations are recorded.
    :ivar sharing: receives the callers' requests; None if shares are not
        enforced.
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
        """Record that a packet showed an upstream to answer.

        :param now: the time.
        :param state: the upstream.
        """
        state.heard_at = now
        state.deprioritized_until = _NEVER

    def record_open(
        self, now: float, flow: _flow.Flow, packet: _packet.Packet
    ) -> None:
        """Record that a flow's caller has answered its upstream.

        :param now: the time.
        :param flow: the flow.
        :param packet: the first packet that shows it.
        """
        seconds = now - flow.started_at
        self._histograms[_tally.OPEN_SECONDS].observe(seconds)
        flow.is_open = True
        flow.first_packet = b''
        # The upstream's initial sequence number is arbitrary.
        flow.acknowledged = packet.acknowledged
        self.record_heard(now, flow.state)
        # If several upstreams got the first packet, any may have answered.
        if len(flow.tried) == 1:
            local_loss = self._failure_detector.local_loss
            local_loss.record_opened(now, flow.state, flow.placed_at)
        if self.sharing is not None:
            service = flow.state.upstream.service
            self.sharing.record_open(service, seconds)

    def handle_packet(
        self, now: float, flow: _flow.Flow, packet: _packet.Packet
    ) -> None:
        """Update a flow from a packet that is forwarded.

        :param now: the time.
        :param flow: the packet's flow.
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
        """Handle a first packet that was not answered in time.

        :param now: the time.
        :param flow: the packet's flow.
        :returns: effects.
        """
        state = flow.state
        if state.is_superseded or state.last_heard >= flow.placed_at:
            return []
        reason = _effect.Reason.NOT_OPENED
        record = _build_suspicion_record(now, flow, flow.placed_at, reason)
        self._failure_detector.local_loss.record_unopened(
            state, flow.placed_at
        )
        return [
            record,
            *self._failure_detector.suspect(now, state, flow.placed_at),
        ]

    def handle_lapse(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> list[object]:
        """Handle the disappearance of an upstream's entry.

        :param now: the time.
        :param state: the upstream.
        :returns: effects.
        """
        # A draining upstream ends its flows itself; one without flows here is
        # checked when there are some.
        is_planned = state.upstream.is_draining
        if state.is_replaced or is_planned or not state.flows:
            return []
        return self._failure_detector.suspect(now, state, now)

    def find_due(self) -> float | None:
        """Return when the next request times out; None if none is pending."""
        while self._waits:
            due, flow = self._waits[0]
            if flow.waiting_since is not None and not flow.is_closed:
                return due
            self._waits.popleft()
        return None

    def tick(self, now: float) -> list[object]:
        """Handle request timeouts and send the probes that are due.

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
            effects.insert(
                0, _build_suspicion_record(now, flow, since, reason)
            )
        return effects

    def _has_moved(self, now: float, flow: _flow.Flow) -> bool:
        """Return whether the flow's caller goes through another instance now.

        A caller without an answer repeats its packet. If it does not, it gave
        up or acknowledged the answer through another instance.
        """
        waited = now - flow.waiting_since
        settings = self._settings
        if waited > settings.longest_wait_seconds:
            return True
        # The packets of one request arrive within some milliseconds.
        repeated_after = flow.last_packet_at - flow.waiting_since
        is_repeated = repeated_after > settings.repeat_seconds / 2
        return waited > settings.repeat_seconds and not is_repeated


def _build_suspicion_record(
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
