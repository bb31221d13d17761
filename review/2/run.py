"""Machines in touch that apply a configuration too late.

The machines that watch the store for their zones lose the store's answers;
all others keep their way to it. ``claim.txt`` says which rule that breaks.
"""

from __future__ import annotations

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import common  # noqa: E402

packets = common.packets

ZONES = {'hall-a': 3, 'hall-b': 2, 'hall-c': 2}

# New rounds are begun for so long; a round takes about eleven seconds.
ROUNDS_SECONDS = 65.0
# After a change of a time-out: when the machines that watch the store are
# cut off from it, and when the operator drops a route.
CUT_SECONDS = 0.1
DROP_SECONDS = 0.15
# Machines that watched the store within this time are the watchers.
WATCH_SECONDS = 3.5
APPLY_SECONDS = common.BOUNDS['config_apply_ms'] / 1000
# How long flows are opened on the dropped route after the bound, how often.
LATE_SECONDS = 1.5
FLOW_EVERY_SECONDS = 0.01
# When the cut ends after the acknowledgement, and the pause until the next
# round, in which all machines are in touch again.
CUT_END_SECONDS = 4.8
PAUSE_SECONDS = 5.0
DEADLINE_SECONDS = 0.8


class Case:
    """The rounds and what came of them.

    :param bench: the deployment.
    """

    def __init__(self, bench: common.Bench) -> None:
        self.bench = bench
        self.sent = 0
        self.late = 0
        # When each machine watched the configuration last, by host.
        self._watched_at: dict[str, float] = {}
        self._relays: dict[str, packets.FaultyRelay] = {}
        # Machines cut off in this round.
        self._cut: set[str] = set()

    def prepare(self) -> None:
        """Put a relay between each machine and the store."""
        bench = self.bench
        for each in bench.machines.values():
            relay = packets.FaultyRelay(
                bench.loop, each.host, bench.store_server.address
            )
            self._relays[each.name] = relay
            each.store_address = relay.address
        common.StoreSession.watched = self._note_watch

    def play(self) -> int:
        """Play the rounds.

        :returns: the exit status.
        """
        bench = self.bench
        rounds = 0
        while bench.seconds < ROUNDS_SECONDS:
            rounds += 1
            self._play_round(rounds)
        for each in self._relays.values():
            each.close()
        bench.note(
            f'{rounds} rounds: {self.sent} flows begun on dropped routes '
            f'later than {APPLY_SECONDS} s after the acknowledgement, through '
            f'machines in touch; {self.late} of them opened, and their '
            f'requests ran; {bench.count_forged()} packets changed on the way'
        )
        if not self.sent:
            return common.COULD_NOT_RUN
        return common.BROKEN if self.late else common.HELD

    def _play_round(self, number: int) -> None:
        bench = self.bench
        name, address = f'route-{number}', ('198.51.100.7', 1000 + number)
        bench.routes[name] = address
        bench.write_configuration()
        bench.pause(PAUSE_SECONDS)
        bench.write_configuration()
        bench.pause(CUT_SECONDS)
        self._cut = self._find_watchers()
        if common.HAS_TROUBLE:
            bench.note(f'cut off from the store: {sorted(self._cut)}')
            for each in self._cut:
                self._relays[each].is_one_way = True
        bench.pause(DROP_SECONDS - CUT_SECONDS)
        del bench.routes[name]
        bench.write_configuration()
        dropped_at = bench.loop.now()
        # Somewhat later than the bound, for the way of the packets.
        bench.pause(APPLY_SECONDS + 0.01)
        self._open_flows(address, dropped_at, dropped_at + APPLY_SECONDS)
        bench.pause(CUT_END_SECONDS - APPLY_SECONDS)
        for each in self._cut:
            self._relays[each].is_one_way = False
        bench.pause(PAUSE_SECONDS)

    def _find_watchers(self) -> set[str]:
        oldest = self.bench.loop.now() - WATCH_SECONDS
        return {
            each.name
            for each in self.bench.machines.values()
            if self._watched_at.get(each.host, 0.0) > oldest
        }

    def _note_watch(self, kind: str, host: str) -> None:
        if kind == 'config':
            self._watched_at[host] = self.bench.loop.now()

    def _open_flows(
        self, address: common.Address, dropped_at: float, since: float
    ) -> None:
        bench = self.bench
        if bench.loop.now() >= since + LATE_SECONDS:
            return
        for zone in ZONES:
            self._open_flow(zone, address, dropped_at)
        bench.loop.call_later(
            FLOW_EVERY_SECONDS,
            lambda: self._open_flows(address, dropped_at, since),
        )

    def _open_flow(
        self, zone: str, address: common.Address, dropped_at: float
    ) -> None:
        bench = self.bench
        after = bench.loop.now() - dropped_at
        bench.routers.last_target = ''
        flow = bench.clients[zone].open(address)
        machine = bench.routers.last_target
        if machine in self._cut:
            # Not in touch: nothing is asked of it.
            flow.finish()
            return
        self.sent += 1
        exchange = packets.Exchange(bench.name_request())

        def end(ended: packets.Exchange) -> None:
            runs = bench.runs.get(ended.request, 0)
            self.late += runs > 0
            broken = ' (CONFIG)' if runs else ''
            bench.note(
                f'flow {flow.source[1]} > {address[0]}:{address[1]}, begun '
                f'{after:.3f} s after the route was dropped, through '
                f'{machine}: {ended.outcome}; its request ran {runs} '
                f'times{broken}'
            )
            flow.finish()

        flow.request(exchange, DEADLINE_SECONDS, end)


def play(bench: common.Bench) -> int:
    """Play the case once all instances are ready.

    :param bench: the deployment.
    :returns: the exit status.
    """
    return bench.case.play()


def prepare(bench: common.Bench) -> None:
    """Set the case up before the instances start.

    :param bench: the deployment.
    """
    bench.case = Case(bench)
    bench.case.prepare()


if __name__ == '__main__':
    sys.exit(common.main(play, HERE / 'record.txt', ZONES, prepare))
