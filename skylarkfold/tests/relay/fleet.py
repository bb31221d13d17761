"""A store and instances with relays on a virtual clock."""

import heapq
import itertools

from skylarkfold import relay

TOPICS = ('routes', 'upstreams')
STORE = 'store'
DELAY_SECONDS = 0.001
TICK_SECONDS = 0.01


class FakeStore:
    """The store's objects with all their history."""

    def __init__(self):
        self.revision = 1
        self.objects = {topic: {} for topic in TOPICS}
        self.history = []
        self.forgotten = 0
        self.calls = 0

    def put(self, topic, path, value):
        """Write an object; None deletes it."""
        self.revision += 1
        known = self.objects[topic].get(path)
        created = self.revision if known is None else known.created
        item = relay.Item(path, self.revision, created, value)
        if value is None:
            self.objects[topic].pop(path, None)
        else:
            self.objects[topic][path] = item
        self.history.append((topic, item))

    def forget(self):
        """Drop the history."""
        self.forgotten = self.revision

    def list(self, topic):
        """Answer a listing."""
        items = list(self.objects[topic].values())
        return relay.Answer(relay.Status.OK, items, self.revision)

    def find_changes(self, call):
        """Answer a watch, None while there is nothing to say."""
        if call.revision < self.forgotten:
            return relay.Answer(relay.Status.FORGOTTEN)
        items = [
            item
            for topic, item in self.history
            if topic == call.topic and item.revision > call.revision
        ]
        if not items:
            return None
        return relay.Answer(relay.Status.OK, items, self.revision)


class Fleet:
    """Instances, the store and the paths between them."""

    def __init__(self, zones, settings=None):
        self.now = 0.0
        self.store = FakeStore()
        self.settings = settings or relay.RelaySettings(topics=TOPICS)
        self.cores = {}
        self.zones = {}
        self.sent = 0
        self.changes = []
        self.watches = []
        self.cut = lambda one, other: False
        self.is_store_down = False
        # Calls that began before this time are never answered.
        self.silent_before = float('-inf')
        self._queue = []
        self._count = itertools.count()
        for number, zone in enumerate(zones):
            self.start(f'entry-{number}', zone)

    def start(self, name, zone, capacity=0):
        """Start an instance that knows nothing but two seeds."""
        self.zones[name] = zone
        core = relay.RelayCore(name, zone, name, self.settings, capacity)
        core.set_seeds(('entry-0', 'entry-1'))
        self.cores[name] = core
        self._plan(0.0, lambda: self._tick(name, core))

    def end(self, name):
        """End an instance without a word."""
        del self.cores[name]

    def run(self, seconds):
        """Let time pass."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def get_revisions(self, topic, path):
        """Tell which revision of an object each instance knows."""
        found = {}
        for name, core in self.cores.items():
            items = {each.path: each for each in core.list_items(topic)}
            item = items.get(path)
            found[name] = 0 if item is None else item.revision
        return found

    def _plan(self, seconds, action):
        entry = (self.now + seconds, next(self._count), action)
        heapq.heappush(self._queue, entry)

    def _tick(self, name, core):
        if self.cores.get(name) is not core:
            return
        self.perform(name, core.tick(self.now))
        self._plan(TICK_SECONDS, lambda: self._tick(name, core))

    def perform(self, name, effects):
        """Perform what an instance decided."""
        for wanted in effects:
            if isinstance(wanted, relay.CallStore):
                self._call(name, self.cores[name], wanted.call)
            elif isinstance(wanted, relay.SendBeacon):
                data = relay.encode_beacon(wanted.beacon)
                for host in wanted.hosts:
                    self._send(name, host, data)
            elif isinstance(wanted, relay.Fetch):
                self._fetch(name, self.cores[name], wanted)
            elif isinstance(wanted, relay.Changed):
                self.changes.append((self.now, name, wanted))

    def _is_cut(self, one, other):
        if other == STORE and self.is_store_down:
            return True
        return self.cut(one, other) or self.cut(other, one)

    def _send(self, name, host, data):
        self.sent += len(data)

        def arrive():
            core = self.cores.get(host)
            if core is None or self._is_cut(name, host):
                return
            beacon = relay.decode_beacon(data)
            self.perform(host, core.take_beacon(self.now, name, beacon))

        self._plan(DELAY_SECONDS, arrive)

    def _fetch(self, name, core, wanted):
        def ask():
            other = self.cores.get(wanted.host)
            page = None
            if other is not None and not self._is_cut(name, wanted.host):
                page = other.take_fetch(
                    self.now, wanted.topic, wanted.position
                )
            if page is not None:
                page = relay.decode_page(relay.encode_page(page))
            delay = DELAY_SECONDS if page else wanted.timeout_seconds
            self._plan(delay, lambda: answer(page))

        def answer(page):
            if self.cores.get(name) is core:
                effects = core.take_page(self.now, wanted, page)
                self.perform(name, effects)

        self._plan(DELAY_SECONDS, ask)

    def _call(self, name, core, call):
        self.store.calls += 1
        begun = self.now
        until = self.now + call.wait_seconds
        given_up = self.now + call.timeout_seconds

        def answer(found):
            if self.cores.get(name) is core:
                effects = core.take_answer(self.now, call, found)
                self.perform(name, effects)

        def look():
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
