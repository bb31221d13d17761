"""What happens to upstreams and instances while a pattern is played."""

from __future__ import annotations

from skylarkfold.measure import _overload_fleet
from skylarkfold.measure import _overload_pattern
from skylarkfold.measure import _overload_upstream

Change = _overload_pattern.Change
Trouble = _overload_pattern.Trouble

# An upstream's entry reaches the instances this late.
_ENTRY_SECONDS = 0.1
# One that is replaced leaves so long after its successor has come.
_DRAIN_SECONDS = 3.0
_RELEASE_PAUSE_SECONDS = 1.0
# The entry of one that has ended is removed after three heartbeats.
_LAPSE_SECONDS = 3.6
# Of an upstream that joins.
JOINING_SLOTS = 2


class Troubles:
    """Begins and ends the troubles of a pattern.

    :param fleet: whom they strike.
    :param pattern: the pattern.
    """

    def __init__(
        self,
        fleet: _overload_fleet.Fleet,
        pattern: _overload_pattern.Pattern,
    ) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        # Bursts are in what callers ask.
        self._beginners = {
            Change.SLOW: self._slow,
            Change.HANG: self._hang,
            Change.ERRORS: self._fail,
            Change.JOIN: self._join,
            Change.RELEASE: self._release,
            Change.CUT: self._cut,
            Change.OUTAGE: self._stop_all,
            Change.COLD_RETURN: self._return_cold,
            Change.EVACUATE: self._evacuate,
            Change.LOSS: self._lose_zone,
        }
        for trouble in pattern.troubles:
            if trouble.change in self._beginners:
                self._clock.call(trouble.at, self._begin, trouble)

    def _begin(self, trouble: Trouble) -> None:
        self._beginners[trouble.change](trouble)

    def _slow(self, trouble: Trouble) -> None:
        self._set_for(trouble, 'slow_times', trouble.times, 1.0)

    def _hang(self, trouble: Trouble) -> None:
        self._set_for(trouble, 'hang_share', trouble.times, 0.0)

    def _fail(self, trouble: Trouble) -> None:
        self._set_for(trouble, 'error_share', trouble.times, 0.0)

    def _set_for(
        self, trouble: Trouble, name: str, value: float, calm: float
    ) -> None:
        for each in self._fleet.upstreams[: trouble.count]:
            setattr(each, name, value)
            self._clock.call(trouble.seconds, setattr, each, name, calm)

    def _join(self, trouble: Trouble) -> None:
        zones = _overload_pattern.ZONES
        for number in range(trouble.count):
            zone = zones[number % len(zones)]
            self._fleet.add_upstream(zone, JOINING_SLOTS).begin_cold()
        self._tell_entries()

    def _release(self, trouble: Trouble) -> None:
        replaced = self._fleet.upstreams[: trouble.count]
        for number, each in enumerate(replaced):
            pause = number * _RELEASE_PAUSE_SECONDS / trouble.times
            self._clock.call(pause, self._replace, each)

    def _replace(self, upstream: _overload_upstream.ModelUpstream) -> None:
        self._fleet.add_upstream(upstream.zone, upstream.slots).begin_cold()
        upstream.is_draining = True
        self._tell_entries()
        self._clock.call(_DRAIN_SECONDS, self._end_upstream, upstream)

    def _end_upstream(
        self, upstream: _overload_upstream.ModelUpstream
    ) -> None:
        upstream.is_gone = True
        self._tell_entries()

    def _tell_entries(self) -> None:
        self._clock.call(_ENTRY_SECONDS, self._fleet.tell_upstreams)

    def _cut(self, trouble: Trouble) -> None:
        self._fleet.cut_zone = trouble.zone
        self._clock.call(trouble.seconds, setattr, self._fleet, 'cut_zone', '')

    def _list_zone(self, zone: str) -> list[_overload_upstream.ModelUpstream]:
        return [each for each in self._fleet.upstreams if each.zone == zone]

    def _return_cold(self, trouble: Trouble) -> None:
        upstreams = self._list_zone(trouble.zone)
        for each in upstreams:
            each.end()
        lapse = min(_LAPSE_SECONDS, trouble.seconds)
        self._clock.call(lapse, self._fleet.tell_upstreams)
        self._clock.call(trouble.seconds, self._start_cold, upstreams)

    def _start_cold(
        self, upstreams: list[_overload_upstream.ModelUpstream]
    ) -> None:
        for each in upstreams:
            each.is_gone = False
            each.begin_cold()
        self._tell_entries()

    def _evacuate(self, trouble: Trouble) -> None:
        zones = (trouble.zone,)
        self._clock.call(_ENTRY_SECONDS, self._fleet.evacuate, zones)
        self._clock.call(trouble.seconds, self._take_back, trouble.zone)

    def _take_back(self, zone: str) -> None:
        for each in self._list_zone(zone):
            each.begin_cold()
        self._fleet.tell_upstreams()
        self._fleet.evacuate(())

    def _lose_zone(self, trouble: Trouble) -> None:
        self._return_cold(trouble)
        self._fleet.stop_zone(trouble.zone)
        self._clock.call(trouble.seconds, self._fleet.start_zone, trouble.zone)

    def _stop_all(self, trouble: Trouble) -> None:
        for each in self._fleet.instances:
            each.core = None
        self._clock.call(trouble.seconds, self._fleet.start_all)
