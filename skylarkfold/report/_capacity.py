"""Resources that each role needs at the target size."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from skylarkfold import flows
from skylarkfold.report import _control_figures
from skylarkfold.report import _figure
from skylarkfold.report import _measured_figures
from skylarkfold.report import _target_size
from skylarkfold.report import _token_figures

# Size of the ``flows`` measure: instances, and the time in which flows arrive.
MEASURED_INSTANCES = 8
MEASURED_ARRIVAL_SECONDS = 100.0
PLACEMENT_RULES = ('skylarkfold/continuity', 'skylarkfold/balance')
# A table is written when a change is prepared, opened and closed.
TABLE_WRITES_PER_CHANGE = 3
COPIES_PER_PIN = 2

Figures = Iterator[_figure.Figure]


def _compute_if_measured(
    compute: Callable[..., float], *values: float | None
) -> float | None:
    """Compute a figure, or return None if a measured value is missing."""
    if any(each is None for each in values):
        return None
    return compute(*values)


class CapacityModel:
    """Model of the resources that a fleet of the target size needs.

    :param measured: the figures that the measures printed.
    :param size: the target size.
    :param budget: the resource limits.
    """

    def __init__(
        self,
        measured: _measured_figures.MeasuredFigures,
        size: _target_size.TargetSize,
        budget: _target_size.Budget,
    ) -> None:
        self._measured = measured
        self._size = size
        self._budget = budget

    def list_figures(self) -> list[_figure.Figure]:
        """Return the figures of all roles."""
        return [
            *self._list_data_path(),
            *self._list_pin_homes(),
            *self._list_tables(),
            *self._list_configuration(),
            *self._list_members(),
            *self._list_watchers(),
            *self._list_request_key_homes(),
            *_token_figures.list_token_figures(
                self._measured, self._size, self._budget
            ),
        ]

    def _list_data_path(self) -> Figures:
        role = 'Entry as data path'
        fast_path = 'fast path of known flows: edge/_datagram.py'
        known_rate = self._measured.find(
            'datapath', 'with_logging_per_core_second'
        )
        new_flow_rate = self._measured.find(
            'datapath', 'new_flows_per_core_second'
        )
        yield _figure.Figure(
            role,
            'packets there and back that one process carries',
            known_rate,
            'packets/core-second',
            'datapath: with_logging_per_core_second',
            fast_path,
            is_measured=True,
        )
        yield _figure.Figure(
            role,
            'new flows of one packet that one process carries',
            new_flow_rate,
            'flows/core-second',
            'datapath: new_flows_per_core_second',
            'placement: flows/_router.py',
            is_measured=True,
        )
        packets = self._size.packets_per_node_second
        yield _figure.Figure(
            role,
            f'processor time for {packets:,.0f} packets a second '
            f'(assumed: one a flow in {self._size.packet_gap_seconds:g} s)',
            _compute_if_measured(lambda rate: packets / rate, known_rate),
            'cores',
            'datapath: with_logging_per_core_second',
            fast_path,
            budget=1.0,
        )
        open_flows = self._size.flows_per_node
        yield _figure.Figure(
            role,
            f'packets a second of each of {open_flows:,.0f} flows at which '
            'one process is full',
            _compute_if_measured(lambda rate: rate / open_flows, known_rate),
            'packets/s',
            'datapath: with_logging_per_core_second',
            fast_path,
        )
        yield _figure.Figure(
            role,
            'resident memory of a whole process, one service',
            self._measured.find('datapath', 'process_mb'),
            'MiB',
            'datapath: process_mb',
            'interpreter, libraries, sockets: daemon.py',
            self._budget.memory_mb,
            is_measured=True,
        )
        new_flows = self._size.new_flows_per_node_second
        yield _figure.Figure(
            role,
            f'processor time for {new_flows:.0f} new flows a second',
            _compute_if_measured(lambda rate: new_flows / rate, new_flow_rate),
            'cores',
            'datapath: new_flows_per_core_second',
            'placement: flows/_router.py',
            budget=1.0,
        )

    def _find_bytes_per_new_flow(self) -> float | None:
        """Return the control bytes per new flow in the costliest run."""
        costs = [
            row['control_bytes_per_node_second']
            * MEASURED_INSTANCES
            * MEASURED_ARRIVAL_SECONDS
            / row['flows']
            for rule in PLACEMENT_RULES
            for row in self._measured.list_rows(
                'flows', rule=rule, planned=True
            )
        ]
        return max(costs, default=None)

    def _list_pin_homes(self) -> Figures:
        role = 'Home and replica of pins'
        settings = flows.FlowSettings()
        mechanism = 'pins by rendezvous hash: flows/_pins.py'
        bytes_per_flow = self._measured.find('flow-cost', 'bytes_per_flow')
        all_pins = self._size.flows_per_node * COPIES_PER_PIN
        pins = all_pins * settings.continuity_open_share
        for name, count in (
            (f'all {all_pins:,.0f} flows pinned (all buckets open)', all_pins),
            (f'{pins:,.0f} pins (buckets open at the dial)', pins),
        ):
            yield _figure.Figure(
                role,
                f'memory, {name}',
                _compute_if_measured(
                    lambda each, n=count: n * each / 2**20, bytes_per_flow
                ),
                'MiB',
                'flow-cost: bytes_per_flow',
                mechanism,
                self._budget.memory_mb,
            )
        bytes_per_new_flow = self._find_bytes_per_new_flow()
        new_flows = self._size.new_flows_per_node_second
        yield _figure.Figure(
            role,
            'control traffic for new flows during planned changes',
            _compute_if_measured(
                lambda each: new_flows * each, bytes_per_new_flow
            ),
            'bytes/s',
            'flows: control_bytes_per_node_second over new flows',
            'pin updates in batches: flows/_send_queues.py',
            self._budget.bytes_per_second,
        )
        hand_on_rate = settings.hand_on_bytes_per_second
        yield _figure.Figure(
            role,
            f'handing on {pins:,.0f} pins at a planned stop, at most',
            _compute_if_measured(
                lambda each: pins * each / hand_on_rate, bytes_per_new_flow
            ),
            's',
            'flows: control bytes a new flow; setting '
            'hand_on_bytes_per_second',
            'handover: flows/_handover.py',
            settings.stop_seconds,
        )

    def _find_at_target_size(self, field: str) -> float | None:
        return self._measured.find('sizes', field, services=1400)

    def _list_tables(self) -> Figures:
        role = 'Every instance: bucket tables'
        mechanism = 'tables by conditional update: flows/_table.py'
        yield _figure.Figure(
            role,
            'memory of the flow core with all tables',
            self._find_at_target_size('flow_core_mb'),
            'MiB',
            'sizes: flow_core_mb',
            mechanism,
            self._budget.memory_mb,
            is_measured=True,
        )
        yield _figure.Figure(
            role,
            'processor time of ticks at rest',
            self._find_at_target_size('tick_share'),
            'cores',
            'sizes: tick_share',
            'pin maintenance: flows/_pin_maintenance.py',
            self._budget.core_share,
            is_measured=True,
        )
        bytes_per_table = self._find_at_target_size('bytes_per_table')
        writes = self._size.changes_per_day * TABLE_WRITES_PER_CHANGE
        yield _figure.Figure(
            role,
            f'traffic of {writes:,} table writes a day, received once',
            _compute_if_measured(
                lambda each: writes * each / _target_size.DAY_SECONDS,
                bytes_per_table,
            ),
            'bytes/s',
            'sizes: bytes_per_table',
            'distribution: distribution/_core.py',
            self._budget.bytes_per_second,
        )
        table_bytes = self._find_at_target_size('table_bytes')
        limit = self._budget.bytes_per_second
        yield _figure.Figure(
            role,
            'a zone is lost, all tables change: receiving them once',
            _compute_if_measured(lambda each: each / limit, table_bytes),
            's',
            'sizes: table_bytes',
            'distribution: distribution/_core.py',
            self._budget.propagation_seconds,
        )
        table_seconds = self._find_at_target_size('table_seconds')
        yield _figure.Figure(
            role,
            'a zone is lost, all tables change: taking them',
            _compute_if_measured(
                lambda each: each * self._size.addresses, table_seconds
            ),
            's',
            'sizes: table_seconds',
            'flow core: flows/_core.py',
            self._budget.propagation_seconds,
        )

    def _list_configuration(self) -> Figures:
        role = 'Every instance: configuration'
        mechanism = 'one configuration of all subtrees: assembly.py'
        change_seconds = self._find_at_target_size('change_seconds')
        yield _figure.Figure(
            role,
            'memory',
            self._find_at_target_size('configuration_mb'),
            'MiB',
            'sizes: configuration_mb',
            mechanism,
            self._budget.memory_mb,
            is_measured=True,
        )
        yield _figure.Figure(
            role,
            "one team's change: the event loop stands still for",
            change_seconds,
            's',
            'sizes: change_seconds',
            mechanism,
            is_measured=True,
        )
        changes = self._size.changes_per_day
        yield _figure.Figure(
            role,
            f'processor time of {changes:,} changes a day',
            _compute_if_measured(
                lambda each: changes * each / _target_size.DAY_SECONDS,
                change_seconds,
            ),
            'cores',
            'sizes: change_seconds',
            mechanism,
            self._budget.core_share,
        )

    def _find_control(
        self, line: _control_figures.ControlFigure
    ) -> float | None:
        where: dict[str, str | int] = {'nodes': self._size.nodes}
        if line.scenario:
            where['scenario'] = line.scenario
        return self._measured.find('control', line.field, **where)

    def _list_members(self) -> Figures:
        role = 'Member and relay'
        mechanism = 'rings, rumors, zone summaries: membership/'
        for each in _control_figures.list_control_figures(self._budget):
            yield _figure.Figure(
                role,
                each.name,
                self._find_control(each),
                each.unit,
                f'control: {each.field}',
                mechanism,
                each.limit,
                is_measured=True,
            )
        member_seconds = self._find_at_target_size('member_seconds')
        changes = 2 * (
            self._size.restarts_per_day + self._size.failures_per_day
        )
        yield _figure.Figure(
            role,
            f'processor time of {changes} joins and leaves a day',
            _compute_if_measured(
                lambda each: changes * each / _target_size.DAY_SECONDS,
                member_seconds,
            ),
            'cores',
            'sizes: member_seconds',
            'ranking: flows/_ranking.py',
            self._budget.core_share,
        )

    def _list_watchers(self) -> Figures:
        role = 'Watcher of the platform'
        mechanism = 'a few watchers a zone: distribution/_platform_watch.py'
        for each in _control_figures.list_platform_figures(self._budget):
            yield _figure.Figure(
                role,
                f'{each.name}, whole fleet, worst scenario',
                self._find_control(each),
                each.unit,
                f'control: {each.field}',
                mechanism,
                each.limit,
                is_measured=True,
            )

    def _list_request_key_homes(self) -> Figures:
        role = 'Home of request keys'
        mechanism = 'keys in ranges: requests/'
        bytes_per_key = self._measured.find('keys', 'bytes_per_key')
        microseconds_per_key = self._measured.find(
            'keys', 'decision_us_per_key'
        )
        limit = self._budget.bytes_per_second
        core = self._budget.core_share
        yield _figure.Figure(
            role,
            'traffic for each key, whole fleet, worst scenario',
            bytes_per_key,
            'bytes',
            'keys: bytes_per_key',
            mechanism,
        )
        yield _figure.Figure(
            role,
            'keys that the whole budget of traffic carries',
            _compute_if_measured(lambda each: limit / each, bytes_per_key),
            'keys/s and node',
            'keys: bytes_per_key',
            mechanism,
        )
        yield _figure.Figure(
            role,
            'keys that the whole budget of processor time carries',
            _compute_if_measured(
                lambda each: core * 1e6 / each, microseconds_per_key
            ),
            'keys/s and node',
            'keys: decision_us_per_key',
            mechanism,
        )
        yield _figure.Figure(
            role,
            'memory for each remembered key',
            None,
            'bytes',
            'no measure prints it yet',
            mechanism,
        )
