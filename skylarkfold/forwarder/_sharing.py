"""Callers' shares between the decisions on flows and the peers."""

from __future__ import annotations

from skylarkfold import affinity
from skylarkfold import deferred_log
from skylarkfold import errors
from skylarkfold.forwarder import _metrics
from skylarkfold.forwarder import _reporter
from skylarkfold.forwarder import _settings
from skylarkfold import relay


class CallerSharing:
    """Exchanges what callers ask for with the other instances.

    :param core: the decisions on flows.
    :param relay_core: speaks to the peers.
    :param reporter: counts words that can't be true.
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

    def put(self, own: _settings.ForwarderSettings, is_asked: bool) -> None:
        """Put settings in force.

        :param own: the settings of this instance.
        :param is_asked: whether the platform's settings ask for shares, too.
        """
        settings = own.shares
        if is_asked:
            from skylarkfold import shares

            settings = (settings or shares.SharesSettings()).enforce()
        self._core.shares.put(settings)
        if self._core.shares.sharing is None:
            self._relay.announcer.callers.put(b'', b'')

    def reload(self, own: _settings.ForwarderSettings, is_asked: bool) -> None:
        """Read this instance's settings of shares again.

        What can't be used changes nothing.

        :param own: the settings, which take the new ones.
        :param is_asked: as for :meth:`put`.
        """
        try:
            own.shares = _settings.read_forwarder_settings(own.path).shares
        except errors.SettingsError as error:
            self._reporter.log(
                'settings', deferred_log.ERROR, reason='kept', error=str(error)
            )
        self.put(own, is_asked)

    def refresh(self, now: float, zones: int) -> None:
        """Work out the shares, and what peers are told next.

        :param now: the time.
        :param zones: how many availability zones there are.
        """
        sharing = self._core.shares.sharing
        if sharing is None:
            return
        from skylarkfold import shares

        mates = self._relay.peers.count_mates()
        sharing.refresh(now, shares.FleetSize(mates, zones))
        callers = sharing.callers
        words = self._relay.announcer.callers
        words.put(callers.demand, callers.zone_demand)
        if callers.other_zones:
            words.put_other_zones(callers.other_zones_at, callers.other_zones)

    def take(self, now: float, wanted: relay.CallerDemandReported) -> None:
        """Take what a peer tells of callers.

        :param now: the time.
        :param wanted: its word.
        """
        sharing = self._core.shares.sharing
        if sharing is None:
            return
        is_sound = sharing.callers.handle_report(
            now,
            wanted.source,
            wanted.is_zone,
            wanted.age_seconds,
            wanted.demand,
        )
        if not is_sound:
            self._reporter.count(_metrics.CALLERS_MALFORMED)
