"""One instance's decisions: all cores behind a single interface.

A node has typed events as its inputs and typed effects as its outputs.
It does no I/O; the daemon, a benchmark or a test performs its effects.
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


# What other cores see and the surroundings need as well: listeners follow
# the configuration, connections follow the membership.
_SHOWN_OUTSIDE = (effect.PublishConfiguration, effect.PublishMembership)


class StoppableCore(core.Core, Protocol):
    """A core that has work to finish or hand on before a stop."""

    @property
    def is_finished(self) -> bool:
        """Tell whether nothing is left to finish or hand on."""


@dataclasses.dataclass(frozen=True, slots=True)
class CoreBinding:
    """A core with the messages and events that only it handles.

    :param core: the core.
    :param messages: the peer message types that it takes.
    :param first_call_number: the lowest platform call number that it issues.
    :param events: the event types that it alone takes.
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
    """Turn an effect into the event that other cores see.

    :param produced: an effect of one core.
    :returns: an event for the other cores, or None if the effect is for
        the surroundings.
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

    :param parts: the cores, in the order in which they see an event.
    """

    def __init__(self, parts: typing.Sequence[CoreBinding]) -> None:
        self._parts = tuple(parts)
        self._all = tuple(part.core for part in parts)
        self._by_message = {
            message: (part.core,)
            for part in parts
            for message in part.messages
        }
        self._by_event = {
            kind: (part.core,) for part in parts for kind in part.events
        }
        self._by_call = sorted(
            (part for part in parts if part.first_call_number >= 0),
            key=lambda part: part.first_call_number,
            reverse=True,
        )
        self._stopping = False
        self._stopped = False

    def handle(self, now: float, received: object) -> list[object]:
        """Take one event and everything that follows from it here.

        :param now: the time in seconds of a monotonic clock.
        :param received: an event of :mod:`skylarkfold.event`.
        :returns: effects for the surroundings, in order.
        """
        if isinstance(received, event.StopRequested):
            self._stopping = True
        pending = collections.deque([received])
        outgoing: list[object] = []
        while pending:
            current = pending.popleft()
            for taker in self._list_takers(current):
                for produced in taker.handle(now, current):
                    self._sort(produced, pending, outgoing)
        self._add_stop(outgoing)
        return outgoing

    def _sort(
        self,
        produced: object,
        pending: collections.deque[object],
        outgoing: list[object],
    ) -> None:
        following = convert_to_event(produced)
        if following is not None:
            pending.append(following)
        if following is None or isinstance(produced, _SHOWN_OUTSIDE):
            outgoing.append(produced)

    def _add_stop(self, outgoing: list[object]) -> None:
        if not self._stopping or self._stopped:
            return
        if all(getattr(each, 'is_finished', True) for each in self._all):
            self._stopped = True
            outgoing.append(effect.StopFinished())

    def _list_takers(self, current: object) -> tuple[core.Core, ...]:
        if isinstance(current, event.PeerMessageReceived):
            return self._by_message.get(type(current.message), ())
        if isinstance(current, event.PlatformAnswered):
            return self._find_caller(current.call)
        return self._by_event.get(type(current), self._all)

    def _find_caller(self, call: int) -> tuple[core.Core, ...]:
        for part in self._by_call:
            if call >= part.first_call_number:
                return (part.core,)
        return ()
