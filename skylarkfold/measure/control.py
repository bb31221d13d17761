"""Measures membership and distribution on a virtual clock.

Real nodes exchange real messages through the real codec; only time, the
network and the platform are simulated. Processor time is that of the
decisions and the codec, measured on this machine; sockets and TLS are
not in it. Bytes are sent and received ones, with 100 bytes for each frame.
"""

from __future__ import annotations

import dataclasses

from skylarkfold.measure import _control_result
from skylarkfold.measure import _control_scenario


@dataclasses.dataclass(frozen=True, slots=True)
class _Scale:
    """How long a fleet of some size is watched, in virtual seconds."""

    nodes: int
    zones: int
    window: float
    cut: float
    outage: float


# The virtual time of the large fleet is cut down, and still a run takes a
# few minutes of processor time; ``duration`` of measure multiplies it.
_SCALES = (
    _Scale(nodes=8, zones=3, window=60.0, cut=45.0, outage=3600.0),
    _Scale(nodes=64, zones=6, window=20.0, cut=30.0, outage=60.0),
    _Scale(nodes=600, zones=11, window=5.0, cut=5.0, outage=5.0),
)


def measure(
    seed: int = 1,
    nodes: int = 0,
    duration: float = 1.0,
    delay_milliseconds: float = 10.0,
) -> list[_control_result.ControlResult]:
    """Run every scenario with every size of fleet.

    :param seed: decides delays, losses and jitter.
    :param nodes: 8, 64 or 600 for this size only, 0 for all.
    :param duration: multiplies the virtual time of each scenario.
    :param delay_milliseconds: the platform's delay, twice its usual 5 ms.
    :returns: one result for each size and scenario.
    """
    results = []
    for scale in _SCALES:
        if nodes not in (0, scale.nodes):
            continue
        trial = _control_scenario.Trial(
            seed, scale.nodes, scale.zones, delay_milliseconds / 1000
        )
        trial.start()
        window = scale.window * duration
        results += [
            trial.rest(window),
            trial.change_daily(window),
            trial.change_burst(window),
            trial.lose_messages(window),
            trial.stop_platform(scale.outage * duration),
            trial.cut_zone(scale.cut * duration),
            trial.kill_instances(),
        ]
    return results
