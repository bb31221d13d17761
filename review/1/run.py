"""Resets of open flows whose route was added a moment ago.

All that happens is planned work: the operator changes the configuration, and
one instance is stopped with SIGTERM and started again, so that flows move to
it. ``claim.txt`` says which rule that breaks.
"""

from __future__ import annotations

import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import common  # noqa: E402

packets = common.packets

# Instances by zone, as in the small deployments with a spare machine.
ZONES = {'hall-a': 4, 'hall-b': 2, 'hall-c': 2}
# The zone of the clients, and the instance that is stopped and started.
CLIENT_ZONE = 'hall-a'
RESTARTED = 'edge-hall-a-1'

# New rounds are begun for so long; a round takes about six seconds.
ROUNDS_SECONDS = 80.0
# The longest time that a part of a round may take.
PART_SECONDS = 12.0
# How long the platform takes to start a process that has ended.
RESTART_SECONDS = 1.3
# After a check of readiness, of which there are two a second: when the
# operator changes a time-out, when the platform starts the process again, and
# when the operator adds a route. The next check takes the process into
# rotation.
TIMEOUT_CHANGE_SECONDS = 0.02
LEAST_START_SECONDS = 0.12
MOST_START_SECONDS = 0.42
ROUTE_CHANGE_SECONDS = 0.46
# From the acknowledgement on, a flow is opened this often, for so long.
FLOW_EVERY_SECONDS = 0.001
FLOWS_SECONDS = 0.2
# How long a flow is used, and the pause between its requests.
FLOW_SECONDS = 0.6
REQUEST_PAUSE_SECONDS = 0.02
DEADLINE_SECONDS = 1.0


class Case:
    """The rounds and what came of them.

    :param bench: the deployment.
    """

    def __init__(self, bench: common.Bench) -> None:
        self.bench = bench
        self.opened = 0
        self.sent = 0
        self.answered = 0
        self.unanswered = 0
        self.resets = 0

    def play(self) -> int:
        """Play the rounds.

        :returns: the exit status.
        """
        bench = self.bench
        rounds = 0
        while bench.seconds < ROUNDS_SECONDS:
            rounds += 1
            if not self._play_round(rounds):
                bench.note('an instance did not stop, start or become ready')
                return common.COULD_NOT_RUN
        twice = sum(count > 1 for count in bench.runs.values())
        bench.note(
            f'{rounds} rounds: {self.opened} flows opened, {self.sent} '
            f'requests sent on them, {self.answered} answered, '
            f'{self.unanswered} not; {len(bench.runs)} requests ran, {twice} '
            f'of them twice; {bench.count_forged()} packets changed on the '
            f'way; {self.resets} open flows reset by the system while their '
            'backend lived and their route existed'
        )
        if not self.opened:
            return common.COULD_NOT_RUN
        return common.BROKEN if self.resets else common.HELD

    def _play_round(self, number: int) -> bool:
        bench = self.bench
        machine = bench.machines[RESTARTED]
        if common.HAS_TROUBLE:
            bench.note(f'round {number}: {machine.name} gets SIGTERM')
            machine.terminate()
            if not bench.wait(lambda: not machine.is_running, PART_SECONDS):
                return False
        bench.pause(RESTART_SECONDS)
        state = {'is_over': False}

        def begin() -> None:
            later = bench.loop.call_later
            later(TIMEOUT_CHANGE_SECONDS, bench.write_configuration)
            if common.HAS_TROUBLE:
                span = (LEAST_START_SECONDS, MOST_START_SECONDS)
                later(random.uniform(*span), start)
            later(ROUTE_CHANGE_SECONDS, add_route)

        def start() -> None:
            bench.note(f'round {number}: {machine.name} starts again')
            machine.start()

        def add_route() -> None:
            address = ('198.51.100.7', 1000 + number)
            bench.routes[f'added-{number}'] = address
            bench.write_configuration()
            self._open_flows(address, bench.loop.now() + FLOWS_SECONDS)
            bench.loop.call_later(FLOWS_SECONDS + FLOW_SECONDS + 0.4, finish)

        def finish() -> None:
            state['is_over'] = True

        bench.routers.next_check = begin
        if not bench.wait(lambda: state['is_over'], PART_SECONDS):
            return False
        if not bench.wait(bench.are_all_in, PART_SECONDS):
            return False
        bench.pause(1.0)
        return True

    def _open_flows(self, address: common.Address, until: float) -> None:
        if self.bench.loop.now() >= until:
            return
        Conversation(self, address, until + FLOW_SECONDS)
        self.bench.loop.call_later(
            FLOW_EVERY_SECONDS, lambda: self._open_flows(address, until)
        )


class Conversation:
    """A flow with one request after the other.

    :param case: the case.
    :param address: the address of its route.
    :param until: when it ends.
    """

    def __init__(
        self, case: Case, address: common.Address, until: float
    ) -> None:
        self._case = case
        self._bench = case.bench
        self._until = until
        self._answers = 0
        self._flow = self._bench.clients[CLIENT_ZONE].open(address)
        self._flow.was_reset = self._note_reset
        self._request()

    def _request(self) -> None:
        if self._flow.is_over:
            return
        exchange = packets.Exchange(self._bench.name_request())
        if self._answers:
            self._case.sent += 1
        self._flow.request(exchange, DEADLINE_SECONDS, self._end)

    def _end(self, exchange: packets.Exchange) -> None:
        case = self._case
        if exchange.outcome != packets.ANSWERED:
            if self._answers or exchange.is_opened:
                case.unanswered += 1
                runs = self._bench.runs.get(exchange.request, 0)
                self._note(
                    f'request {exchange.request.hex()} is not answered '
                    f'({exchange.outcome}); it ran {runs} times'
                )
            self._flow.finish()
            return
        if not self._answers:
            case.opened += 1
            case.sent += 1
        self._answers += 1
        case.answered += 1
        if self._bench.loop.now() >= self._until:
            self._note(f'{self._answers} requests sent and answered')
            self._flow.finish()
            return
        self._bench.loop.call_later(REQUEST_PAUSE_SECONDS, self._request)

    def _note_reset(self, flow: packets.Flow) -> None:
        """Count a reset of the system on a flow that its backend holds."""
        is_from_system = flow.resets[-1]
        for each in self._bench.upstreams:
            is_held = each.holds(flow.source, flow.address)
            if is_from_system and is_held and not each.is_ended:
                self._case.resets += 1
                self._note(
                    f'open at {each.name} after {self._answers} answers: the '
                    'client gets a reset of the system (FLOW)'
                )

    def _note(self, text: str) -> None:
        flow = self._flow
        host, port = flow.address
        self._bench.note(f'flow {flow.source[1]} > {host}:{port}: {text}')


if __name__ == '__main__':
    sys.exit(
        common.main(
            lambda bench: Case(bench).play(), HERE / 'record.txt', ZONES
        )
    )
