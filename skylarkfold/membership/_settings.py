"""Settings of the membership."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of discovery, failure detection and gossip.

    :param seeds: addresses of some instances, each ``host:port``; an
        instance can join through them while the platform is down.
    :param heartbeat_seconds: how often an instance tells its neighbours
        that it is alive.
    :param urgent_seconds: minimum time between heartbeats when a change of
        a revision in force triggers them early.
    :param suspect_seconds: a neighbour that is silent for so long is
        probed by way of other instances.
    :param probe_seconds: how long to wait for the answer to a probe.
    :param dead_seconds: a suspect that does not refute the suspicion
        within this time is declared dead.
    :param zone_suspect_seconds: when nothing was heard from a zone for so
        long, its members are suspect.
    :param zone_dead_seconds: when nothing was heard from a zone for so
        long, its members are dead for this instance until it hears from
        the zone again.
    :param forget_seconds: how long dead and departed members stay in the
        roster.
    :param list_seconds: how often the platform's list is read by the
        first two instances of each zone.
    :param list_timeout_seconds: how long to wait for the platform's list.
    :param reconnect_seconds: how often to contact dead members, members of
        silent zones and unknown instances.
    :param contacts: how many of those to contact at a time.
    :param pause_seconds: a longer time between two ticks means that the
        process was paused and has to sync with others before it is ready.
    :param alone_seconds: an instance that finds no other for so long
        becomes ready alone.
    """

    seeds: tuple[str, ...] = ()
    heartbeat_seconds: float = 1.0
    urgent_seconds: float = 0.5
    suspect_seconds: float = 3.0
    probe_seconds: float = 1.0
    dead_seconds: float = 4.0
    zone_suspect_seconds: float = 15.0
    zone_dead_seconds: float = 60.0
    forget_seconds: float = 600.0
    list_seconds: float = 10.0
    list_timeout_seconds: float = 5.0
    reconnect_seconds: float = 5.0
    contacts: int = 3
    pause_seconds: float = 5.0
    alone_seconds: float = 5.0
