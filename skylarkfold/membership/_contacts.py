"""Candidates to contact that are not known as live members."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from skylarkfold.membership import _settings
from skylarkfold import platform_api


class Contacts:
    """Seeds and instances from the platform's list, tried round robin.

    The platform's list may be out of date, so it is used for discovery
    only and never changes the state of a member.

    :param settings: the membership's settings.
    :param seed: the hash seed that orders the candidates on this instance.
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
        """Replace the platform's list.

        :param instances: the listed instances.
        """
        self._listed = instances

    def list_unknown(
        self, known_addresses: Iterable[str], zone: str | None = None
    ) -> list[str]:
        """List addresses of seeds and listed instances not known yet.

        :param known_addresses: the addresses of live members, including
            this instance.
        :param zone: if given, list only instances of this zone; seeds are
            always included.
        :returns: addresses, sorted by a hash that is seeded per instance.
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
        """Choose the next candidates, round robin.

        :param candidates: addresses or names.
        :param count: the maximum number to choose.
        :returns: the chosen candidates.
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
