"""How many buckets of a service place new flows by load."""

from __future__ import annotations

from skylarkfold.flows import _settings
from skylarkfold.flows import _state
from skylarkfold.flows import _table
from skylarkfold import service as service_module


def find(
    now: float,
    state: _state.ServiceState,
    settings: _settings.FlowSettings,
) -> int:
    """Find the number of buckets that are to place new flows by load.

    It follows from the table in force and from the load alone, so that
    instances which see the same want the same. Between the two bounds
    the number stays as it is.

    :param now: the time.
    :param state: the service.
    :param settings: the flow settings.
    :returns: a number of buckets.
    """
    least = _table.count_free(state.service, settings)
    current = state.table.count_free()
    if current < least:
        return least
    imbalance = state.load.measure_imbalance(now, state.eligible)
    if imbalance is None or not _is_due(now, state, settings):
        return current
    count = len(state.table.states)
    step = int(count * settings.free_step_share)
    bound = _find_bound(state.service, settings)
    if imbalance > bound:
        return min(current + step, _find_most(count, state, settings))
    if imbalance < 1 + (bound - 1) / 2:
        return max(current - step, least)
    return current


def _is_due(
    now: float,
    state: _state.ServiceState,
    settings: _settings.FlowSettings,
) -> bool:
    if state.adopted_at is None:
        return False
    return now - state.adopted_at >= settings.free_step_seconds


def _find_bound(
    service: service_module.Service, settings: _settings.FlowSettings
) -> float:
    if service.preference is service_module.Preference.BALANCE:
        return settings.balance_imbalance
    return settings.continuity_imbalance


def _find_most(
    count: int,
    state: _state.ServiceState,
    settings: _settings.FlowSettings,
) -> int:
    share = settings.continuity_open_share
    if state.service.preference is service_module.Preference.BALANCE:
        share = settings.balance_open_share
    return max(state.table.count_free(), int(count * share))
