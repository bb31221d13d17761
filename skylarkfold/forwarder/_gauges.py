"""Gauges exported on the metrics address."""

from __future__ import annotations

from skylarkfold import affinity
from skylarkfold import relay

# The age of a topic that the store has never confirmed.
_NEVER = -1.0


def list_gauges(
    now: float,
    core: affinity.AffinityCore,
    relay_core: relay.RelayCore,
    is_ready: bool,
) -> dict[str, float]:
    """Return the current values of all gauges.

    :param now: the time.
    :param core: the core that places flows.
    :param relay_core: the core that follows the store's topics.
    :param is_ready: whether the instance accepts new flows.
    :returns: values by name.
    """
    directory = core.directory
    gauges = {
        'ready': float(is_ready),
        'version': float(core.version),
        'upstreams': float(len(directory)),
        'upstreams_evacuated': float(directory.count_evacuated()),
        'upstreams_warming': float(directory.count_warming(now)),
        'upstreams_slow': float(directory.count_slow()),
        'slowest_speed': directory.find_slowest(),
        'busiest_over_mean': directory.compute_busiest(now),
        'flows': float(directory.count_flows()),
        'busy': float(directory.count_busy()),
        'link_share': core.room.compute_link_share(now),
        'loss_share': core.room.compute_loss_share(now),
        'short': float(core.room.is_short(now)),
        'peers': float(len(relay_core.peers.list_neighbours())),
    }
    if core.link is not None:
        gauges.update(core.link.list_gauges())
    if core.shares.sharing is not None:
        gauges.update(core.shares.sharing.callers.list_gauges())
    for topic in relay_core.topics:
        age = relay_core.compute_age(now, topic)
        gauges[f'age_seconds_{topic}'] = _NEVER if age is None else age
        position = relay_core.get_position(topic)
        gauges[f'era_{topic}'] = float(position.era)
        gauges[f'revision_{topic}'] = float(position.number)
        retained = relay_core.count_retained(topic)
        gauges[f'retained_{topic}'] = float(retained)
    return gauges
