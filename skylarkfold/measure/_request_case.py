"""What one run of the request measure is given."""

from __future__ import annotations

import dataclasses
import enum

from skylarkfold import selection

_ZONES = ('hall-a', 'hall-b', 'hall-c')


class Scenario(enum.StrEnum):
    """What is wrong with the first upstream.

    ``SLOW``: it takes ``slow_factor`` times as long. ``LYING``: the same,
    and it reports that it is healthy and runs nothing. ``COLD``: it joins
    when a tenth of the run is over, and takes ``slow_factor`` times as
    long until it has run ``cold_requests``.
    """

    PLAIN = 'plain'
    SLOW = 'slow'
    LYING = 'lying'
    COLD = 'cold'


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One run: a policy, a load and a scenario.

    :param policy: how upstreams are chosen.
    :param load: offered work as a share of all slots.
    :param scenario: what is wrong.
    :param seed: sets all draws; runs that differ in the policy alone get
        the same requests with the same service times.
    :param requests: how many requests callers send.
    :param instances: entry instances.
    :param upstreams: upstreams of the one service.
    :param slots: slots of each upstream.
    :param backlog: requests that an upstream keeps waiting beyond its
        slots before it sheds.
    :param service_seconds: the mean service time.
    :param service_sigma: the spread of the log-normal service time.
    :param slow_factor: how much slower the odd upstream is.
    :param cold_requests: requests after which a cold upstream is warm.
    :param near_seconds: one way within a zone.
    :param far_seconds: one way between zones.
    :param report_seconds: how often upstreams are asked for their load.
    :param report_lag_seconds: the age of what they answer.
    :param alert_share: the share of alerts.
    :param bulk_share: the share of bulk.
    :param alert_timeout_seconds: an alert's deadline.
    :param exchange_timeout_seconds: an exchange's deadline.
    :param bulk_timeout_seconds: the deadline of bulk.
    :param tick_seconds: how often cores see a tick.
    """

    policy: selection.Policy
    load: float
    scenario: Scenario = Scenario.PLAIN
    seed: int = 1
    requests: int = 8000
    instances: int = 8
    upstreams: int = 7
    slots: int = 2
    backlog: int = 16
    service_seconds: float = 0.1
    service_sigma: float = 0.6
    slow_factor: float = 3.0
    cold_requests: int = 40
    near_seconds: float = 0.0002
    far_seconds: float = 0.0015
    report_seconds: float = 1.0
    report_lag_seconds: float = 0.5
    alert_share: float = 0.1
    bulk_share: float = 0.3
    alert_timeout_seconds: float = 2.0
    exchange_timeout_seconds: float = 4.0
    bulk_timeout_seconds: float = 8.0
    tick_seconds: float = 0.2

    @property
    def rate(self) -> float:
        """Requests that callers send in a second."""
        return self.load * self.upstreams * self.slots / self.service_seconds

    @property
    def seconds(self) -> float:
        """How long callers send requests."""
        return self.requests / self.rate

    @property
    def capacity(self) -> float:
        """Requests that the upstreams can run in a second.

        A cold upstream is counted as if it were warm.
        """
        usual = (self.upstreams - 1) * self.slots / self.service_seconds
        odd = self.slots / self.service_seconds
        if self.scenario in (Scenario.SLOW, Scenario.LYING):
            odd /= self.slow_factor
        return usual + odd

    def get_zone(self, index: int) -> str:
        """Spread instances and upstreams over the zones.

        :param index: the number of an instance or upstream.
        :returns: its zone.
        """
        return _ZONES[index % len(_ZONES)]

    def measure_delay(self, zone: str, other: str) -> float:
        """Tell how long a message takes one way.

        :param zone: from where.
        :param other: to where.
        :returns: seconds.
        """
        return self.near_seconds if zone == other else self.far_seconds
