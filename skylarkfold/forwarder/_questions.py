"""What the peers of a zone are to be asked and told of upstreams."""

from __future__ import annotations


class Questions:
    """Gathers it, so that one beacon carries what a moment brings.

    A zone that falls silent, or a link that loses packets, raises dozens of
    questions at once; a beacon each would be a load of its own.
    """

    __slots__ = ('_doubts', '_lost')

    def __init__(self) -> None:
        self._doubts: dict[int, None] = {}
        self._lost: dict[int, None] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to ask or tell."""
        return not self._doubts and not self._lost

    def doubt(self, incarnation: int) -> None:
        """Have peers asked whether they heard an upstream.

        :param incarnation: of the upstream.
        """
        self._doubts[incarnation] = None

    def lose(self, incarnation: int) -> None:
        """Have peers told that an upstream was found out of reach.

        :param incarnation: of the upstream.
        """
        self._lost[incarnation] = None

    def take(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Take all that is to be asked and told.

        :returns: incarnations in doubt, and incarnations out of reach.
        """
        taken = tuple(self._doubts), tuple(self._lost)
        self._doubts.clear()
        self._lost.clear()
        return taken
