"""The switches of the platform stand-in."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """What is wrong with the platform at present.

    :param delay_ms: how long each answer is delayed.
    :param down: drop each call without effect and without an answer.
    :param lose_answers: of how many next writes the answer is lost
        after the write took effect; -1 for all.
    :param list_lag_s: how old the list of instances is.
    :param stale_reads: answer reads, lists and watches from the state
        at the moment when this was switched on.
    """

    delay_ms: float = 0.0
    down: bool = False
    lose_answers: int = 0
    list_lag_s: float = 0.0
    stale_reads: bool = False
