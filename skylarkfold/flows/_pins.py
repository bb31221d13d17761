"""Flows that are known one by one, kept in two generations.

A flow that is seen moves to the younger generation; the older one is
dropped as a whole at each rotation. So a flow lives at least one period
and at most two after it was last seen, without a time kept for each.
"""

from __future__ import annotations

from collections.abc import Iterator


class PinSet:
    """Flow hashes with the indexes of their upstreams."""

    __slots__ = ('_old', '_young')

    def __init__(self) -> None:
        self._young: dict[int, int] = {}
        self._old: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def __iter__(self) -> Iterator[tuple[int, int]]:
        yield from self._young.items()
        yield from self._old.items()

    def get(self, flow: int) -> int | None:
        """Find a flow and mark it as seen.

        :param flow: the flow's hash.
        :returns: its upstream's index, or None if it is not known.
        """
        upstream = self._young.get(flow)
        if upstream is None and self._old:
            upstream = self._old.pop(flow, None)
            if upstream is not None:
                self._young[flow] = upstream
        return upstream

    def peek(self, flow: int) -> int | None:
        """Find a flow without marking it as seen.

        :param flow: the flow's hash.
        :returns: its upstream's index, or None if it is not known.
        """
        upstream = self._young.get(flow)
        return self._old.get(flow) if upstream is None else upstream

    def put(self, flow: int, upstream: int) -> None:
        """Keep a flow as just seen.

        :param flow: the flow's hash.
        :param upstream: its upstream's index.
        """
        self._old.pop(flow, None)
        self._young[flow] = upstream

    def rotate(self) -> dict[int, int]:
        """Begin a new generation.

        :returns: the flows that were not seen for a whole period; they
            are no longer kept.
        """
        expired = self._old
        self._old = self._young
        self._young = {}
        return expired

    def list_upstreams(self) -> set[int]:
        """List the upstreams that any kept flow is on."""
        return {*self._young.values(), *self._old.values()}

    def remove_upstreams(self, upstreams: set[int]) -> None:
        """Forget all flows on some upstreams.

        :param upstreams: their indexes.
        """
        self._young = _exclude_upstreams(self._young, upstreams)
        self._old = _exclude_upstreams(self._old, upstreams)

    def clear(self) -> None:
        """Forget all flows."""
        self._young = {}
        self._old = {}


def _exclude_upstreams(
    flows: dict[int, int], upstreams: set[int]
) -> dict[int, int]:
    return {
        flow: upstream
        for flow, upstream in flows.items()
        if upstream not in upstreams
    }
