"""All decision cores of one instance behind a single interface.

A node takes typed events and returns typed effects. It does no I/O itself;
the daemon, a benchmark or a test performs the effects.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import typing
from typing import Protocol

from skylarkfold import core
from skylarkfold import effect
from skylarkfold import event


# Effects that are performed outside the node as well as passed to the other
# cores: listeners depend on the configuration, streams on the membership.
_ALSO_EXTERNAL_EFFECTS = (
    effect.PublishConfiguration,
    effect.PublishMembership,
)


class StoppableCore(core.Core, Protocol):
    """A core that has work to finish or hand over before a stop."""

    @property
    def is_finished(self) -> bool:
        """Whether no work is left to finish or hand over."""


@dataclasses.dataclass(frozen=True, slots=True)
class CoreBinding:
    """A core and the messages, events and answers routed to it alone.

    :param core: the core.
    :param messages: the types of peer messages that it handles.
    :param first_call_number: the lowest number of its platform calls;
        negative if it makes none.
    :param events: the event types that only this core receives.
    """

    core: core.Core
    messages: tuple[type, ...] = ()
    first_call_number: int = -1
    events: tuple[type, ...] = ()


def list_message_types(union: object) -> tuple[type, ...]:
    """List the members of a union of message types.

    :param union: a union, or a single type.
    :returns: its member types.
    """
    return typing.get_args(union) or (union,)


@functools.singledispatch
def convert_to_event(produced: object) -> object | None:
    """Convert an effect of one core into an event for all cores.

    :param produced: the effect.
    :returns: the event; None if the effect is performed outside the node.
    """
    return None


@convert_to_event.register
def _(produced: effect.PublishConfiguration) -> event.ConfigurationChanged:
    return event.ConfigurationChanged(produced.configuration)


@convert_to_event.register
def _(produced: effect.PublishObject) -> event.ObjectChanged:
    return event.ObjectChanged(produced.stored)


@convert_to_event.register
def _(produced: effect.PublishMembership) -> event.MembershipChanged:
    return event.MembershipChanged(produced.membership)


@convert_to_event.register
def _(produced: effect.PublishRevision) -> event.RevisionReached:
    return event.RevisionReached(produced.revision)


@convert_to_event.register
def _(produced: effect.RequestWrite) -> event.WriteRequested:
    return event.WriteRequested(produced.write)


@convert_to_event.register
def _(produced: effect.PublishWriteEnded) -> event.WriteEnded:
    return produced.ended


class Node:
    """All cores of one instance.

    :param parts: the cores, in the order in which they receive an event.
    """

    def __init__(self, parts: typing.Sequence[CoreBinding]) -> None:
        self._bindings = tuple(parts)
        self._cores = tuple(binding.core for binding in parts)
        self._cores_by_message = {
            message: (binding.core,)
            for binding in parts
            for message in binding.messages
        }
        self._cores_by_event = {
            kind: (binding.core,)
            for binding in parts
            for kind in binding.events
        }
        self._bindings_by_call = sorted(
            (binding for binding in parts if binding.first_call_number >= 0),
            key=lambda binding: binding.first_call_number,
            reverse=True,
        )
        self._stopping = False
        self._stopped = False

    def handle(self, now: float, received: object) -> list[object]:
        """Handle one event and all events that it causes between cores.

        :param now: the time in seconds of a monotonic clock.
        :param received: an event of :mod:`skylarkfold.event`.
        :returns: the effects to perform outside the node, in order.
        """
        if isinstance(received, event.StopRequested):
            self._stopping = True
        pending = collections.deque([received])
        outgoing: list[object] = []
        while pending:
            current = pending.popleft()
            for receiver in self._list_receivers(current):
                for produced in receiver.handle(now, current):
                    self._route(produced, pending, outgoing)
        self._append_stop_finished(outgoing)
        return outgoing

    def _route(
        self,
        produced: object,
        pending: collections.deque[object],
        outgoing: list[object],
    ) -> None:
        internal_event = convert_to_event(produced)
        if internal_event is not None:
            pending.append(internal_event)
        if internal_event is None or isinstance(
            produced, _ALSO_EXTERNAL_EFFECTS
        ):
            outgoing.append(produced)

    def _append_stop_finished(self, outgoing: list[object]) -> None:
        if not self._stopping or self._stopped:
            return
        if all(getattr(each, 'is_finished', True) for each in self._cores):
            self._stopped = True
            outgoing.append(effect.StopFinished())

    def _list_receivers(self, current: object) -> tuple[core.Core, ...]:
        if isinstance(current, event.PeerMessageReceived):
            return self._cores_by_message.get(type(current.message), ())
        if isinstance(current, event.PlatformAnswered):
            return self._find_calling_core(current.call)
        return self._cores_by_event.get(type(current), self._cores)

    def _find_calling_core(self, call: int) -> tuple[core.Core, ...]:
        for binding in self._bindings_by_call:
            if call >= binding.first_call_number:
                return (binding.core,)
        return ()
