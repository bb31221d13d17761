"""Routing of a datagram: forward it, redirect it, or place its flow."""

from __future__ import annotations

from skylarkfold import effect
from skylarkfold import flow as flow_module
from skylarkfold.flows import _members
from skylarkfold.flows import _messages
from skylarkfold.flows import _packet
from skylarkfold.flows import _packet_buffer
from skylarkfold.flows import _pins
from skylarkfold.flows import _placement
from skylarkfold.flows import _send_queues
from skylarkfold.flows import _settings
from skylarkfold.flows import _state
from skylarkfold.flows import _table
from skylarkfold import instance as instance_module
from skylarkfold import metric
from skylarkfold import service as service_module

RECENT_FIRSTS_SECONDS = 5.0

Reason = effect.Reason


class Router:
    """Routes the datagrams of all services.

    :param instance: this instance.
    :param settings: the flow settings.
    :param members: this instance's view of the members.
    :param pin_queue: the queue of new pins for the replicas.
    :param buffer: datagrams that can't be routed yet.
    :ivar is_pin_limit_reached: whether no more pins should be added.
    """

    def __init__(
        self,
        instance: instance_module.InstanceSettings,
        settings: _settings.FlowSettings,
        members: _members.MemberView,
        pin_queue: _send_queues.PinQueue,
        buffer: _packet_buffer.PacketBuffer,
    ) -> None:
        self.is_pin_limit_reached = False
        self._name = instance.name
        self._zone = instance.zone
        self._settings = settings
        self._members = members
        self._pin_queue = pin_queue
        self._buffer = buffer
        self._recent_firsts = _pins.PinSet()

    def rotate_recent_firsts(self) -> None:
        """Expire the record of recent first datagrams.

        They only have to be known for as long as a duplicate may arrive.
        """
        self._recent_firsts.rotate()

    def route(
        self, now: float, state: _state.ServiceState, packet: _packet.Packet
    ) -> list[object]:
        """Route a datagram.

        :param now: the current time.
        :param state: the state of its service.
        :param packet: the datagram.
        :returns: the effects.
        """
        flow = flow_module.hash_caller(state.name, packet.caller)
        context = _RoutingContext(now, state, packet, flow, flow & state.mask)
        if state.may_be_stale:
            hop = self._find_next_hop(context)
            if hop is not None:
                return self._redirect(context, hop, None)
        upstream = state.closed_routes[context.bucket]
        if upstream is not None:
            return [context.forward(upstream, Reason.CLOSED_BUCKET)]
        return self._route_open(context)

    def _route_open(self, context: _RoutingContext) -> list[object]:
        index = self._find_pin(context)
        if index is not None and self._may_use_pin(context):
            return self._forward_pinned(context, index)
        cached = self._find_cached(context)
        if cached is not None:
            return self._forward_to(context, cached, Reason.CACHED)
        if index is None and context.packet.hint != _packet.NO_HINT:
            index = context.packet.hint
        if index is not None and self._is_home(context):
            return self._use_hint(context, index)
        hop = self._find_next_hop(context)
        if hop is not None:
            return self._redirect(context, hop, index)
        if index is not None:
            return self._use_hint(context, index)
        home = self._find_home_to_place(context)
        if home is not None:
            return self._redirect(context, home, None, is_returned=True)
        return self._place(context)

    def _find_home_to_place(self, context: _RoutingContext) -> str | None:
        """Return the home that has to place a flow which no instance knows.

        Only the home places it, so that the datagrams of a flow are placed
        alike whichever instance was the last to be asked.
        """
        home = context.packet.home or self._members.find_home(context.slot)
        if context.packet.is_returned or home in (self._name, ''):
            return None
        return home

    def _find_next_hop(self, context: _RoutingContext) -> str | None:
        if context.packet.is_returned:
            return None
        return self._members.find_next_hop(
            context.slot, context.packet.visited
        )

    def _may_use_pin(self, context: _RoutingContext) -> bool:
        """Return whether this instance may forward by its own pin.

        An instance other than the home may do so only after the home was
        asked: the home has to see the flow's datagrams, or it would expire
        the pin as idle.
        """
        home = self._members.find_home(context.slot)
        return home in (self._name, '', *context.packet.visited)

    def _is_home(self, context: _RoutingContext) -> bool:
        return self._members.find_home(context.slot) == self._name

    def _use_hint(self, context: _RoutingContext, index: int) -> list[object]:
        if not self.is_pin_limit_reached:
            context.state.add_pin(context.bucket, context.flow, index)
        if index != context.state.table.unpinned[context.bucket]:
            self._queue_pin_update(context, index)
        return self._forward_pinned(context, index)

    def _find_pin(self, context: _RoutingContext) -> int | None:
        pins = context.state.pins.get(context.bucket)
        index = None if pins is None else pins.get(context.flow)
        if index is None or self._begins_another_flow(context, index):
            return None
        return index

    def _begins_another_flow(
        self, context: _RoutingContext, index: int
    ) -> bool:
        """Return whether a caller with a pin begins another flow.

        A first datagram that is repeated within seconds belongs to the same
        flow. A later one begins another flow, which must not go to an
        upstream that takes no new work.
        """
        if not context.packet.is_first:
            return False
        if self._recent_firsts.peek(context.flow) is not None:
            return False
        upstream = context.state.find_upstream(index)
        return upstream is not None and not upstream.takes_new_work

    def _find_cached(self, context: _RoutingContext) -> int | None:
        if context.packet.is_first:
            return None
        return context.state.cache.peek(context.flow)

    def _forward_pinned(
        self, context: _RoutingContext, index: int
    ) -> list[object]:
        effects = self._forward_to(context, index, Reason.PINNED)
        effects += self._update_home(context, index)
        return effects + self._build_answer(context, index)

    def _update_home(
        self, context: _RoutingContext, index: int
    ) -> list[object]:
        """Send a pin at once to a home that was asked and did not have it."""
        home = self._members.find_home(context.slot)
        if home == self._name or home not in context.packet.visited:
            return []
        groups = [_messages.PinGroup(index, [context.flow])]
        pin_update = _messages.PinUpdate(context.state.name, groups)
        return [effect.SendToPeer(home, pin_update)]

    def _forward_to(
        self, context: _RoutingContext, index: int, reason: effect.Reason
    ) -> list[object]:
        upstream = context.state.find_upstream(index)
        if upstream is None:
            return self._buffer_packet(context)
        return [context.forward(upstream, reason)]

    def _build_answer(
        self, context: _RoutingContext, index: int
    ) -> list[object]:
        visited = context.packet.visited
        if not context.packet.wants_answer or visited[:1] in (
            (),
            (self._name,),
        ):
            return []
        answer = _messages.FlowAnswer(
            context.state.name, [_messages.PinGroup(index, [context.flow])]
        )
        return [effect.SendToPeer(visited[0], answer)]

    def _buffer_packet(self, context: _RoutingContext) -> list[object]:
        if self._buffer.add(context.now, context.packet):
            return [effect.CountMetric(metric.FLOWS_HELD)]
        return context.drop(Reason.OVER_LIMIT)

    def _redirect(
        self,
        context: _RoutingContext,
        hop: str,
        index: int | None,
        is_returned: bool = False,
    ) -> list[object]:
        packet = context.packet
        wants_answer = packet.wants_answer
        if not packet.visited:
            wants_answer = self._should_request_answer(context)
        hint = packet.hint if index is None else index
        home = packet.home
        if not home and self._is_home(context):
            home = self._name
        redirect = _packet.build_redirect(
            packet, self._name, wants_answer, hint, is_returned, home
        )
        return [
            effect.SendToPeer(hop, redirect),
            effect.CountMetric(metric.FLOWS_REDIRECTED),
        ]

    def _should_request_answer(self, context: _RoutingContext) -> bool:
        redirect_counts = context.state.redirect_counts
        redirect_counts[context.flow] += 1
        if len(redirect_counts) > self._settings.cache_limit:
            redirect_counts.clear()
        return (
            redirect_counts[context.flow] >= self._settings.cache_request_count
        )

    def _place(self, context: _RoutingContext) -> list[object]:
        state = context.state
        if not state.is_open(context.bucket) or not self._is_new(context):
            return self._use_unpinned(context, Reason.UNPINNED)
        upstream = self._choose_upstream(context)
        if upstream is None:
            return context.drop(Reason.OVER_LIMIT)
        index = state.table.find_index(upstream.name)
        self._recent_firsts.put(context.flow, index)
        if index == state.table.unpinned[context.bucket]:
            state.load.count_placed(upstream.name)
            return self._use_unpinned(context, Reason.PLACED)
        return self._pin_flow(context, upstream, index)

    def _is_new(self, context: _RoutingContext) -> bool:
        """Return whether an unknown flow begins with this datagram.

        If the protocol does not mark first datagrams, the flow counts as new
        once this instance has been the home of the open bucket for the idle
        timeout: any older flow would have been seen by then.
        """
        if context.unpinned is None or context.is_unpinned_dead:
            return True
        if context.packet.is_first is not None:
            return context.packet.is_first
        if (
            context.state.table.states[context.bucket]
            != _table.BucketState.OPEN
        ):
            return False
        since = context.state.opened_at.get(context.bucket, context.now)
        since = max(since, context.state.home_since.get(context.bucket, since))
        return context.now - since >= context.state.service.flow_idle_seconds

    def _use_unpinned(
        self, context: _RoutingContext, reason: effect.Reason
    ) -> list[object]:
        index = context.state.table.unpinned[context.bucket]
        if context.unpinned is None:
            return context.drop(Reason.NO_UPSTREAM)
        if not self.is_pin_limit_reached:
            context.state.add_pin(context.bucket, context.flow, index)
            # Keeps the flow here if its first datagram arrives late.
            self._recent_firsts.put(context.flow, index)
        if context.packet.is_first is None:
            self._queue_pin_update(context, index)
        return self._forward_to(context, index, reason) + self._build_answer(
            context, index
        )

    def _choose_upstream(
        self, context: _RoutingContext
    ) -> service_module.Upstream | None:
        state = context.state
        candidates = [
            each
            for each in state.eligible
            if state.table.find_index(each.name) != _table.NO_UPSTREAM
        ]
        preferred = context.unpinned.name if context.unpinned else ''
        if preferred and (
            self.is_pin_limit_reached or self._is_pin_queue_full()
        ):
            preferred_only = [
                each for each in candidates if each.name == preferred
            ]
            candidates = preferred_only or candidates
        target = state.find_upstream(state.table.targets[context.bucket])
        if target in candidates and self._can_accept(context, target):
            return target
        return _placement.choose_upstream(
            context.now,
            candidates,
            state.load,
            self._settings,
            self._zone,
            self._count_owners(),
            preferred,
        )

    def _can_accept(
        self, context: _RoutingContext, upstream: service_module.Upstream
    ) -> bool:
        load = context.state.load
        if not load.is_usable(context.now, upstream.name):
            return False
        return load.has_capacity(context.now, upstream, self._count_owners())

    def _count_owners(self) -> int:
        return max(1, len(self._members.ranking.names))

    def _is_pin_queue_full(self) -> bool:
        return len(self._pin_queue) >= self._settings.note_limit

    def _pin_flow(
        self,
        context: _RoutingContext,
        upstream: service_module.Upstream,
        index: int,
    ) -> list[object]:
        state = context.state
        state.add_pin(context.bucket, context.flow, index)
        state.load.count_placed(upstream.name)
        effects = [
            context.forward(upstream, Reason.PLACED),
            effect.RecordDecision(
                kind='placement',
                service=state.name,
                subject=str(context.packet.caller),
                upstream=upstream.name,
                reason=Reason.PLACED.value,
            ),
            effect.CountMetric(metric.FLOWS_PLACED),
        ]
        effects += self._update_home(context, index)
        self._queue_pin_update(context, index)
        return effects + self._build_answer(context, index)

    def _queue_pin_update(self, context: _RoutingContext, index: int) -> None:
        for holder in self._members.list_holders(context.slot):
            if holder != self._name:
                self._pin_queue.add(
                    holder, context.state.name, index, context.flow
                )


