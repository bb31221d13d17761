"""Whether callers are kept to shares here."""

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
    """Loads what keeps callers to their shares where settings ask for it.

    :param directory: all upstreams.
    :param admission: knows how long requests take a slot.
    :param refusals: refuses what is beyond a share.
    :param health: told of what sees the requests of open flows.
    :param find_route: finds the route of an address.
    :ivar sharing: what keeps the shares; None where nothing does.
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
        """Keep callers to their shares from now on, or no more.

        :param settings: how; None, or ones that don't ask for it, for not.
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
