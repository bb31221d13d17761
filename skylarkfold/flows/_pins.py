"""A set of pins that expires idle flows in two generations.

A flow that is seen moves to the young generation; each rotation drops the
old one. A flow thus expires one to two periods after it was last seen,
without a timestamp for each flow.
"""

from __future__ import annotations

from collections.abc import Iterator


class PinSet:
    """A mapping from flow hashes to upstream indexes."""

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
        """Return the upstream of a flow and mark the flow as seen.

        :param flow: the flow's hash.
        :returns: the upstream's index, or None if the flow is unknown.
        """
        upstream = self._young.get(flow)
        if upstream is None and self._old:
            upstream = self._old.pop(flow, None)
            if upstream is not None:
                self._young[flow] = upstream
        return upstream

    def peek(self, flow: int) -> int | None:
        """Return the upstream of a flow without marking the flow as seen.

        :param flow: the flow's hash.
        :returns: the upstream's index, or None if the flow is unknown.
        """
        upstream = self._young.get(flow)
        return self._old.get(flow) if upstream is None else upstream

    def put(self, flow: int, upstream: int) -> None:
        """Add a flow, or replace its upstream, and mark it as seen.

        :param flow: the flow's hash.
        :param upstream: the upstream's index.
        """
        self._old.pop(flow, None)
        self._young[flow] = upstream

    def rotate(self) -> dict[int, int]:
        """Begin a new generation and drop the old one.

        :returns: the dropped flows with their upstreams; they were not seen
            for at least one period.
        """
        expired = self._old
        self._old = self._young
        self._young = {}
        return expired

    def list_upstreams(self) -> set[int]:
        """Return the indexes of all upstreams that have flows."""
        return {*self._young.values(), *self._old.values()}

    def remove_upstreams(self, upstreams: set[int]) -> None:
        """Remove all flows of some upstreams.

        :param upstreams: the upstreams' indexes.
        """
        self._young = _exclude_upstreams(self._young, upstreams)
        self._old = _exclude_upstreams(self._old, upstreams)

    def clear(self) -> None:
        """Remove all flows."""
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
