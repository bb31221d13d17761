"""Finds upstreams that are out of reach from the callers' packets.

Answers go straight to the callers, so nothing is heard of an upstream
directly. A caller shows that it was answered by what it acknowledges, and
that it was not by a first packet without a second, or a request without
an acknowledgement. Such a silence is a doubt.
"""

from __future__ import annotations

import collections

from skylarkfold.affinity import _admission
from skylarkfold.affinity import _effect
from skylarkfold.affinity import _ending
from skylarkfold.affinity import _flow
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _patience
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _standing
from skylarkfold.affinity import _suspects
from skylarkfold.affinity import _tally
from skylarkfold import light_imports

if light_imports.TYPE_CHECKING:
    from skylarkfold.affinity import _sharing

_NEVER = float('-inf')


class HealthWatch:
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
        '_histograms',
        '_patience',
        '_settings',
        '_suspects',
        '_waits',
        'sharing',
    )

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        suspects: _suspects.Suspects,
        admission: _admission.Admission,
        tally: _tally.Tally,
    ) -> None:
        self._settings = settings
        self._suspects = suspects
        self._admission = admission
        self._histograms = tally.histograms
        self._patience = _patience.Patience(settings)
        self.sharing: _sharing.Sharing | None = None
        self._waits: collections.deque[tuple[float, _flow.Flow]] = (
            collections.deque()
        )

    def note_heard(self, now: float, standing: _standing.Standing) -> None:
        """Note that a packet proved an upstream to answer.

        :param now: the time.
        :param standing: the upstream.
        """
        standing.heard_at = now
        standing.avoided_until = _NEVER

    def note_open(
        self, now: float, flow: _flow.Flow, packet: _packet.Packet
    ) -> None:
        """Note that a flow's caller has answered its upstream.

        :param now: the time.
        :param flow: the flow.
        :param packet: the first packet that shows it.
        """
        seconds = now - flow.begun_at
        self._histograms[_tally.OPEN_SECONDS].observe(seconds)
        flow.is_open = True
        flow.first = b''
        # Its upstream's numbers begin anywhere.
        flow.acknowledged = packet.acknowledged
        self.note_heard(now, flow.standing)
        # Of several that had the first packet, either may have answered.
        if len(flow.tried) == 1:
            evidence = self._suspects.evidence
            evidence.note_opened(now, flow.standing, flow.placed_at)
        if self.sharing is not None:
            service = flow.standing.upstream.service
            self.sharing.note_open(service, seconds)

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
            self._note_answer(now, flow)
            _flow.end_work(flow, now)
        if not packet.length:
            return
        end = _flow.add_length(packet.sequence, packet.length)
        if flow.sent is not None and not _flow.is_after(end, flow.sent):
            return
        is_further = flow.sent is not None and flow.waiting_since is None
        flow.sent = end
        _flow.begin_work(flow, now)
        if self.sharing is not None and is_further:
            self.sharing.note_request(now, flow)
        if flow.waiting_since is None:
            flow.waiting_since = now
            service = flow.standing.upstream.service
            self._waits.append((now + self._patience.get(service), flow))

    def doubt_opening(self, now: float, flow: _flow.Flow) -> list[object]:
        """Take a first packet that was not answered in time.

        :param now: the time.
        :param flow: its flow.
        :returns: effects.
        """
        standing = flow.standing
        if standing.is_former or standing.last_heard >= flow.placed_at:
            return []
        reason = _effect.Reason.NOT_OPENED
        doubt = _record_doubt(now, flow, flow.placed_at, reason)
        self._suspects.evidence.note_unopened(standing, flow.placed_at)
        return [doubt, *self._suspects.doubt(now, standing, flow.placed_at)]

    def take_lapse(
        self, now: float, standing: _standing.Standing
    ) -> list[object]:
        """Take that an upstream's entry has disappeared.

        :param now: the time.
        :param standing: the upstream.
        :returns: effects.
        """
        # One that left as planned ends its flows itself; one without flows
        # here may be looked at when there are some.
        is_planned = standing.upstream.is_draining
        if standing.is_replaced or is_planned or not standing.flows:
            return []
        return self._suspects.doubt(now, standing, now)

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
            effects += self._judge_wait(now, flow)
        effects += self._admission.refresh(now)
        return effects + self._suspects.tick(now)

    def _note_answer(self, now: float, flow: _flow.Flow) -> None:
        self.note_heard(now, flow.standing)
        if flow.waiting_since is not None:
            service = flow.standing.upstream.service
            waited = now - flow.waiting_since
            self._patience.note(service, waited)
            address = _packet.get_address(flow.key)
            self._admission.note(
                now, flow.standing, address, flow.ahead, waited
            )
            self._histograms[_tally.ANSWER_SECONDS].observe(waited)
            flow.waiting_since = None

    def _judge_wait(self, now: float, flow: _flow.Flow) -> list[object]:
        if flow.waiting_since is None or flow.is_closed:
            return []
        if flow.standing.is_former or self._has_moved(now, flow):
            flow.waiting_since = None
            _flow.end_work(flow, now)
            return []
        standing = flow.standing
        silent_since = max(flow.waiting_since, standing.last_heard)
        patience = self._patience.get(standing.upstream.service)
        if now - silent_since < patience:
            self._waits.append((silent_since + patience, flow))
            return []
        self._waits.append((now + patience, flow))
        effects = self._suspects.doubt(now, standing, silent_since)
        if flow.doubted_wait != flow.waiting_since:
            flow.doubted_wait = flow.waiting_since
            reason = _effect.Reason.NOT_ANSWERED
            since = flow.waiting_since
            effects.insert(0, _record_doubt(now, flow, since, reason))
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
        said = flow.seen_at - flow.waiting_since
        is_repeated = said > settings.repeat_seconds / 2
        return waited > settings.repeat_seconds and not is_repeated


def _record_doubt(
    now: float, flow: _flow.Flow, since: float, reason: str
) -> _effect.RecordDecision:
    standing = flow.standing
    details = {
        'waited_ms': _ending.to_ms(now - since),
        'heard_ms_ago': _ending.to_ms(now - standing.last_heard),
        'health': standing.health,
    }
    name = standing.upstream.name
    return _effect.RecordDecision('doubt', reason, flow.key, name, details)
