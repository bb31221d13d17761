"""Upstream selection without a coordinator."""

from __future__ import annotations

import math
import random

from skylarkfold.selection import _choice
from skylarkfold.selection import _pool
from skylarkfold.selection import _settings
from skylarkfold.selection import _upstream_record


class LocalChooser:
    """Chooses upstreams by what this instance observed.

    The requests that an instance runs at the same time are limited to its
    share of the service's slots, rounded up; others wait in its admission
    queue.

    :param settings: the selection settings.
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
        pool: _pool.UpstreamPool,
        owners: int,
        exclude: frozenset[str],
    ) -> _choice.Choice:
        """Choose an upstream.

        :param now: the current time.
        :param pool: the service's upstreams.
        :param owners: the number of instances that share the slots.
        :param exclude: names of upstreams to skip.
        :returns: the choice.
        """
        candidates = [
            each
            for each in pool.list_usable(now)
            if each.upstream.name not in exclude
        ]
        if not candidates:
            return _build_refusal(_choice.ChoiceReason.NO_UPSTREAM)
        if self._has_reached_share(pool, owners):
            return _build_refusal(_choice.ChoiceReason.NO_ROOM)
        if self._settings.policy is _settings.Policy.RANDOM:
            chosen = self._generator.choice(candidates)
            return _build_choice(chosen, _choice.ChoiceReason.RANDOM)
        if self._settings.policy is _settings.Policy.TWO_CHOICES:
            pair = self._draw_pair(candidates)
            chosen = min(pair, key=_compute_reported_load)
            return _build_choice(chosen, _choice.ChoiceReason.LESS_LOADED)
        return self._choose_by_observed_load(now, candidates)

    def _has_reached_share(
        self, pool: _pool.UpstreamPool, owners: int
    ) -> bool:
        running = sum(each.running for each in pool)
        share = self._settings.share_factor * pool.slots / max(1, owners)
        return running >= math.ceil(share)

    def _draw_pair(
        self, candidates: list[_upstream_record.UpstreamRecord]
    ) -> list[_upstream_record.UpstreamRecord]:
        if len(candidates) <= 2:
            return candidates
        return self._generator.sample(candidates, 2)

    def _choose_by_observed_load(
        self, now: float, candidates: list[_upstream_record.UpstreamRecord]
    ) -> _choice.Choice:
        """Choose the less loaded of two upstreams below their limits."""
        available = [
            each for each in candidates if each.running < each.get_limit(now)
        ]
        if not available:
            return _build_refusal(_choice.ChoiceReason.NO_ROOM)
        chosen = min(self._draw_pair(available), key=_compute_observed_load)
        return _build_choice(chosen, _choice.ChoiceReason.CHOSEN_ALONE)


def _build_choice(
    record: _upstream_record.UpstreamRecord, reason: _choice.ChoiceReason
) -> _choice.Choice:
    return _choice.Choice(record.upstream, reason)


def _build_refusal(reason: _choice.ChoiceReason) -> _choice.Choice:
    return _choice.Choice(None, reason)


def _compute_reported_load(record: _upstream_record.UpstreamRecord) -> float:
    return record.estimated_running / record.upstream.slots


def _compute_observed_load(record: _upstream_record.UpstreamRecord) -> float:
    return (
        (record.running + 1)
        / record.upstream.slots
        * max(record.latency_seconds, 1e-6)
    )
