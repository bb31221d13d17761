"""Optional enforcement of callers' shares."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold.affinity import _admission
from skylarkfold.affinity import _directory
from skylarkfold.affinity import _health
from skylarkfold.affinity import _refusal
from skylarkfold.affinity import _route
from skylarkfold import light_imports

if light_imports.TYPE_CHECKING:
    from skylarkfold.affinity import _share_enforcer
    from skylarkfold import shares


class ShareSwitch:
    """Enforces callers' shares if the settings ask for it.

    :param directory: all upstreams.
    :param admission: provides how long requests occupy a slot.
    :param refusals: refuses flows that exceed a share.
    :param health: receives the enforcer, which counts requests of open flows.
    :param find_route: returns the route of an address.
    :ivar sharing: the enforcer; None if shares are not enforced.
    """

    __slots__ = (
        '_admission',
        '_directory',
        '_find_route',
        '_health',
        '_refusals',
        'sharing',
    )

    def __init__(
        self,
        directory: _directory.Directory,
        admission: _admission.Admission,
        refusals: _refusal.Refusals,
        health: _health.HealthMonitor,
        find_route: Callable[[bytes], _route.Route | None],
    ) -> None:
        self._directory = directory
        self._admission = admission
        self._refusals = refusals
        self._health = health
        self._find_route = find_route
        self.sharing: _share_enforcer.ShareEnforcer | None = None

    def put(self, settings: shares.SharesSettings | None) -> None:
        """Apply new settings of shares.

        :param settings: the settings; None, or not enforced, to stop
            enforcement.
        """
        previous, self.sharing = self.sharing, None
        if settings is not None and settings.is_enforced:
            from skylarkfold.affinity import _share_enforcer

            self.sharing = _share_enforcer.ShareEnforcer(
                settings,
                self._directory,
                self._admission,
                self._refusals,
                self._find_route,
                previous,
            )
        self._health.sharing = self.sharing
