"""The decision core that the measure drives."""

from __future__ import annotations

from skylarkfold import instance
from skylarkfold.measure import _request_case
from skylarkfold import requests
from skylarkfold import selection

_SEEDS = 1000

# Instances that choose alone send as much as they get: with any tighter
# bound of their own, random and two choices did worse.
_UNBOUNDED = 1000.0


def build_core(
    settings: instance.InstanceSettings,
    case: _request_case.Case,
    index: int,
) -> requests.RequestCore:
    """Build one instance's request core as in the daemon.

    :param settings: the instance.
    :param case: the run, which names the policy.
    :param index: the instance's number.
    :returns: the core.
    """
    share_factor = _UNBOUNDED
    if case.policy is selection.Policy.SLOTS:
        share_factor = selection.SelectionSettings().share_factor
    return requests.RequestCore(
        settings,
        requests.RequestSettings(
            selection=selection.SelectionSettings(
                policy=case.policy, share_factor=share_factor
            )
        ),
        case.seed * _SEEDS + index,
    )
