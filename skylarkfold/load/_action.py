"""Actions of a scenario: operations and faults during a run."""

from __future__ import annotations

import msgspec


class Action(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field='action',
):
    """Operation or fault that a run performs once.

    :param at_seconds: the time in seconds after traffic starts.
    """

    at_seconds: float


class DrainUpstream(Action, tag='drain-upstream', frozen=True, kw_only=True):
    """Drain of an upstream with the operators' command line."""

    service: str
    upstream: str


class UndrainUpstream(
    Action, tag='undrain-upstream', frozen=True, kw_only=True
):
    """Return of a drained upstream to service."""

    service: str
    upstream: str


class AddUpstream(Action, tag='add-upstream', frozen=True, kw_only=True):
    """Start of a new upstream that is then added to the settings."""

    service: str
    upstream: str


class ChangeWeight(Action, tag='change-weight', frozen=True, kw_only=True):
    """Change of an upstream's weight in the settings."""

    service: str
    upstream: str
    weight: float


class RaceOperators(Action, tag='race-operators', frozen=True, kw_only=True):
    """Concurrent drains of several upstreams."""

    service: str
    upstreams: list[str]


class KillUpstream(Action, tag='kill-upstream', frozen=True, kw_only=True):
    """Crash of an upstream that is not restarted."""

    service: str
    upstream: str


class ChangeBehaviour(
    Action, tag='change-behaviour', frozen=True, kw_only=True
):
    """Temporary change of an upstream's behaviour.

    :param upstream: the upstream's name.
    :param behaviour: the fields of the behaviour to change.
    :param back: the fields to set when the change ends.
    :param for_seconds: the duration; 0 for a change that does not end.
    """

    upstream: str
    behaviour: dict[str, float | bool | int | None]
    back: dict[str, float | bool | int | None] = {}
    for_seconds: float = 0.0


class ReplaceInstance(
    Action, tag='replace-instance', frozen=True, kw_only=True
):
    """Graceful stop of an instance, which is then replaced.

    :param instance: the instance's number, from 0.
    """

    instance: int


class KillInstance(Action, tag='kill-instance', frozen=True, kw_only=True):
    """Kill of an instance, which is replaced after a delay.

    :param instance: the instance's number, from 0.
    :param replace_after_seconds: the delay until the replacement starts.
    """

    instance: int
    replace_after_seconds: float = 2.0


class PauseInstance(Action, tag='pause-instance', frozen=True, kw_only=True):
    """Suspension of an instance's process for a while.

    :param instance: the instance's number, from 0.
    :param for_seconds: the duration.
    """

    instance: int
    for_seconds: float


class BreakPlatform(Action, tag='break-platform', frozen=True, kw_only=True):
    """Temporary faults of the platform, for one zone or all zones.

    :param faults: the fault settings of the platform stand-in.
    :param for_seconds: the duration.
    :param zone: the affected zone; empty for all zones.
    """

    faults: dict[str, float | bool | int]
    for_seconds: float
    zone: str = ''


AnyAction = (
    DrainUpstream
    | UndrainUpstream
    | AddUpstream
    | ChangeWeight
    | RaceOperators
    | KillUpstream
    | ChangeBehaviour
    | ReplaceInstance
    | KillInstance
    | PauseInstance
    | BreakPlatform
)
