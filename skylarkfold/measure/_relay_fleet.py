"""A store and instances with relays on a virtual clock."""

from __future__ import annotations

import collections
from collections.abc import Callable
import heapq
import itertools
import time

from skylarkfold.measure import _relay_store
from skylarkfold import relay

TOPICS = ('routes', 'upstreams')
STORE = 'store'
# One way, between any two instances and to the store.
DELAY_SECONDS = 0.001
# As often as the daemon looks at what is due.
TICK_SECONDS = 0.01
# An instance that wakes has read what waits in its sockets after this time.
SOCKET_SECONDS = 0.05


class Fleet:
    """Instances, the store and the paths between them.

    :param zones: the availability zone of each instance.
    :param settings: the relay's settings.
    :param retention_policy: as in :class:`relay.RelayCore`.
    :param link_bytes_per_second: what an instance's link carries of whole
        topics, one after the other; 0 where that takes no time.
    :ivar fetched: how often each instance was asked, by its name.
    :ivar cores: the decisions of each instance, by name.
    :ivar zones: the availability zone of each instance, by name.
    :ivar cut: whether nothing passes between two names.
    :ivar sent: bytes that each instance sent to others, by its name.
    :ivar spent: processor seconds of each instance's decisions.
    :ivar written: when objects were last written, by topic and path.
    :ivar changes: what instances learnt, each with time and name.
    :ivar notes: what instances noted, each with time and name.
    """

    def __init__(
        self,
        zones: tuple[str, ...],
        settings: relay.RelaySettings | None = None,
        retention_policy: relay.RetentionPolicy | None = None,
        link_bytes_per_second: float = 0.0,
    ) -> None:
        self.now = 0.0
        self.fetched: collections.Counter[str] = collections.Counter()
        self._link_bytes_per_second = link_bytes_per_second
        # When each instance's link has nothing to send any more.
        self._idle_at: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )
        self.retention_policy = retention_policy
        self.settings = settings or relay.RelaySettings(topics=TOPICS)
        self.store = _relay_store.FakeStore(self.settings.topics)
        self.cores = {}
        self.zones = {}
        self.sent: collections.Counter[str] = collections.Counter()
        self.spent: collections.Counter[str] = collections.Counter()
        self.written: dict[tuple[str, str], float] = {}
        self.changes: list[tuple[float, str, relay.TopicChanged]] = []
        self.notes: list[tuple[float, str, relay.RecordEvent]] = []
        self.cut: Callable[[str, str], bool] = lambda one, other: False
        self.is_store_down = False
        # How the calls of some instances fail at once, by their names.
        self.turned_away: dict[str, str] = {}
        # Instances whose processes stand still.
        self.paused: set[str] = set()
        # Calls that began before this time are never answered.
        self.silent_before = float('-inf')
        self._queue = []
        self._calls: dict[tuple[str, str], relay.Call] = {}
        self._count = itertools.count()
        for number, zone in enumerate(zones):
            self.start(f'entry-{number}', zone)

    def start(self, name: str, zone: str, capacity: int = 0) -> None:
        """Start an instance that knows nothing but two seeds.

        :param name: its name.
        :param zone: its availability zone.
        :param capacity: what it has to spare.
        """
        self.zones[name] = zone
        core = relay.RelayCore(
            name, zone, name, self.settings, capacity, self.retention_policy
        )
        core.set_seeds(('entry-0', 'entry-1'))
        self.cores[name] = core
        self._plan(0.0, lambda: self._tick(name, core))

    def end(self, name: str) -> None:
        """End an instance without a word.

        :param name: its name.
        """
        del self.cores[name]

    def write(self, topic: str, path: str, value: object) -> None:
        """Write an object to the store and note when.

        :param topic: the topic.
        :param path: the object.
        :param value: what it holds; None deletes it.
        """
        self.store.put(topic, path, value)
        self.written[(topic, path)] = self.now

    def run(self, seconds: float) -> None:
        """Let time pass.

        :param seconds: how much.
        """
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def get_revisions(self, topic: str, path: str) -> dict[str, int]:
        """Tell which revision of an object each instance knows.

        :param topic: the topic.
        :param path: the object.
        :returns: revisions by instance; 0 where it is not known.
        """
        found = {}
        for name, core in self.cores.items():
            items = {each.path: each for each in core.list_items(topic)}
            item = items.get(path)
            found[name] = 0 if item is None else item.revision
        return found

    def _plan(self, seconds: float, action: Callable[[], object]) -> None:
        entry = (self.now + seconds, next(self._count), action)
        heapq.heappush(self._queue, entry)

    def _tick(self, name: str, core: relay.RelayCore) -> None:
        if self.cores.get(name) is not core:
            return
        if name not in self.paused:
            self._decide(name, core.tick, self.now)
        self._plan(TICK_SECONDS, lambda: self._tick(name, core))

    def perform(self, name: str, effects: list[object]) -> None:
        """Perform what an instance decided.

        :param name: the instance.
        :param effects: its decisions.
        """
        for wanted in effects:
            if isinstance(wanted, relay.CallStore):
                self._call(name, self.cores[name], wanted.call)
            elif isinstance(wanted, relay.CancelCall):
                self._abandon(name, wanted.topic)
            elif isinstance(wanted, relay.SendBeacon):
                data = relay.encode_beacon(wanted.beacon)
                for host in wanted.hosts:
                    self._send(name, host, data)
            elif isinstance(wanted, relay.Fetch):
                self._fetch(name, self.cores[name], wanted)
            elif isinstance(wanted, relay.TopicChanged):
                self.changes.append((self.now, name, wanted))
            elif isinstance(wanted, relay.RecordEvent):
                self.notes.append((self.now, name, wanted))

    def _decide(
        self,
        name: str,
        decide: Callable[..., list[object]],
        *arguments: object,
    ) -> None:
        begun = time.process_time()
        effects = decide(*arguments)
        self.spent[name] += time.process_time() - begun
        self.perform(name, effects)

    def _abandon(self, name: str, topic: str) -> None:
        """End a call under way, without an answer."""
        call = self._calls.pop((name, topic), None)
        core = self.cores.get(name)
        if call is not None and core is not None:
            ended = relay.Answer(relay.Status.ABANDONED)
            self._decide(name, core.handle_answer, self.now, call, ended)

    def _is_cut(self, one: str, other: str) -> bool:
        if other == STORE and self.is_store_down:
            return True
        return self.cut(one, other) or self.cut(other, one)

    def _send(self, name: str, host: str, data: bytes) -> None:
        self.sent[name] += len(data)

        def arrive() -> None:
            if host in self.cores and not self._is_cut(name, host):
                take(self.cores[host])

        def take(core: relay.RelayCore) -> None:
            if self.cores.get(host) is not core:
                return
            if host in self.paused:
                # It waits in the socket.
                self._plan(SOCKET_SECONDS, lambda: take(core))
                return
            self._decide(host, _take_beacon, core, self.now, name, data)

        self._plan(DELAY_SECONDS, arrive)

    def _fetch(
        self, name: str, core: relay.RelayCore, wanted: relay.Fetch
    ) -> None:
        self.fetched[wanted.host] += 1

        def ask() -> None:
            other = self.cores.get(wanted.host)
            page = None
            delay = wanted.timeout_seconds
            is_down = other is None or wanted.host in self.paused
            if not is_down and not self._is_cut(name, wanted.host):
                page = other.handle_fetch(
                    self.now, wanted.topic, wanted.position
                )
                # One that has nothing to give ends the stream at once.
                delay = DELAY_SECONDS
            if page is not None:
                data = relay.encode_page(page)
                self.sent[wanted.host] += len(data)
                page = relay.decode_page(data)
                delay = self._carry(wanted.host, len(data))
            if delay > wanted.timeout_seconds:
                page, delay = None, wanted.timeout_seconds
            self._plan(delay, lambda: answer(page))

        def answer(page: relay.Page | None) -> None:
            if self.cores.get(name) is core:
                self._decide(name, core.handle_page, self.now, wanted, page)

        self._plan(DELAY_SECONDS, ask)

    def _carry(self, name: str, size: int) -> float:
        """Put bytes on an instance's link; tell how long they take."""
        if not self._link_bytes_per_second:
            return DELAY_SECONDS
        begun = max(self.now, self._idle_at[name])
        ended = begun + size / self._link_bytes_per_second
        self._idle_at[name] = ended
        return ended - self.now + DELAY_SECONDS

    def _call(
        self, name: str, core: relay.RelayCore, call: relay.Call
    ) -> None:
        self.store.calls[call.topic] += 1
        begun = self.now
        until = self.now + call.wait_seconds
        given_up = self.now + call.timeout_seconds
        self._calls[(name, call.topic)] = call

        def answer(found: relay.Answer) -> None:
            if self.cores.get(name) is not core:
                return
            if name in self.paused:
                # It waits in the socket.
                self._plan(SOCKET_SECONDS, lambda: answer(found))
                return
            if self._calls.get((name, call.topic)) is call:
                del self._calls[(name, call.topic)]
                self._decide(name, core.handle_answer, self.now, call, found)

        def look() -> None:
            if self._calls.get((name, call.topic)) is not call:
                return
            if name in self.turned_away:
                answer(relay.Answer(self.turned_away[name]))
                return
            is_silent = begun < self.silent_before
            if is_silent or self._is_cut(name, STORE):
                if self.now >= given_up:
                    answer(relay.Answer(relay.Status.UNKNOWN))
                else:
                    self._plan(0.05, look)
                return
            if call.revision is None:
                answer(self.store.list(call.topic))
                return
            found = self.store.find_changes(call)
            if found is None and self.now >= until:
                found = relay.Answer(relay.Status.OK, (), self.store.revision)
            if found is None:
                self._plan(0.005, look)
            else:
                answer(found)

        self._plan(2 * DELAY_SECONDS, look)


def _take_beacon(
    core: relay.RelayCore, now: float, sender: str, data: bytes
) -> list[object]:
    return core.handle_beacon(now, sender, relay.decode_beacon(data))
