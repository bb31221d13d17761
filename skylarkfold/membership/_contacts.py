"""Whom to approach that is not, or no longer, a known live member."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from skylarkfold.membership import _settings
from skylarkfold import platform_api


class Contacts:
    """Seeds and listed instances, tried in turn.

    The platform's list lags: it introduces instances, but it makes nobody
    alive, leaving or dead.

    :param settings: the membership's settings.
    :param seed: where this instance begins in the round.
    """

    __slots__ = ('_hash_seed', '_listed', '_next_index', '_settings')

    def __init__(
        self, settings: _settings.MembershipSettings, seed: int
    ) -> None:
        self._settings = settings
        self._hash_seed = seed
        self._next_index = 0
        self._listed: tuple[platform_api.ListedInstance, ...] = ()

    def set_listed(
        self, instances: tuple[platform_api.ListedInstance, ...]
    ) -> None:
        """Take the platform's list.

        :param instances: its entries.
        """
        self._listed = instances

    def list_unknown(
        self, known_addresses: Iterable[str], zone: str | None = None
    ) -> list[str]:
        """List addresses of seeds and listed instances not known yet.

        :param known: the addresses of live members and the own one.
        :param own_zone: if given, only listed instances of this zone.
        :returns: addresses in this instance's own order.
        """
        skipped = set(known_addresses)
        listed = (
            each.address
            for each in self._listed
            if not each.leaving and zone in (None, each.zone)
        )
        found = {*listed, *self._settings.seeds} - skipped
        return sorted(found, key=self._hash)

    def choose_next(self, candidates: list[str], count: int) -> list[str]:
        """Choose the next candidates in turn.

        :param candidates: addresses or names.
        :param count: how many.
        :returns: at most so many of them.
        """
        if not candidates:
            return []
        chosen = [
            candidates[(self._next_index + step) % len(candidates)]
            for step in range(min(count, len(candidates)))
        ]
        self._next_index += len(chosen)
        return chosen

    def _hash(self, text: str) -> int:
        return xxhash.xxh3_64_intdigest(text.encode(), seed=self._hash_seed)
