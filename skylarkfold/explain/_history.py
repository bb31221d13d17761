"""Events that concern one flow, in order of time."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.explain import _clocks
from skylarkfold.explain import _line

# Related lines, about the process or the flow's upstreams, are included from
# this long before the flow's first line.
_BEFORE_SECONDS = 5.0
# They are included until this long after it: the longest lifetime of a flow,
# whose later packets are not logged.
_AFTER_SECONDS = 60.0
_PROCESS_MESSAGES = (
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
_STATE_MESSAGES = ('routes', 'evacuation')
_UPSTREAM_MESSAGES = ('upstream', 'health', 'speed')


class Event:
    """A log line with its time relative to the start of the flow.

    :param at: seconds since the flow's first line, on the reference clock;
        negative for earlier lines.
    :param line: the line.
    :param is_flow: whether the line names the flow.
    """

    __slots__ = ('at', 'is_flow', 'line')

    def __init__(self, at: float, line: _line.Line, is_flow: bool) -> None:
        self.at = at
        self.line = line
        self.is_flow = is_flow


class FlowHistory:
    """The log lines that concern one flow.

    :param flow: the flow, as the caller of :func:`build_history` gave it.
    :param events: the events in order of time.
    :param clocks: the clock of each instance by name.
    :param reference: the instance on whose clock the times are given.
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
        """The upstreams that the flow was sent to, in order of first use."""
        names: list[str] = []
        for line in self.own_lines:
            name = line.get('upstream')
            if name and name not in names:
                names.append(name)
        return names


def build_history(flow: str, lines: Iterable[_line.Line]) -> FlowHistory:
    """Collect the history of a flow.

    :param flow: ``CALLER:PORT>ADDRESS:PORT``, or just ``CALLER:PORT``.
    :param lines: the log lines of all instances.
    :returns: the history; without events if no line names the flow.
    """
    all_lines = list(lines)
    reference, clocks = _clocks.align_clocks(all_lines)
    times = {
        id(line): _clocks.to_reference_time(line, clocks) for line in all_lines
    }
    flow_lines = [line for line in all_lines if _names_flow(line, flow)]
    if not flow_lines:
        return FlowHistory(flow, [], clocks, reference)
    start = min(times[id(line)] for line in flow_lines)
    instances = {line.instance for line in flow_lines}
    upstreams = {line.get('upstream') for line in flow_lines} - {''}
    events = []
    for line in all_lines:
        is_flow = _names_flow(line, flow)
        time = times[id(line)]
        is_near = -_BEFORE_SECONDS <= time - start <= _AFTER_SECONDS
        if is_flow or (
            is_near
            and line.instance in instances
            and _is_context(line, upstreams)
        ):
            events.append(Event(time - start, line, is_flow))
    events += _find_state_at_start(all_lines, times, instances, start)
    # Lines with equal times keep the order in which they were read.
    events.sort(key=lambda event: (event.at, event.line.place))
    return FlowHistory(flow, events, clocks, reference)


def _names_flow(line: _line.Line, flow: str) -> bool:
    line_flow = line.get('flow')
    return line_flow == flow or line_flow.startswith(f'{flow}>')


def _is_context(line: _line.Line, upstreams: set[str]) -> bool:
    if line.message in _PROCESS_MESSAGES:
        return True
    return (
        line.message in _UPSTREAM_MESSAGES
        and line.get('upstream') in upstreams
    )


def _find_state_at_start(
    lines: list[_line.Line],
    times: dict[int, float],
    instances: set[str],
    start: float,
) -> list[Event]:
    """Find the routes and evacuations in force when the flow started."""
    latest: dict[tuple[str, str], _line.Line] = {}
    for line in lines:
        is_before = times[id(line)] <= start
        if line.message in _STATE_MESSAGES and is_before:
            latest[(line.instance, line.message)] = line
    return [
        Event(times[id(line)] - start, line, False)
        for (name, _), line in latest.items()
        if name in instances
    ]
