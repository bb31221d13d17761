"""The result of upstream selection."""

from __future__ import annotations

import dataclasses
import enum

from skylarkfold import service


class ChoiceReason(enum.StrEnum):
    """Why an upstream was chosen, or why none was."""

    SLOT_HELD = 'slot-held'
    RANDOM = 'random'
    LESS_LOADED = 'less-loaded'
    CHOSEN_ALONE = 'chosen-alone'
    NO_SERVICE = 'no-service'
    NO_UPSTREAM = 'no-upstream'
    NO_ROOM = 'no-room'
    UNREACHABLE_HERE = 'unreachable-here'


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An upstream for a request, or the reason why there is none.

    :param upstream: the upstream to dispatch to; None to wait.
    :param reason: the reason for the choice.
    :param pass_to: a peer to forward the request to, which may be able to
        serve it; None for none.
    """

    upstream: service.Upstream | None
    reason: ChoiceReason
    pass_to: str | None = None
