"""Placement of TCP streams by load.

A stream ends when the instance that relays it stops, so no other instance has
to know the stream's upstream.
"""

from __future__ import annotations

from skylarkfold import effect
from skylarkfold import event
from skylarkfold.flows import _placement
from skylarkfold.flows import _settings
from skylarkfold.flows import _state


class StreamPlacer:
    """Places streams and counts the open ones.

    :param settings: the flow settings.
    :param zone: this instance's zone.
    """

    def __init__(self, settings: _settings.FlowSettings, zone: str) -> None:
        self._settings = settings
        self._zone = zone
        self._open: dict[int, tuple[_state.ServiceState, str]] = {}

    def place(
        self,
        now: float,
        opened: event.StreamOpened,
        state: _state.ServiceState | None,
        owner_count: int,
    ) -> list[object]:
        """Choose the upstream of a new stream.

        :param now: the current time.
        :param opened: the stream.
        :param state: the state of its service, None if no service has the
            address.
        :param owner_count: the number of instances that place flows of this
            service.
        :returns: the effects.
        """
        if state is None:
            reason = effect.Reason.NO_SERVICE
            return [effect.RefuseStream(opened.stream, reason)]
        upstream = _placement.choose_upstream(
            now,
            state.eligible,
            state.load,
            self._settings,
            self._zone,
            owner_count,
        )
        if upstream is None:
            reason = effect.Reason.OVER_LIMIT
            return [effect.RefuseStream(opened.stream, reason)]
        state.load.count_placed(upstream.name)
        self._open[opened.stream] = (state, upstream.name)
        placed = effect.Reason.PLACED
        decision = effect.RecordDecision(
            kind='placement',
            service=state.name,
            subject=str(opened.caller),
            upstream=upstream.name,
            reason=placed.value,
        )
        connect = effect.ConnectStream(
            opened.stream, state.service, upstream, placed
        )
        return [connect, decision]

    def close(self, now: float, closed: event.StreamClosed) -> None:
        """Stop counting a stream that has ended.

        :param now: the current time.
        :param closed: the stream and whether its upstream failed.
        """
        entry = self._open.pop(closed.stream, None)
        if entry is None:
            return
        state, upstream = entry
        state.load.count_expired(upstream, 1)
        if closed.failed:
            state.load.record_failure(now, upstream)
