"""The number of buckets whose new flows are placed by load."""

from __future__ import annotations

from skylarkfold.flows import _settings
from skylarkfold.flows import _state
from skylarkfold.flows import _table
from skylarkfold import service as service_module


def compute_count(
    now: float,
    state: _state.ServiceState,
    settings: _settings.FlowSettings,
) -> int:
    """Compute how many buckets should place new flows by load.

    The result depends only on the current table and on the reported load,
    so that instances with the same data agree. The number grows above the
    imbalance limit and shrinks below half of the excess that the limit
    allows; in between it stays, so that it doesn't oscillate.

    :param now: the current time.
    :param state: the service's state.
    :param settings: the flow settings.
    :returns: the number of buckets.
    """
    minimum = _table.count_balanced(state.service, settings)
    current = state.table.count_balanced()
    if current < minimum:
        return minimum
    imbalance = state.load.measure_imbalance(now, state.eligible)
    if imbalance is None or not _is_step_due(now, state, settings):
        return current
    count = len(state.table.states)
    step = int(count * settings.free_step_share)
    limit = _find_imbalance_limit(state.service, settings)
    if imbalance > limit:
        return min(current + step, _find_maximum(count, state, settings))
    if imbalance < 1 + (limit - 1) / 2:
        return max(current - step, minimum)
    return current


def _is_step_due(
    now: float,
    state: _state.ServiceState,
    settings: _settings.FlowSettings,
) -> bool:
    if state.applied_at is None:
        return False
    return now - state.applied_at >= settings.free_step_seconds


def _find_imbalance_limit(
    service: service_module.Service, settings: _settings.FlowSettings
) -> float:
    if service.preference is service_module.Preference.BALANCE:
        return settings.balance_imbalance
    return settings.continuity_imbalance


def _find_maximum(
    count: int,
    state: _state.ServiceState,
    settings: _settings.FlowSettings,
) -> int:
    share = settings.continuity_open_share
    if state.service.preference is service_module.Preference.BALANCE:
        share = settings.balance_open_share
    return max(state.table.count_balanced(), int(count * share))
