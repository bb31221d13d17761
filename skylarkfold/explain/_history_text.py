"""Formatting of a flow's history as text."""

from __future__ import annotations

from skylarkfold.explain import _history
from skylarkfold.explain import _line

_FIRST_FIELDS = ('reason', 'upstream')


def format_history(history: _history.FlowHistory) -> str:
    """Format a flow's history.

    :param history: the history.
    :returns: the text, one line for each event, with the clocks before and
        a summary after them.
    """
    if not history.events:
        return f'no line names {history.flow}\n'
    lines = [f'flow {history.flow}', *_describe_clocks(history), '']
    for event in history.events:
        mark = '*' if event.is_flow else ' '
        line = event.line
        text = _format_fields(line)
        lines.append(
            f'{event.at:+9.3f} s {mark} {line.instance}: {line.message} {text}'
        )
    lines += ['', *_summarize(history)]
    return '\n'.join(lines) + '\n'


def _format_fields(line: _line.Line) -> str:
    first = {name: line.get(name) for name in _FIRST_FIELDS if line.get(name)}
    rest = {
        name: value
        for name, value in line.fields.items()
        if name not in (*_FIRST_FIELDS, 'flow')
    }
    return ' '.join(
        f'{name}={value}' for name, value in {**first, **rest}.items()
    )


def _describe_clocks(history: _history.FlowHistory) -> list[str]:
    instances = sorted({line.instance for line in history.own_lines})
    lines = [f'times by the clock of {history.reference}']
    for name in instances:
        clock = history.clocks[name]
        if name == history.reference:
            continue
        if clock.shared_changes:
            lines.append(
                f'  {name}: {clock.offset:+.3f} s, from {clock.shared_changes}'
                ' changes that both have seen'
            )
        else:
            lines.append(
                f'  {name}: not comparable, no change seen by both; its'
                ' place in the order is a guess'
            )
    return lines


def _summarize(history: _history.FlowHistory) -> list[str]:
    flow_lines = history.own_lines
    instances = list(dict.fromkeys(line.instance for line in flow_lines))
    last = flow_lines[-1]
    lines = [
        f'instances: {", ".join(instances)}',
        f'upstreams: {", ".join(history.upstreams) or "none"}',
        f'last decision: {last.message} {last.get("reason")}',
    ]
    left_out = [
        event
        for event in history.events
        if event.line.message == 'lines left out'
    ]
    if left_out:
        lines.append('lines were left out meanwhile: the story has gaps')
    return lines
