"""What happened to one flow, in order."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.explain import _clocks
from skylarkfold.explain import _line

# Lines about the process and its surroundings belong to the story from so
# long before the flow's first line.
_BEFORE_SECONDS = 5.0
# Those about its upstream and the process until so long after: the longest
# life of a flow, whose later packets have no lines of their own.
_AFTER_SECONDS = 60.0
_PROCESS = (
    'started',
    'ready',
    'stopping',
    'leaving',
    'stopped',
    'settings',
    'dependency',
    'relay',
    'lines left out',
)
_KNOWLEDGE = ('routes', 'evacuation')
_UPSTREAM = ('upstream', 'health', 'speed')


class Event:
    """A line with its time on the reference clock.

    :param at: seconds after the flow's first line.
    :param line: the line.
    :param is_flow: whether it names the flow.
    """

    __slots__ = ('at', 'is_flow', 'line')

    def __init__(self, at: float, line: _line.Line, is_flow: bool) -> None:
        self.at = at
        self.line = line
        self.is_flow = is_flow


class FlowHistory:
    """All that is known of one flow.

    :param flow: the flow, as far as it was given.
    :param events: in order.
    :param clocks: the clocks of the instances in it.
    :param reference: whose clock the times are of.
    """

    __slots__ = ('clocks', 'events', 'flow', 'reference')

    def __init__(
        self,
        flow: str,
        events: list[Event],
        clocks: dict[str, _clocks.Clock],
        reference: str,
    ) -> None:
        self.flow = flow
        self.events = events
        self.clocks = clocks
        self.reference = reference

    @property
    def own_lines(self) -> list[_line.Line]:
        """The lines that name the flow."""
        return [event.line for event in self.events if event.is_flow]

    @property
    def upstreams(self) -> list[str]:
        """The upstreams that it was sent to, in order."""
        found: list[str] = []
        for line in self.own_lines:
            name = line.get('upstream')
            if name and name not in found:
                found.append(name)
        return found


def build_history(flow: str, lines: Iterable[_line.Line]) -> FlowHistory:
    """Put the story of a flow together.

    :param flow: ``CALLER:PORT>ADDRESS:PORT``, or the caller's part of it.
    :param lines: the lines of all instances.
    :returns: the story; without events if no line names the flow.
    """
    known = list(lines)
    reference, clocks = _clocks.align_clocks(known)
    times = {id(line): _clocks.adjust(line, clocks) for line in known}
    own = [line for line in known if _names(line, flow)]
    if not own:
        return FlowHistory(flow, [], clocks, reference)
    begin = min(times[id(line)] for line in own)
    instances = {line.instance for line in own}
    upstreams = {line.get('upstream') for line in own} - {''}
    events = []
    for line in known:
        is_own = _names(line, flow)
        at = times[id(line)]
        is_near = -_BEFORE_SECONDS <= at - begin <= _AFTER_SECONDS
        if is_own or (
            is_near
            and line.instance in instances
            and _is_context(line, upstreams)
        ):
            events.append(Event(at - begin, line, is_own))
    events += _find_knowledge(known, times, instances, begin)
    # Lines of one instance keep their order, whatever its clock does.
    events.sort(key=lambda event: (event.at, event.line.place))
    return FlowHistory(flow, events, clocks, reference)


def _names(line: _line.Line, flow: str) -> bool:
    named = line.get('flow')
    return named == flow or named.startswith(f'{flow}>')


def _is_context(line: _line.Line, upstreams: set[str]) -> bool:
    if line.message in _PROCESS:
        return True
    return line.message in _UPSTREAM and line.get('upstream') in upstreams


def _find_knowledge(
    lines: list[_line.Line],
    times: dict[int, float],
    instances: set[str],
    begin: float,
) -> list[Event]:
    """Find what each instance had in force when the flow began."""
    last: dict[tuple[str, str], _line.Line] = {}
    for line in lines:
        is_before = times[id(line)] <= begin
        if line.message in _KNOWLEDGE and is_before:
            last[(line.instance, line.message)] = line
    return [
        Event(times[id(line)] - begin, line, False)
        for (name, _), line in last.items()
        if name in instances
    ]
