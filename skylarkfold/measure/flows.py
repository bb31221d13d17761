"""Measures broken flows, balance and cost of the rules for flows."""

from __future__ import annotations

import collections
import dataclasses

from collections.abc import Iterable
from collections.abc import Iterator

from skylarkfold import event
from skylarkfold.measure import _flow_fleet
from skylarkfold.measure import _flow_placing
from skylarkfold.measure import _flow_rules
from skylarkfold.measure import _flow_scenario
from skylarkfold.measure import _flow_workload

LATE_SECONDS = 5.0
SAMPLE_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class FlowResult:
    """What one rule did in one scenario.

    :param rule: the rule, for this design with the preference.
    :param scenario: which changes or failures happened.
    :param planned: whether all of them were planned.
    :param flows: how many flows reached an upstream.
    :param packets: how many packets were sent.
    :param broken_flows: flows that reached a second upstream although
        their first one lived.
    :param broken_share: the same as a share of all flows.
    :param released_flows: flows that moved since their upstream died.
    :param misdirected_packets: packets that reached another service.
    :param dropped_packets: packets that reached nobody.
    :param imbalance: open flows of the fullest upstream by weight over
        the mean, averaged over the settled end of the run.
    :param late_new_work: new flows on a leaving upstream more than
        LATE_SECONDS after it was told to leave.
    :param control_bytes_per_node_second: encoded bytes of peer messages
        that carry no caller's packet, by instance and second.
    :param redirect_share: peer messages that carry a caller's packet,
        over all packets.
    :param table_writes: conditional writes to the platform.
    """

    rule: str
    scenario: str
    planned: bool
    flows: int
    packets: int
    broken_flows: int
    broken_share: float
    released_flows: int
    misdirected_packets: int
    dropped_packets: int
    imbalance: float
    late_new_work: int
    control_bytes_per_node_second: float
    redirect_share: float
    table_writes: int


class _Run:
    """One rule in one scenario."""

    def __init__(
        self,
        rule: _flow_rules.Rule,
        scenario: _flow_scenario.Scenario,
        seed: int,
    ) -> None:
        self._rule = rule
        self._scenario = scenario
        services = {_flow_scenario.ADDRESS: _flow_scenario.SERVICE}
        self.fleet = _flow_fleet.Fleet(
            rule, _flow_fleet.FleetSettings(), services, seed
        )
        self._settings = _flow_scenario.SiteSettings(
            rule.preference, connections=scenario.connections
        )
        self.site = _flow_scenario.Site(self.fleet, self._settings)
        self._imbalances: list[float] = []
        self._late: collections.Counter[str] = collections.Counter()
        self._on_leaving: dict[str, int] = {}

    def execute(self, packets: list[_flow_workload.Packet]) -> FlowResult:
        """Send all packets and judge.

        :param packets: in the order of arrival.
        :returns: what was seen.
        """
        self.site.open()
        self._schedule_acts()
        begin = self.fleet.now
        self.fleet.schedule.add(SAMPLE_SECONDS, self._sample)
        opening_bytes = self.fleet.links.control_bytes
        self._send(begin, packets)
        seconds = self.fleet.now - begin
        control = self.fleet.links.control_bytes - opening_bytes
        rate = control / seconds / self._settings.instances
        return self._judge(len(packets), rate)

    def _schedule_acts(self) -> None:
        for at, act in self._scenario.acts:
            self.fleet.schedule.add(at, _Act(act, self.site))

    def _send(
        self, begin: float, packets: list[_flow_workload.Packet]
    ) -> None:
        fleet = self.fleet
        address = _flow_scenario.ADDRESS
        callers = _Callers()
        for at, number, is_first, draw in packets:
            fleet.schedule.run_until(begin + at)
            serving = fleet.list_serving()
            fleet.deliver(
                serving[int(draw * len(serving))],
                event.DatagramReceived(
                    address, callers[number], b'', is_first
                ),
            )

    def _sample(self) -> None:
        self.fleet.schedule.add(SAMPLE_SECONDS, self._sample)
        self._count_late()
        if (
            self.fleet.now - _flow_scenario.OPENING_SECONDS
            >= self._scenario.settled_seconds
        ):
            self._imbalances.append(self._weigh_balance())

    def _count_late(self) -> None:
        reached = self.fleet.oracle.first_reached
        for name, left_at in self.site.left_at.items():
            count = reached[(_flow_scenario.SERVICE, name)]
            before = self._on_leaving.get(name, count)
            if self.fleet.now - left_at > LATE_SECONDS + SAMPLE_SECONDS:
                self._late[name] += count - before
            self._on_leaving[name] = count
        for name in set(self._on_leaving) - set(self.site.left_at):
            del self._on_leaving[name]

    def _weigh_balance(self) -> float:
        gap = self._scenario.workload.packet_gap_seconds
        recent = self.fleet.now - 1.5 * gap
        counts = self.fleet.oracle.count_current(recent)
        counts = {name: count for (_, name), count in counts.items()}
        usable = [
            each
            for each in self.site.upstreams
            if each.takes_new_work and each.name not in self.site.left_at
        ]
        weights = sum(each.weight for each in usable)
        mean = sum(counts.get(each.name, 0) for each in usable) / weights
        return (
            max(counts.get(each.name, 0) / each.weight for each in usable)
            / mean
        )

    def _judge(self, packets: int, control: float) -> FlowResult:
        oracle = self.fleet.oracle
        flows = sum(oracle.first_reached.values())
        redirects = self.fleet.links.data_messages
        return FlowResult(
            rule=self._rule.name,
            scenario=self._scenario.name,
            planned=self._scenario.is_planned,
            flows=flows,
            packets=packets,
            broken_flows=len(oracle.breaks),
            broken_share=round(len(oracle.breaks) / flows, 5),
            released_flows=len(oracle.released),
            misdirected_packets=len(oracle.misdirected),
            dropped_packets=sum(oracle.dropped.values()),
            imbalance=round(sum(self._imbalances) / len(self._imbalances), 3),
            late_new_work=sum(self._late.values()),
            control_bytes_per_node_second=round(control, 1),
            redirect_share=round(redirects / packets, 4),
            table_writes=self.fleet.platform.writes,
        )


