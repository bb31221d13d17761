"""One row of the capacity page."""

from __future__ import annotations

import dataclasses
import enum


class Basis(enum.StrEnum):
    """How a figure was obtained.

    ``MEASURED``: a measure printed it at the target size. ``EXTRAPOLATED``:
    computed from a value measured at another size. ``MISSING``: a value that
    it needs was not measured.
    """

    MEASURED = 'measured'
    EXTRAPOLATED = 'extrapolated'
    MISSING = 'not measured'


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """The amount of one resource that a role needs at the target size.

    :param role: the role.
    :param name: a description of the figure.
    :param value: the amount; None if it was not measured.
    :param unit: its unit.
    :param source: the measure and the fields that it comes from.
    :param carried_by: the mechanism that it depends on, and its module.
    :param budget: the largest allowed amount; None for no limit.
    :param is_measured: whether a measure printed it at the target size.
    """

    role: str
    name: str
    value: float | None
    unit: str
    source: str
    carried_by: str
    budget: float | None = None
    is_measured: bool = False

    @property
    def basis(self) -> Basis:
        """How the figure was obtained."""
        if self.value is None:
            return Basis.MISSING
        return Basis.MEASURED if self.is_measured else Basis.EXTRAPOLATED

    @property
    def load(self) -> float | None:
        """The value as a share of the budget; None if either is missing."""
        if self.value is None or not self.budget:
            return None
        return self.value / self.budget
