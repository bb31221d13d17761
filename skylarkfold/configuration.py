"""The active configuration of an instance."""

from __future__ import annotations

import dataclasses

from skylarkfold import service


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All services, built from the last valid subtree of each team.

    :param revision: the store's revision up to which all objects are
        applied; it never decreases.
    :param services: the services by name.
    """

    revision: int
    services: dict[str, service.Service]


EMPTY = Configuration(revision=0, services={})