class _Act:
    __slots__ = ('_act', '_site')

    def __init__(self, act: object, site: _flow_scenario.Site) -> None:
        self._act = act
        self._site = site

    def __call__(self) -> None:
        self._act(self._site)


class _Callers(dict):
    def __missing__(self, number: int) -> object:
        caller = _flow_workload.make_caller(number)
        self[number] = caller
        return caller


def measure(
    seed: int = 1, scenario: str = '', rule: str = '', scale: float = 1.0
) -> list[FlowResult]:
    """Run each rule through each scenario with the same packets.

    :param seed: of all draws.
    :param scenario: one scenario's name, empty for all.
    :param rule: one rule's name, empty for all.
    :param scale: of the rate of new flows; 1.0 gives at least 20,000
        flows in the scenarios of changes.
    :returns: one result for each rule and scenario.
    """
    chosen = [
        each
        for each in _flow_scenario.SCENARIOS
        if scenario in ('', each.name)
    ]
    rules = [each for each in _list_rules() if rule in ('', each.name)]
    return list(_run_all(rules, chosen, seed, scale))


def _run_all(
    rules: Iterable[_flow_rules.Rule],
    scenarios: Iterable[_flow_scenario.Scenario],
    seed: int,
    scale: float,
) -> Iterator[FlowResult]:
    for scenario in scenarios:
        rate = scenario.workload.new_flows_per_second * scale
        workload = dataclasses.replace(
            scenario.workload, new_flows_per_second=rate
        )
        packets = _flow_workload.make_packets(workload, seed)
        for rule in rules:
            if _runs(rule, scenario):
                yield _Run(rule, scenario, seed).execute(packets)


def _list_rules() -> tuple[_flow_rules.Rule, ...]:
    rivals = _flow_rules.BASELINES + _flow_placing.PLACING_RULES
    return rivals + _flow_rules.OWN_RULES


def _runs(rule: _flow_rules.Rule, scenario: _flow_scenario.Scenario) -> bool:
    return rule in _flow_rules.OWN_RULES or rule.name in scenario.rivals
