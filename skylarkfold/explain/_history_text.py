"""A story as text for a person."""

from __future__ import annotations

from skylarkfold.explain import _history
from skylarkfold.explain import _line

_SHOWN_FIRST = ('reason', 'upstream')


def format_history(story: _history.FlowHistory) -> str:
    """Write a story.

    :param story: the story.
    :returns: lines of text.
    """
    if not story.events:
        return f'no line names {story.flow}\n'
    lines = [f'flow {story.flow}', *_describe_clocks(story), '']
    for event in story.events:
        mark = '*' if event.is_flow else ' '
        line = event.line
        text = _describe(line)
        lines.append(
            f'{event.at:+9.3f} s {mark} {line.instance}: {line.message} {text}'
        )
    lines += ['', *_summarize(story)]
    return '\n'.join(lines) + '\n'


def _describe(line: _line.Line) -> str:
    shown = {name: line.get(name) for name in _SHOWN_FIRST if line.get(name)}
    rest = {
        name: value
        for name, value in line.fields.items()
        if name not in (*_SHOWN_FIRST, 'flow')
    }
    return ' '.join(
        f'{name}={value}' for name, value in {**shown, **rest}.items()
    )


def _describe_clocks(story: _history.FlowHistory) -> list[str]:
    instances = sorted({line.instance for line in story.own_lines})
    lines = [f'times by the clock of {story.reference}']
    for name in instances:
        clock = story.clocks[name]
        if name == story.reference:
            continue
        if clock.marks:
            lines.append(
                f'  {name}: {clock.offset:+.3f} s, from {clock.marks}'
                ' changes that both have seen'
            )
        else:
            lines.append(
                f'  {name}: not comparable, no change seen by both; its'
                ' place in the order is a guess'
            )
    return lines


def _summarize(story: _history.FlowHistory) -> list[str]:
    own = story.own_lines
    instances = list(dict.fromkeys(line.instance for line in own))
    last = own[-1]
    lines = [
        f'instances: {", ".join(instances)}',
        f'upstreams: {", ".join(story.upstreams) or "none"}',
        f'last decision: {last.message} {last.get("reason")}',
    ]
    left_out = [
        event
        for event in story.events
        if event.line.message == 'lines left out'
    ]
    if left_out:
        lines.append('lines were left out meanwhile: the story has gaps')
    return lines
