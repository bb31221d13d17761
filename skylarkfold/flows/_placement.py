"""Selection of the upstream for a new flow."""

from __future__ import annotations

from skylarkfold.flows import _load
from skylarkfold.flows import _settings
from skylarkfold import service as service_module


def choose_upstream(
    now: float,
    candidates: list[service_module.Upstream],
    load: _load.LoadView,
    settings: _settings.FlowSettings,
    zone: str,
    owner_count: int,
    preferred: str = '',
) -> service_module.Upstream | None:
    """Choose the upstream of a new flow by load.

    All upstreams within ``placement_margin`` of the lowest load qualify. Of
    these the preferred one is chosen, else one in this instance's zone, else
    the least loaded one.

    :param now: the current time.
    :param candidates: the upstreams that may take new flows.
    :param load: the upstreams' load.
    :param settings: the flow settings.
    :param zone: this instance's zone.
    :param owner_count: the number of instances that place flows of this
        service.
    :param preferred: the name of the upstream that needs no pin, empty for
        none.
    :returns: the upstream, or None if none has capacity left.
    """
    usable = [each for each in candidates if load.is_usable(now, each.name)]
    usable = usable or candidates
    ratios = load.estimate_ratios(now, usable, owner_count)
    if not ratios:
        return None
    bound = min(ratios.values()) * (1 + settings.placement_margin)
    best = [
        each for each in usable if ratios.get(each.name, bound + 1) <= bound
    ]
    return min(
        best,
        key=lambda each: (
            each.name != preferred,
            each.zone != zone,
            ratios[each.name],
            each.name,
        ),
    )
