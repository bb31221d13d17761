"""Choices that an instance makes alone."""

from __future__ import annotations

import math
import random

from skylarkfold.selection import _choice
from skylarkfold.selection import _pool
from skylarkfold.selection import _settings
from skylarkfold.selection import _upstream_record


class LocalChooser:
    """Chooses from what this instance has seen, within its share.

    An instance runs at most its part of the service's slots at the same
    time, rounded up; more wait in its admission queue.

    :param settings: the policy and its limits.
    :param generator: draws the candidates.
    """

    __slots__ = ('_generator', '_settings')

    def __init__(
        self,
        settings: _settings.SelectionSettings,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._generator = generator

    def choose(
        self,
        now: float,
        pool: _pool.Pool,
        owners: int,
        exclude: frozenset[str],
    ) -> _choice.Choice:
        """Choose an upstream.

        :param now: the present time.
        :param pool: the service's upstreams.
        :param owners: how many instances share them.
        :param exclude: names that must not be chosen.
        :returns: the choice.
        """
        candidates = [
            each
            for each in pool.list_usable(now)
            if each.upstream.name not in exclude
        ]
        if not candidates:
            return _refuse(_choice.ChoiceReason.NO_UPSTREAM)
        if self._is_full(pool, owners):
            return _refuse(_choice.ChoiceReason.NO_ROOM)
        if self._settings.policy is _settings.Policy.RANDOM:
            chosen = self._generator.choice(candidates)
            return _accept(chosen, _choice.ChoiceReason.RANDOM)
        if self._settings.policy is _settings.Policy.TWO_CHOICES:
            pair = self._draw_pair(candidates)
            chosen = min(pair, key=_measure_reported_load)
            return _accept(chosen, _choice.ChoiceReason.LESS_LOADED)
        return self._choose_seen(now, candidates)

    def _is_full(self, pool: _pool.Pool, owners: int) -> bool:
        running = sum(each.running for each in pool)
        share = self._settings.share_factor * pool.slots / max(1, owners)
        return running >= math.ceil(share)

    def _draw_pair(
        self, candidates: list[_upstream_record.UpstreamRecord]
    ) -> list[_upstream_record.UpstreamRecord]:
        if len(candidates) <= 2:
            return candidates
        return self._generator.sample(candidates, 2)

    def _choose_seen(
        self, now: float, candidates: list[_upstream_record.UpstreamRecord]
    ) -> _choice.Choice:
        """Choose by what was seen here alone, within the limits."""
        with_room = [
            each for each in candidates if each.running < each.get_limit(now)
        ]
        if not with_room:
            return _refuse(_choice.ChoiceReason.NO_ROOM)
        chosen = min(self._draw_pair(with_room), key=_measure_seen_load)
        return _accept(chosen, _choice.ChoiceReason.CHOSEN_ALONE)


def _accept(
    record: _upstream_record.UpstreamRecord, reason: _choice.ChoiceReason
) -> _choice.Choice:
    return _choice.Choice(record.upstream, reason)


def _refuse(reason: _choice.ChoiceReason) -> _choice.Choice:
    return _choice.Choice(None, reason)


def _measure_reported_load(record: _upstream_record.UpstreamRecord) -> float:
    return record.supposed_running / record.upstream.slots


def _measure_seen_load(record: _upstream_record.UpstreamRecord) -> float:
    return (
        (record.running + 1)
        / record.upstream.slots
        * max(record.latency_seconds, 1e-6)
    )
