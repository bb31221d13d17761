"""What a seed draws."""

from __future__ import annotations

import random

# The faults that are no planned work.
UNPLANNED = (
    'kill',
    'freeze',
    'kill-all',
    'store-silent',
    'store-busy',
    'store-many',
    'store-reset',
    'store-slow',
    'store-forgets',
    'store-delayed',
    'store-one-way',
    'connections-silent',
    'connections-reset',
    'upstream-crash',
    'upstream-dark',
    'upstream-reused',
)
PLANNED = (
    'term',
    'hangup',
    'tear-settings',
    'drain',
    'add-upstream',
    'change-timeouts',
    'add-route',
    'remove-route',
    'storm',
)
# Drawn apart from the others, so that older seeds stay as they were. No
# promise is suspended by them.
RESTARTS = (
    'upstream-restarted',
    'upstream-restarted-late',
    'entries-foreign',
)

# Drawn apart as well. Zones are emptied and taken back; other writers leave
# entries of that kind.
EVACUATIONS = (
    'zone-evacuated',
    'evacuations-foreign',
)

# Drawn apart as well: the store comes back from an older copy.
STORE_RESTORES = ('store-returns',)

# Drawn apart as well: hard load. Callers' packets to some instances get lost,
# as on a link that is full, and one caller asks for more than all others. No
# promise is suspended by them.
OVERLOADS = (
    'caller-presses',
    'link-loses',
)


class Step:
    """One event.

    :param at: seconds from the start of traffic.
    :param kind: one of this module's words.
    :param seconds: how long it lasts, where it does.
    :param share: which part of the things that fit.
    """

    __slots__ = ('at', 'kind', 'seconds', 'share')

    def __init__(
        self, at: float, kind: str, seconds: float, share: float
    ) -> None:
        self.at = at
        self.kind = kind
        self.seconds = seconds
        self.share = share

    def __repr__(self) -> str:
        return (
            f'{self.at:.2f} s {self.kind} for {self.seconds:.1f} s,'
            f' {self.share:.0%}'
        )


def draw_restarts(seed: int, seconds: float) -> list[Step]:
    """Draw new starts of upstreams, and entries of other writers.

    :param seed: the seed; the same one draws the same steps.
    :param seconds: how long traffic lasts.
    :returns: steps in order.
    """
    return _draw_steps(
        random.Random(f'{seed}/restarts'),
        RESTARTS,
        count_range=(2, 5),
        start_range=(1.0, 0.6 * seconds),
        duration_range=(0.5, 3.0),
    )


def draw_evacuations(seed: int, seconds: float) -> list[Step]:
    """Draw evacuations, several of which may overlap.

    :param seed: the seed; the same one draws the same steps.
    :param seconds: how long traffic lasts.
    :returns: steps in order.
    """
    return _draw_steps(
        random.Random(f'{seed}/evacuations'),
        EVACUATIONS,
        count_range=(1, 3),
        start_range=(0.5, 0.3 * seconds),
        duration_range=(0.2 * seconds, 0.5 * seconds),
        share_choices=(0.4, 0.7),
    )


def draw_store_restores(seed: int, seconds: float) -> list[Step]:
    """Draw returns of the store from older copies; two may be close.

    :param seed: the seed; the same one draws the same steps.
    :param seconds: how long traffic lasts.
    :returns: steps in order.
    """
    generator = random.Random(f'{seed}/returns')
    steps = []
    for _ in range(generator.randint(1, 3)):
        at = generator.uniform(2.0, 0.6 * seconds)
        outage_seconds = generator.uniform(0.3, 2.5)
        steps.append(Step(at, STORE_RESTORES[0], outage_seconds, 1.0))
        if generator.random() < 0.3:
            steps.append(
                Step(at + outage_seconds + 0.7, STORE_RESTORES[0], 0.3, 1.0)
            )
    return sorted(steps, key=lambda step: step.at)


def draw_overloads(seed: int, seconds: float) -> list[Step]:
    """Draw hard load, several kinds of which may overlap.

    :param seed: the seed; the same one draws the same steps.
    :param seconds: how long traffic lasts.
    :returns: steps in order.
    """
    return _draw_steps(
        random.Random(f'{seed}/presses'),
        OVERLOADS,
        count_range=(1, 3),
        start_range=(1.0, 0.5 * seconds),
        duration_range=(1.0, 0.25 * seconds),
        share_choices=(0.2, 0.4, 0.7),
    )


def draw_plan(seed: int, seconds: float, planned_only: bool) -> list[Step]:
    """Draw a plan.

    :param seed: the seed; the same one draws the same plan.
    :param seconds: how long traffic lasts; the last quarter is calm.
    :param planned_only: whether to leave unplanned faults out.
    :returns: steps in order.
    """
    generator = random.Random(seed)
    kinds = PLANNED if planned_only else PLANNED + UNPLANNED
    steps = []
    for _ in range(generator.randint(3, 8)):
        at = generator.uniform(1.0, 0.7 * seconds)
        kind = generator.choice(kinds)
        max_seconds = 0.75 * seconds - at + 0.5
        step = Step(
            at,
            kind,
            min(generator.uniform(0.3, 4.0), max_seconds),
            generator.choice((0.2, 0.4, 0.7, 1.0)),
        )
        steps.append(step)
        if generator.random() < 0.3:
            # The same again, while the first one lasts or soon after.
            repeated_at = min(at + generator.uniform(0.1, 3.0), 0.7 * seconds)
            steps.append(Step(repeated_at, kind, step.seconds, step.share))
    return sorted(steps, key=lambda step: step.at)


def _draw_steps(
    generator: random.Random,
    kinds: tuple[str, ...],
    count_range: tuple[int, int],
    start_range: tuple[float, float],
    duration_range: tuple[float, float],
    share_choices: tuple[float, ...] = (),
) -> list[Step]:
    """Draw steps within bounds; without shares each takes all that fits."""
    steps = [
        Step(
            generator.uniform(*start_range),
            generator.choice(kinds),
            generator.uniform(*duration_range),
            generator.choice(share_choices) if share_choices else 1.0,
        )
        for _ in range(generator.randint(*count_range))
    ]
    return sorted(steps, key=lambda step: step.at)
