"""Streams: placed by load, and kept by the instance that relays them.

A stream ends with the instance that relays it, so no other instance has
to know its upstream.
"""

from __future__ import annotations

from skylarkfold import effect
from skylarkfold import event
from skylarkfold.flows import _placement
from skylarkfold.flows import _settings
from skylarkfold.flows import _state


class StreamPlacer:
    """Places streams and counts them while they last.

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
        """Choose a stream's upstream.

        :param now: the time.
        :param opened: the stream.
        :param state: its service, None if no team claims the address.
        :param owner_count: instances that place flows of this service.
        :returns: effects.
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
        """Forget a stream that ended.

        :param now: the time.
        :param closed: the stream, and whether its upstream failed.
        """
        found = self._open.pop(closed.stream, None)
        if found is None:
            return
        state, upstream = found
        state.load.count_expired(upstream, 1)
        if closed.failed:
            state.load.record_failure(now, upstream)
