"""What each role needs at the full size, worked out from slopes."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from skylarkfold import flows
from skylarkfold.report import _control_lines
from skylarkfold.report import _figure
from skylarkfold.report import _size
from skylarkfold.report import _slopes
from skylarkfold.report import _token_lines

# The measures' own sizes.
MEASURED_INSTANCES = 8
MEASURED_ARRIVAL_SECONDS = 100.0
RULES = ('skylarkfold/continuity', 'skylarkfold/balance')
# A change of a table is written when it is prepared, opened and closed.
TABLE_WRITES_PER_CHANGE = 3
HOLDERS_PER_PIN = 2

Figures = Iterator[_figure.Figure]


def _work_out(
    compute: Callable[..., float], *slopes: float | None
) -> float | None:
    """Compute a figure, or nothing where a slope is missing."""
    if any(each is None for each in slopes):
        return None
    return compute(*slopes)


class Capacity:
    """Works out all figures.

    :param slopes: what the measures printed.
    :param size: the full size.
    :param budget: what there may be.
    """

    def __init__(
        self,
        slopes: _slopes.Slopes,
        size: _size.Size,
        budget: _size.Budget,
    ) -> None:
        self._slopes = slopes
        self._size = size
        self._budget = budget

    def list_figures(self) -> list[_figure.Figure]:
        """List the figures of all roles."""
        return [
            *self._list_data_path(),
            *self._list_homes(),
            *self._list_tables(),
            *self._list_configuration(),
            *self._list_members(),
            *self._list_watchers(),
            *self._list_request_homes(),
            *_token_lines.list_token_figures(
                self._slopes, self._size, self._budget
            ),
        ]

    def _list_data_path(self) -> Figures:
        role = 'Entry as data path'
        packet = 'fast path of known flows: edge/_datagram.py'
        known = self._slopes.find('datapath', 'with_logging_per_core_second')
        new = self._slopes.find('datapath', 'new_flows_per_core_second')
        yield _figure.Figure(
            role,
            'packets there and back that one process carries',
            known,
            'packets/core-second',
            'datapath: with_logging_per_core_second',
            packet,
            is_measured=True,
        )
        yield _figure.Figure(
            role,
            'new flows of one packet that one process carries',
            new,
            'flows/core-second',
            'datapath: new_flows_per_core_second',
            'placement: flows/_router.py',
            is_measured=True,
        )
        needed = self._size.packets_per_node_second
        yield _figure.Figure(
            role,
            f'processor time for {needed:,.0f} packets a second '
            f'(assumed: one a flow in {self._size.packet_gap_seconds:g} s)',
            _work_out(lambda rate: needed / rate, known),
            'cores',
            'datapath: with_logging_per_core_second',
            packet,
            budget=1.0,
        )
        open_flows = self._size.flows_per_node
        yield _figure.Figure(
            role,
            f'packets a second of each of {open_flows:,.0f} flows at which '
            'one process is full',
            _work_out(lambda rate: rate / open_flows, known),
            'packets/s',
            'datapath: with_logging_per_core_second',
            packet,
        )
        yield _figure.Figure(
            role,
            'resident memory of a whole process, one service',
            self._slopes.find('datapath', 'process_mb'),
            'MiB',
            'datapath: process_mb',
            'interpreter, libraries, sockets: daemon.py',
            self._budget.memory_mb,
            is_measured=True,
        )
        begun = self._size.new_flows_per_node_second
        yield _figure.Figure(
            role,
            f'processor time for {begun:.0f} new flows a second',
            _work_out(lambda rate: begun / rate, new),
            'cores',
            'datapath: new_flows_per_core_second',
            'placement: flows/_router.py',
            budget=1.0,
        )

    def _find_bytes_per_new_flow(self) -> float | None:
        """Find the control bytes of a new flow, the dearest planned run."""
        costs = [
            row['control_bytes_per_node_second']
            * MEASURED_INSTANCES
            * MEASURED_ARRIVAL_SECONDS
            / row['flows']
            for rule in RULES
            for row in self._slopes.list_rows('flows', rule=rule, planned=True)
        ]
        return max(costs, default=None)

    def _list_homes(self) -> Figures:
        role = 'Home and replica of pins'
        settings = flows.FlowSettings()
        carried = 'pins by rendezvous hash: flows/_pins.py'
        per_flow = self._slopes.find('flow-cost', 'bytes_per_flow')
        all_pins = self._size.flows_per_node * HOLDERS_PER_PIN
        pins = all_pins * settings.continuity_open_share
        for name, count in (
            (f'all {all_pins:,.0f} flows pinned (all buckets open)', all_pins),
            (f'{pins:,.0f} pins (buckets open at the dial)', pins),
        ):
            yield _figure.Figure(
                role,
                f'memory, {name}',
                _work_out(lambda each, n=count: n * each / 2**20, per_flow),
                'MiB',
                'flow-cost: bytes_per_flow',
                carried,
                self._budget.memory_mb,
            )
        per_new = self._find_bytes_per_new_flow()
        begun = self._size.new_flows_per_node_second
        yield _figure.Figure(
            role,
            'control traffic for new flows during planned changes',
            _work_out(lambda each: begun * each, per_new),
            'bytes/s',
            'flows: control_bytes_per_node_second over new flows',
            'pin updates in batches: flows/_send_queues.py',
            self._budget.bytes_per_second,
        )
        hand_on = settings.hand_on_bytes_per_second
        yield _figure.Figure(
            role,
            f'handing on {pins:,.0f} pins at a planned stop, at most',
            _work_out(lambda each: pins * each / hand_on, per_new),
            's',
            'flows: control bytes a new flow; setting '
            'hand_on_bytes_per_second',
            'handover: flows/_handover.py',
            settings.stop_seconds,
        )

    def _find_at_size(self, field: str) -> float | None:
        return self._slopes.find('sizes', field, services=1400)

    def _list_tables(self) -> Figures:
        role = 'Every instance: bucket tables'
        carried = 'tables by conditional update: flows/_table.py'
        yield _figure.Figure(
            role,
            'memory of the flow core with all tables',
            self._find_at_size('flow_core_mb'),
            'MiB',
            'sizes: flow_core_mb',
            carried,
            self._budget.memory_mb,
            is_measured=True,
        )
        yield _figure.Figure(
            role,
            'processor time of ticks at rest',
            self._find_at_size('tick_share'),
            'cores',
            'sizes: tick_share',
            'pin maintenance: flows/_pin_maintenance.py',
            self._budget.core_share,
            is_measured=True,
        )
        per_table = self._find_at_size('bytes_per_table')
        writes = self._size.changes_per_day * TABLE_WRITES_PER_CHANGE
        yield _figure.Figure(
            role,
            f'traffic of {writes:,} table writes a day, received once',
            _work_out(
                lambda each: writes * each / _size.DAY_SECONDS, per_table
            ),
            'bytes/s',
            'sizes: bytes_per_table',
            'distribution: distribution/_core.py',
            self._budget.bytes_per_second,
        )
        tables = self._find_at_size('table_bytes')
        limit = self._budget.bytes_per_second
        yield _figure.Figure(
            role,
            'a zone is lost, all tables change: receiving them once',
            _work_out(lambda each: each / limit, tables),
            's',
            'sizes: table_bytes',
            'distribution: distribution/_core.py',
            self._budget.propagation_seconds,
        )
        one = self._find_at_size('table_seconds')
        yield _figure.Figure(
            role,
            'a zone is lost, all tables change: taking them',
            _work_out(lambda each: each * self._size.addresses, one),
            's',
            'sizes: table_seconds',
            'flow core: flows/_core.py',
            self._budget.propagation_seconds,
        )

    def _list_configuration(self) -> Figures:
        role = 'Every instance: configuration'
        carried = 'one configuration of all subtrees: assembly.py'
        change = self._find_at_size('change_seconds')
        yield _figure.Figure(
            role,
            'memory',
            self._find_at_size('configuration_mb'),
            'MiB',
            'sizes: configuration_mb',
            carried,
            self._budget.memory_mb,
            is_measured=True,
        )
        yield _figure.Figure(
            role,
            "one team's change: the event loop stands still for",
            change,
            's',
            'sizes: change_seconds',
            carried,
            is_measured=True,
        )
        changes = self._size.changes_per_day
        yield _figure.Figure(
            role,
            f'processor time of {changes:,} changes a day',
            _work_out(lambda each: changes * each / _size.DAY_SECONDS, change),
            'cores',
            'sizes: change_seconds',
            carried,
            self._budget.core_share,
        )

    def _find_control(self, line: _control_lines.Line) -> float | None:
        where: dict[str, str | int] = {'nodes': self._size.nodes}
        if line.scenario:
            where['scenario'] = line.scenario
        return self._slopes.find('control', line.field, **where)

    def _list_members(self) -> Figures:
        role = 'Member and relay'
        carried = 'rings, rumors, zone summaries: membership/'
        for each in _control_lines.list_control_lines(self._budget):
            yield _figure.Figure(
                role,
                each.name,
                self._find_control(each),
                each.unit,
                f'control: {each.field}',
                carried,
                each.limit,
                is_measured=True,
            )
        loss = self._find_at_size('member_seconds')
        changes = 2 * (
            self._size.restarts_per_day + self._size.failures_per_day
        )
        yield _figure.Figure(
            role,
            f'processor time of {changes} joins and leaves a day',
            _work_out(lambda each: changes * each / _size.DAY_SECONDS, loss),
            'cores',
            'sizes: member_seconds',
            'ranking: flows/_ranking.py',
            self._budget.core_share,
        )

    def _list_watchers(self) -> Figures:
        role = 'Watcher of the platform'
        carried = 'a few watchers a zone: distribution/_platform_watch.py'
        for each in _control_lines.list_platform_lines(self._budget):
            yield _figure.Figure(
                role,
                f'{each.name}, whole fleet, worst scenario',
                self._find_control(each),
                each.unit,
                f'control: {each.field}',
                carried,
                each.limit,
                is_measured=True,
            )

    def _list_request_homes(self) -> Figures:
        role = 'Home of request keys'
        carried = 'keys in ranges: requests/'
        traffic = self._slopes.find('keys', 'bytes_per_key')
        work = self._slopes.find('keys', 'decision_us_per_key')
        limit = self._budget.bytes_per_second
        core = self._budget.core_share
        yield _figure.Figure(
            role,
            'traffic for each key, whole fleet, worst scenario',
            traffic,
            'bytes',
            'keys: bytes_per_key',
            carried,
        )
        yield _figure.Figure(
            role,
            'keys that the whole budget of traffic carries',
            _work_out(lambda each: limit / each, traffic),
            'keys/s and node',
            'keys: bytes_per_key',
            carried,
        )
        yield _figure.Figure(
            role,
            'keys that the whole budget of processor time carries',
            _work_out(lambda each: core * 1e6 / each, work),
            'keys/s and node',
            'keys: decision_us_per_key',
            carried,
        )
        yield _figure.Figure(
            role,
            'memory for each remembered key',
            None,
            'bytes',
            'no measure prints it yet',
            carried,
        )
