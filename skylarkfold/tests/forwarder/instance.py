"""An instance that decides on packets, beside a fleet on a virtual clock."""

import types

from skylarkfold import affinity
from skylarkfold.forwarder import _store_sync
from skylarkfold.forwarder import _topics
from skylarkfold.measure import _relay_fleet as fleet_module
from skylarkfold.tests.affinity import samples

ROUTES, UPSTREAMS = fleet_module.TOPICS
UPSTREAM = samples.build_upstream(1)
STEP_SECONDS = 0.01


def build_configuration(version, addresses):
    """Build a configuration with routes of some addresses."""
    return {'version': version, 'addresses': list(addresses)}


class Platform:
    """Translates the fleet's objects."""

    routes_topic = ROUTES
    upstreams_topic = UPSTREAMS
    evacuations_topic = 'evacuations'

    def open_store(self, _loop):
        """Return None: the fleet calls the store."""

    def decode_routes(self, items):
        """Decode a configuration."""
        for item in items:
            shares = ((samples.SERVICE, 1),)
            routes = [
                affinity.Route(address, shares)
                for address in item.value['addresses']
            ]
            return affinity.RouteTable(
                item.value['version'], routes, revision=item.revision
            )
        return None

    def decode_upstreams(self, _items):
        """Return the one upstream that serves."""
        return [UPSTREAM]


class Instance:
    """Decides on packets by what one of the fleet's relays knows.

    It stands in for the daemon: it has the same cores and the same object
    between them, without sockets.

    :param fleet: the fleet.
    :param name: the instance of the fleet, which has just been started.
    :ivar started_at: when it was started.
    :ivar effects: what it decided, each with the time.
    :ivar lines: its log lines about the process, each with its fields.
    """

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.started_at = fleet.now
        self.effects = []
        self.lines = []
        self.core = affinity.AffinityCore(
            fleet.zones[name], affinity.AffinitySettings()
        )
        self._relay = fleet.cores[name]
        platform = Platform()
        settings = types.SimpleNamespace(zones=(), evacuation_seconds=None)
        self._sync = _store_sync.StoreSync(
            types.SimpleNamespace(now=lambda: fleet.now),
            platform,
            _topics.TopicApplier(platform, settings),
            self._relay,
            self.core,
            types.SimpleNamespace(log=self._log),
            self.perform,
        )
        self._seen_changes = len(fleet.changes)

    def _log(self, message, **fields):
        self.lines.append((message, fields))

    def run(self, seconds):
        """Let time pass.

        :param seconds: how much.
        """
        until = self.fleet.now + seconds - STEP_SECONDS / 2
        while self.fleet.now < until:
            self.fleet.run(STEP_SECONDS)
            self._apply_changes()
            self._sync.report_age(self.fleet.now)
            self.perform(self.core.tick(self.fleet.now))

    def _apply_changes(self):
        changes = self.fleet.changes[self._seen_changes :]
        self._seen_changes += len(changes)
        for _, name, change in changes:
            if name == self.name:
                self._sync.apply_change(change)

    def receive(self, packet):
        """Handle a packet of a caller; return the effects of it alone."""
        effects = self.core.handle_packet(self.fleet.now, packet)
        self.perform(effects)
        return effects

    def perform(self, effects):
        """Perform effects as the daemon does."""
        for effect in effects:
            self.effects.append((self.fleet.now, effect))
            if type(effect).__name__ == 'ConfirmRoutes':
                self._sync.confirm_routes(effect)
            elif type(effect).__module__.startswith('skylarkfold.relay'):
                self.fleet.perform(self.name, [effect])

    def list_resets(self):
        """List the flows that it reset."""
        return samples.list_resets(each for _, each in self.effects)

    def list_forwarded(self):
        """List the packets that it forwarded."""
        return [
            each.data
            for _, each in self.effects
            if isinstance(each, affinity.Forward)
        ]
