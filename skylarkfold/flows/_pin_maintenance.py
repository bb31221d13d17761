"""Expiry, refresh and merging of pins."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from skylarkfold.flows import _members
from skylarkfold.flows import _messages
from skylarkfold.flows import _pins
from skylarkfold.flows import _proposer
from skylarkfold.flows import _router
from skylarkfold.flows import _send_queues
from skylarkfold.flows import _settings
from skylarkfold.flows import _state
from skylarkfold.flows import _table

CHECK_SECONDS = 2.0


class _Timers:
    __slots__ = (
        'next_cache_rotation',
        'next_check',
        'next_home_rotation',
        'next_redirect_reset',
        'rotation',
    )

    def __init__(self) -> None:
        self.next_home_rotation = 0.0
        self.next_cache_rotation = 0.0
        self.next_redirect_reset = 0.0
        self.next_check = 0.0
        self.rotation = 0


class PinMaintenance:
    """Expires, refreshes and merges pins, and finds migrated buckets.

    :param settings: the flow settings.
    :param members: this instance's view of the members.
    :param proposer: unused.
    :param queue: the queue for refreshes of replicas.
    :ivar is_pin_limit_reached: whether this instance has ``flow_limit`` pins.
    :ivar must_rotate_firsts: whether the router's record of recent first
        datagrams is due for rotation since the last run.
    """

    def __init__(
        self,
        settings: _settings.FlowSettings,
        members: _members.MemberView,
        proposer: _proposer.Proposer,
        queue: _send_queues.BulkQueue,
    ) -> None:
        self.is_pin_limit_reached = False
        self.must_rotate_firsts = False
        self._settings = settings
        self._members = members
        self._queue = queue
        self._timers: dict[str, _Timers] = {}
        self._next_firsts_rotation = 0.0
        self._now = 0.0

    def run(
        self, now: float, states: list[_state.ServiceState]
    ) -> Iterator[tuple[str, _messages.BucketsMigrated]]:
        """Run the tasks that are due.

        :param now: the current time.
        :param states: the states of all services.
        :returns: the names of services with migrated buckets, each with the
            report for the proposers.
        """
        self._now = now
        self.must_rotate_firsts = now >= self._next_firsts_rotation
        if self.must_rotate_firsts:
            self._next_firsts_rotation = now + _router.RECENT_FIRSTS_SECONDS
            pin_count = sum(state.count_pins() for state in states)
            self.is_pin_limit_reached = pin_count >= self._settings.flow_limit
        for state in states:
            yield from self._maintain_service(now, state)

    def update_home_pins(self, state: _state.ServiceState) -> None:
        """Update which buckets this instance is the home of.

        :param state: the service's state.
        """
        name = self._members.name
        home_pins = {}
        for bucket in state.list_open():
            if self._members.find_home(state.find_slot(bucket)) != name:
                state.home_since.pop(bucket, None)
                continue
            home_pins[bucket] = state.pins.setdefault(bucket, _pins.PinSet())
            state.home_since.setdefault(bucket, self._now)
        state.home_pins = home_pins

    def merge_pins(
        self,
        state: _state.ServiceState,
        sender: str,
        groups: list[_messages.PinGroup],
    ) -> None:
        """Merge pins that another instance sent.

        :param state: the service's state.
        :param sender: the name of the sender.
        :param groups: the flows, grouped by upstream.
        """
        for group in groups:
            for flow in group.flows:
                self._merge_pin(state, sender, flow, group.upstream)

    def _merge_pin(
        self,
        state: _state.ServiceState,
        sender: str,
        flow: int,
        index: int,
    ) -> None:
        bucket = flow & state.mask
        if state.table.states[bucket] == _table.BucketState.CLOSED:
            return
        pins = state.pins.setdefault(bucket, _pins.PinSet())
        current = pins.peek(flow)
        if current is None or current == index:
            pins.put(flow, index)
            return
        # A known pin to the unpinned upstream may only be the default for a
        # flow that was unknown here, so any other pin replaces it.
        if current == state.table.unpinned[bucket]:
            pins.put(flow, index)
        elif self._outranks(state.find_slot(bucket), sender):
            pins.put(flow, index)

    def _outranks(self, slot: int, sender: str) -> bool:
        """Return whether a sender ranks above this instance for a slot."""
        ranked = self._members.ranking.list_ranked(slot)
        name = self._members.name
        if sender not in ranked:
            return False
        return name not in ranked or ranked.index(sender) < ranked.index(name)

    def _maintain_service(
        self, now: float, state: _state.ServiceState
    ) -> Iterator[tuple[str, _messages.BucketsMigrated]]:
        timers = self._timers.setdefault(state.name, _Timers())
        idle = state.service.flow_idle_seconds
        if now >= timers.next_home_rotation:
            timers.next_home_rotation = (
                now + idle * _state.HOME_PERIOD_IDLE_FACTOR
            )
            timers.rotation += 1
            self._rotate(state, timers.rotation)
        if now >= timers.next_cache_rotation:
            timers.next_cache_rotation = (
                now + idle * _state.CACHE_PERIOD_IDLE_FACTOR
            )
            state.cache.rotate()
        if now >= timers.next_redirect_reset:
            timers.next_redirect_reset = (
                now + self._settings.cache_request_seconds
            )
            state.redirect_counts.clear()
        if now >= timers.next_check:
            timers.next_check = now + CHECK_SECONDS
            yield from self._report_migrated(now, state)

    def _rotate(self, state: _state.ServiceState, rotation: int) -> None:
        for bucket, pins in [*state.pins.items()]:
            is_home = bucket in state.home_pins
            if not is_home and rotation % _state.REPLICA_PERIOD_ROTATIONS:
                continue
            self._count_expired(state, pins.rotate())
            if not is_home and not pins:
                del state.pins[bucket]
            turn = (rotation + bucket) % _state.REFRESH_PERIOD_ROTATIONS
            if is_home and turn == 0:
                self._refresh(state, bucket, pins)

    def _count_expired(
        self, state: _state.ServiceState, expired: dict[int, int]
    ) -> None:
        for index, count in collections.Counter(expired.values()).items():
            upstream = state.find_upstream(index)
            if upstream is not None:
                state.load.count_expired(upstream.name, count)

    def _refresh(
        self, state: _state.ServiceState, bucket: int, pins: _pins.PinSet
    ) -> None:
        unpinned = state.table.unpinned[bucket]
        pinned = [pin for pin in pins if pin[1] != unpinned]
        for holder in self._members.list_holders(state.find_slot(bucket)):
            if pinned and holder != self._members.name:
                self._queue.add_pins(holder, state.name, pinned)

    def _report_migrated(
        self, now: float, state: _state.ServiceState
    ) -> Iterator[tuple[str, _messages.BucketsMigrated]]:
        watch_seconds = (
            state.service.flow_idle_seconds * _state.HOME_PERIOD_IDLE_FACTOR
        )
        buckets = [
            bucket
            for bucket, pins in state.home_pins.items()
            if self._is_migrated(now - watch_seconds, state, bucket, pins)
        ]
        if buckets:
            message = _messages.BucketsMigrated(
                state.name, state.version, buckets
            )
            yield state.name, message

    def _is_migrated(
        self,
        since: float,
        state: _state.ServiceState,
        bucket: int,
        pins: _pins.PinSet,
    ) -> bool:
        target = state.table.targets[bucket]
        if target == _table.BY_LOAD:
            return False
        if state.table.states[bucket] != _table.BucketState.OPEN:
            return False
        if state.opened_at.get(bucket, since + 1) > since:
            return False
        if state.home_since.get(bucket, since + 1) > since:
            return False
        if not self._members.has_all_handovers(state.find_slot(bucket)):
            return False
        return pins.list_upstreams() <= {target}