class _RoutingContext:
    """A datagram with the data that its routing needs."""

    __slots__ = ('bucket', 'flow', 'now', 'packet', 'slot', 'state')

    def __init__(
        self,
        now: float,
        state: _state.ServiceState,
        packet: _packet.Packet,
        flow: int,
        bucket: int,
    ) -> None:
        self.now = now
        self.state = state
        self.packet = packet
        self.flow = flow
        self.bucket = bucket
        self.slot = state.find_slot(bucket)

    @property
    def unpinned(self) -> service_module.Upstream | None:
        """The upstream of the bucket's flows without a pin."""
        return self.state.find_upstream(self.state.table.unpinned[self.bucket])

    @property
    def is_unpinned_dead(self) -> bool:
        """Whether the upstream of flows without a pin is dead."""
        table = self.state.table
        return table.unpinned[self.bucket] in table.dead

    def forward(
        self, upstream: service_module.Upstream, reason: effect.Reason
    ) -> effect.ForwardDatagram:
        """Return the effect that forwards the datagram to an upstream."""
        return effect.ForwardDatagram(
            service=self.state.service,
            upstream=upstream,
            caller=self.packet.caller,
            payload=self.packet.payload,
            reason=reason,
        )

    def drop(self, reason: effect.Reason) -> list[object]:
        """Return the effects that drop and count the datagram."""
        address = self.packet.address or self.state.service.address
        return [
            effect.DropDatagram(address, self.packet.caller, reason),
            effect.CountMetric(f'{metric.FLOWS_DROPPED}.{reason.value}'),
        ]
