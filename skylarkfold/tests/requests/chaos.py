"""Random requests and faults, for the state machine test and for fuzzing."""

from skylarkfold import request as request_module
from skylarkfold import requests
from skylarkfold.tests.requests import fleet
from skylarkfold import verdict as verdict_module

Outcome = request_module.Outcome
State = fleet.State
TIME_STEPS = (0.3, 0.3, 1.0, 1.0, 3.0, 7.0, 25.0, 45.0)
VIEWS = (State.ALIVE, State.ALIVE, State.SUSPECT, State.DEAD)
BODIES = (b'x', b'x', b'x', b'other')
TIMEOUTS = (0.2, 1.0, 5.0, 5.0, 5.0, 20.0)
LOST = (Outcome.BROKEN, Outcome.TIMED_OUT)
REFUSED = (Outcome.REFUSED, Outcome.UNREACHABLE)


def choose(options, number):
    """Return the option that an arbitrary number selects."""
    return options[number % len(options)]


class Chaos:
    """Steps of a random test; the numbers a, b and c select the details."""

    def __init__(self, size=5, core_type=requests.RequestCore, **options):
        self.fleet = fleet.Fleet(size, core_type, **options)
        self.fleet.announces_leaving = False
        self.fleet.provide_holders()
        self.first_sent = {}
        self.last_key = 0

    def list_names(self):
        return [each.name for each in self.fleet.list_alive()]

    def send_new(self, a, b, c):
        self.last_key += 1
        key = f'k-{self.last_key}'
        self.first_sent[key] = self.fleet.now
        self._send(key, b'x', a)

    def send_again(self, a, b, c):
        memory = self.fleet.settings.key_memory_seconds
        known = [
            key
            for key, sent in self.first_sent.items()
            if self.fleet.now - sent < memory
        ]
        if known:
            self._send(choose(known, -1 - a % 4), choose(BODIES, b), c)

    def send_unkeyed(self, a, b, c):
        self.last_key += 1
        body = f'plain {self.last_key}'.encode()
        names = self.list_names()
        if names:
            self.fleet.send_request(
                choose(names, a), body=body, idempotent=b % 2 == 0
            )

    def _send(self, key, body, number):
        names = self.list_names()
        if names:
            timeout = choose(TIMEOUTS, number // 16)
            name = choose(names, number)
            self.fleet.send_request(name, key, body, timeout=timeout)

    def cancel(self, a, b, c):
        sent_requests = list(self.fleet.sent_requests.values())
        if sent_requests:
            self.fleet.cancel(choose(sent_requests, -1 - a % 4))

    def deliver(self, a, b, c):
        if self.fleet.envelopes:
            self.fleet.deliver(choose(self.fleet.envelopes, a))

    def duplicate(self, a, b, c):
        if self.fleet.envelopes:
            self.fleet.deliver(choose(self.fleet.envelopes, a), keep=True)

    def drop(self, a, b, c):
        if self.fleet.envelopes:
            self.fleet.envelopes.remove(choose(self.fleet.envelopes, a))

    def exchange(self, a, b, c):
        self.fleet.deliver_pending()

    def settle(self, a, b, c):
        self.fleet.settle(choose((0.3, 1.0, 5.0), a), runs=b % 2 == 0)

    def serve(self, a, b, c):
        self.fleet.serve()

    def run(self, a, b, c):
        waiting = [each for each in self.fleet.attempts if not each.has_run]
        if waiting:
            self.fleet.run(choose(waiting, a))

    def answer(self, a, b, c):
        ran = [each for each in self.fleet.attempts if each.has_run]
        if ran:
            self.fleet.answer(choose(ran, a), is_whole=b % 3 > 0)

    def fail(self, a, b, c):
        if not self.fleet.attempts:
            return
        attempt = choose(self.fleet.attempts, a)
        if attempt.has_run or b % 2:
            self.fleet.end(attempt, choose(LOST, c))
        else:
            self.fleet.end(attempt, choose(REFUSED, c))

    def run_and_fail(self, a, b, c):
        self.run(a, b, c)
        ran = [each for each in self.fleet.attempts if each.has_run]
        if ran:
            self.fleet.end(choose(ran, b), choose(LOST, c))

    def run_abandoned(self, a, b, c):
        if self.fleet.abandoned_attempts:
            self.fleet.run_abandoned(choose(self.fleet.abandoned_attempts, a))

    def advance(self, a, b, c):
        self.fleet.advance(choose(TIME_STEPS, a))

    def kill(self, a, b, c):
        names = self.list_names()
        if len(names) > 1:
            self.fleet.kill(choose(names, a), is_known=b % 2 == 0)

    def start(self, a, b, c):
        dead = [
            name
            for name, each in self.fleet.processes.items()
            if not each.is_alive
        ]
        if dead:
            self.fleet.start(choose(dead, a), is_known=b % 2 == 0)

    def pause(self, a, b, c):
        names = self.list_names()
        if names:
            self.fleet.pause(choose(names, a))

    def resume(self, a, b, c):
        paused = [
            each.name for each in self.fleet.list_alive() if each.is_paused
        ]
        if paused:
            self.fleet.resume(choose(paused, a))

    def break_links(self, a, b, c):
        names = list(self.fleet.processes)
        if a % 2:
            self.fleet.isolate_zone(choose(fleet.ZONES, b))
        else:
            pair = choose(names, b), choose(names, c)
            self.fleet.broken_links.add(frozenset(pair))

    def heal(self, a, b, c):
        self.fleet.broken_links.clear()

    def lose_stream(self, a, b, c):
        names = list(self.fleet.processes)
        self.fleet.lose_stream(choose(names, a), choose(names, b))

    def change_view(self, a, b, c):
        living = self.fleet.list_alive()
        name = choose(list(self.fleet.processes), b)
        if not living:
            return
        state = choose(VIEWS, c)
        if name in self.fleet.left:
            state = State.LEFT
        self.fleet.set_view(choose(living, a), name, state)

    def toggle_platform(self, a, b, c):
        self.fleet.is_platform_up = not self.fleet.is_platform_up

    def write(self, a, b, c):
        if self.fleet.writes:
            process, write = choose(self.fleet.writes, a)
            self.fleet.write(process, write, is_answered=b % 3 > 0)

    def deliver_objects(self, a, b, c):
        living = self.fleet.list_alive()
        if living:
            self.fleet.deliver_objects(choose(living, a))

    def stop(self, a, b, c):
        running = [
            each.name
            for each in self.fleet.list_alive()
            if not each.is_stopping
        ]
        if len(running) > 1:
            self.fleet.stop(choose(running, a))


STEP_NAMES = tuple(
    name
    for name in vars(Chaos)
    if not name.startswith('_') and name != 'list_names'
)
WEIGHTS = {
    'send_again': 6,
    'send_new': 4,
    'exchange': 4,
    'settle': 4,
    'run': 2,
    'run_and_fail': 2,
}


def count_answers(chaos):
    """Return the number of answers by verdict."""
    answers = [
        answer
        for sent in chaos.fleet.sent_requests.values()
        for answer in sent.answers
    ]
    counts = dict.fromkeys(verdict_module.Verdict, 0)
    for answer in answers:
        counts[answer.verdict] += 1
    return counts
