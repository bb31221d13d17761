"""Callers' packets for a run, the same for each rule."""

from __future__ import annotations

import dataclasses
import random

from collections.abc import Iterator
from typing import NamedTuple

from skylarkfold import endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class WorkloadSettings:
    """What callers send.

    :param duration_seconds: the length of the run.
    :param new_flows_per_second: how many flows begin in a second.
    :param arrival_seconds: for how long flows begin.
    :param mean_life_seconds: the mean of the exponential length of life.
    :param long_lived_share: the share of flows that outlast the run.
    :param packet_gap_seconds: the mean time between packets of a flow.
    :param early_share: the share of flows that send their second packet
        a few milliseconds after the first.
    :param doubled_share: the share of packets that arrive twice.
    :param reordered_share: the share of early second packets that arrive
        before the first one.
    :param is_marked: whether a first packet carries a mark.
    """

    duration_seconds: float = 100.0
    new_flows_per_second: float = 220.0
    arrival_seconds: float = 100.0
    mean_life_seconds: float = 30.0
    long_lived_share: float = 0.04
    packet_gap_seconds: float = 3.0
    early_share: float = 0.05
    doubled_share: float = 0.005
    reordered_share: float = 0.0
    is_marked: bool = True


class Packet(NamedTuple):
    """One packet; a named tuple, since runs hold hundreds of thousands.

    :param at: when it arrives, in seconds.
    :param flow: the number of its flow.
    :param is_first: the mark that it carries.
    :param draw: from 0 to 1, which instance the fabric picks.
    """

    at: float
    flow: int
    is_first: bool | None
    draw: float


def make_packets(settings: WorkloadSettings, seed: int) -> list[Packet]:
    """Draw all packets of a run.

    :param settings: what callers send.
    :param seed: of all draws.
    :returns: the packets in the order of their arrival.
    """
    source = random.Random(seed)
    packets: list[Packet] = []
    begins = _draw_begins(settings, source)
    for number, begin in enumerate(begins):
        packets += _draw_flow(settings, source, number, begin)
    packets.sort()
    return packets


def make_caller(number: int) -> endpoint.Endpoint:
    """Make the address of a flow's caller.

    :param number: the flow's number.
    :returns: an address that no other number has.
    """
    host = number // 50000
    return endpoint.Endpoint(
        f'10.9.{host // 250}.{host % 250 + 1}', (10000 + number % 50000)
    )


def _draw_begins(
    settings: WorkloadSettings, source: random.Random
) -> Iterator[float]:
    at = 0.0
    while True:
        at += source.expovariate(settings.new_flows_per_second)
        if at >= settings.arrival_seconds:
            return
        yield at


def _draw_flow(
    settings: WorkloadSettings,
    source: random.Random,
    number: int,
    begin: float,
) -> Iterator[Packet]:
    end = min(begin + _draw_life(settings, source), settings.duration_seconds)
    first, other = (True, False) if settings.is_marked else (None, None)
    early = source.random() < settings.early_share
    swapped = early and source.random() < settings.reordered_share
    marks = [other, first] if swapped else [first, other]
    at = begin
    sent = 0
    while at < end or sent == 0:
        mark = marks[sent] if sent < len(marks) else other
        yield Packet(at, number, mark, source.random())
        if source.random() < settings.doubled_share:
            again = at + source.uniform(0.0, 0.01)
            yield Packet(again, number, mark, source.random())
        sent += 1
        at += _draw_gap(settings, source, early and sent == 1)


def _draw_life(settings: WorkloadSettings, source: random.Random) -> float:
    if source.random() < settings.long_lived_share:
        return settings.duration_seconds
    return source.expovariate(1 / settings.mean_life_seconds)


def _draw_gap(
    settings: WorkloadSettings, source: random.Random, is_early: bool
) -> float:
    if is_early:
        return source.uniform(0.0005, 0.01)
    return settings.packet_gap_seconds * source.uniform(0.5, 1.5)
