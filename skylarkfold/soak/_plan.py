"""Random plans: the steps of a run, determined by its seed."""

from __future__ import annotations

import random

# Unplanned faults; they suspend invariants while they last and shortly after.
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
# The kinds below have random generators of their own, so that adding them does
# not change the plans of existing seeds. They suspend no invariant, except for
# restores of the store.
RESTARTS = (
    'upstream-restarted',
    'upstream-restarted-late',
    'entries-foreign',
)

# Evacuations of zones that end again, and invalid evacuation entries.
EVACUATIONS = (
    'zone-evacuated',
    'evacuations-foreign',
)

# The store has an outage and is restored from an older copy.
STORE_RESTORES = ('store-returns',)

# Overload: one caller sends more requests than all others, and packets from
# callers to some instances are lost, as on a saturated link.
OVERLOADS = (
    'caller-presses',
    'link-loses',
)

# Routes with traffic are added and dropped while instances are restarted in
# turn, so that open flows of these routes move to instances that have started.
ROUTE_CHANGES = ('routes-beside-restarts',)

# Store entries that are not valid JSON; the second kind ends all instances
# while such entries stand.
DAMAGE = ('entries-damaged', 'start-beside-damage')
# Kinds with generators of their own that are unplanned faults, too.
ENDINGS = ('start-beside-damage',)


class Step:
    """Fault or operation of a plan.

    :param at: the time in seconds from the start of traffic.
    :param kind: one of the kinds in this module.
    :param seconds: the duration, for kinds that have one.
    :param share: the share of the eligible targets that are affected.
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
    """Draw restarts of upstreams and invalid store entries.

    :param seed: the seed, which determines the steps.
    :param seconds: the duration of the traffic.
    :returns: the steps in order of time.
    """
    return _draw_steps(
        random.Random(f'{seed}/restarts'),
        RESTARTS,
        count_range=(2, 5),
        start_range=(1.0, 0.6 * seconds),
        duration_range=(0.5, 3.0),
    )


def draw_evacuations(seed: int, seconds: float) -> list[Step]:
    """Draw evacuations of zones, which may overlap.

    :param seed: the seed, which determines the steps.
    :param seconds: the duration of the traffic.
    :returns: the steps in order of time.
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
    """Draw restores of the store from older copies, some in quick succession.

    :param seed: the seed, which determines the steps.
    :param seconds: the duration of the traffic.
    :returns: the steps in order of time.
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
    """Draw steps that overload instances and may overlap.

    :param seed: the seed, which determines the steps.
    :param seconds: the duration of the traffic.
    :returns: the steps in order of time.
    """
    return _draw_steps(
        random.Random(f'{seed}/presses'),
        OVERLOADS,
        count_range=(1, 3),
        start_range=(1.0, 0.5 * seconds),
        duration_range=(1.0, 0.25 * seconds),
        share_choices=(0.2, 0.4, 0.7),
    )


def draw_route_changes(seed: int, seconds: float) -> list[Step]:
    """Draw changes of used routes while instances are restarted.

    :param seed: the seed, which determines the steps.
    :param seconds: the duration of the traffic.
    :returns: the steps in order of time.
    """
    return _draw_steps(
        random.Random(f'{seed}/routes'),
        ROUTE_CHANGES,
        count_range=(1, 2),
        start_range=(1.0, 0.3 * seconds),
        duration_range=(0.2 * seconds, 0.4 * seconds),
    )


def draw_damage(seed: int, seconds: float) -> list[Step]:
    """Draw store entries that are not valid JSON.

    :param seed: the seed, which determines the steps.
    :param seconds: the duration of the traffic.
    :returns: the steps in order of time.
    """
    return _draw_steps(
        random.Random(f'{seed}/damage'),
        DAMAGE,
        count_range=(1, 3),
        start_range=(0.5, 0.6 * seconds),
        duration_range=(0.5, 0.3 * seconds),
    )


def draw_plan(seed: int, seconds: float, planned_only: bool) -> list[Step]:
    """Draw the planned operations and faults of a plan.

    :param seed: the seed, which determines the plan.
    :param seconds: the duration of the traffic; the last quarter is calm.
    :param planned_only: whether to omit unplanned faults.
    :returns: the steps in order of time.
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
            # Repeat the step during the first one or shortly after it.
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
    """Draw steps within ranges; without share choices the share is 1."""
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
