"""Exchange of callers' demand between the affinity core and peers."""

from __future__ import annotations

from skylarkfold import affinity
from skylarkfold import deferred_log
from skylarkfold import errors
from skylarkfold.forwarder import _metrics
from skylarkfold.forwarder import _reporter
from skylarkfold.forwarder import _settings
from skylarkfold import relay


class CallerSharing:
    """Exchanges callers' demand with peers, to compute callers' shares.

    :param core: the core that places flows.
    :param relay_core: the core that sends beacons to peers.
    :param reporter: counts malformed reports.
    """

    __slots__ = ('_core', '_relay', '_reporter')

    def __init__(
        self,
        core: affinity.AffinityCore,
        relay_core: relay.RelayCore,
        reporter: _reporter.Reporter,
    ) -> None:
        self._core = core
        self._relay = relay_core
        self._reporter = reporter

    def apply_settings(
        self,
        forwarder_settings: _settings.ForwarderSettings,
        is_enabled_by_platform: bool,
    ) -> None:
        """Apply the settings of shares.

        :param forwarder_settings: the settings of this instance.
        :param is_enabled_by_platform: whether the platform's settings enable
            shares as well.
        """
        settings = forwarder_settings.shares
        if is_enabled_by_platform:
            from skylarkfold import shares

            settings = (settings or shares.SharesSettings()).enforce()
        self._core.shares.put(settings)
        if self._core.shares.sharing is None:
            self._relay.announcer.callers.put(b'', b'')

    def reload_settings(
        self,
        forwarder_settings: _settings.ForwarderSettings,
        is_enabled_by_platform: bool,
    ) -> None:
        """Reload the settings of shares from their file.

        An invalid file is logged and changes nothing.

        :param forwarder_settings: the settings to update.
        :param is_enabled_by_platform: as for :meth:`apply_settings`.
        """
        try:
            forwarder_settings.shares = _settings.read_forwarder_settings(
                forwarder_settings.path
            ).shares
        except errors.SettingsError as error:
            self._reporter.log(
                'settings', deferred_log.ERROR, reason='kept', error=str(error)
            )
        self.apply_settings(forwarder_settings, is_enabled_by_platform)

    def refresh(self, now: float, zones: int) -> None:
        """Recompute the shares, and the demand announced to peers.

        :param now: the time.
        :param zones: the number of availability zones.
        """
        sharing = self._core.shares.sharing
        if sharing is None:
            return
        from skylarkfold import shares

        mates = self._relay.peers.count_mates()
        sharing.refresh(now, shares.FleetSize(mates, zones))
        callers = sharing.callers
        announced = self._relay.announcer.callers
        announced.put(callers.demand, callers.zone_demand)
        if callers.other_zones:
            announced.put_other_zones(
                callers.other_zones_at, callers.other_zones
            )

    def handle_report(
        self, now: float, effect: relay.CallerDemandReported
    ) -> None:
        """Handle a peer's report of its callers' demand.

        :param now: the time.
        :param effect: the report.
        """
        sharing = self._core.shares.sharing
        if sharing is None:
            return
        is_valid = sharing.callers.handle_report(
            now,
            effect.source,
            effect.is_zone,
            effect.age_seconds,
            effect.demand,
        )
        if not is_valid:
            self._reporter.count(_metrics.CALLERS_MALFORMED)
