"""Core of the distribution subsystem."""

from __future__ import annotations

from collections.abc import Iterable
import functools

from skylarkfold.distribution import _divergence
from skylarkfold.distribution import _fetch_server
from skylarkfold.distribution import _fetcher
from skylarkfold.distribution import _messages
from skylarkfold.distribution import _packing
from skylarkfold.distribution import _platform_watch
from skylarkfold.distribution import _retained
from skylarkfold.distribution import _settings
from skylarkfold import effect
from skylarkfold import errors
from skylarkfold import event
from skylarkfold import instance as instance_module
from skylarkfold import member
from skylarkfold import membership as membership_package
from skylarkfold import metric
from skylarkfold import object_cache
from skylarkfold import platform_api
from skylarkfold import revision as revisions

_NEVER_CONFIRMED = -1


class DistributionCore:
    """Keeps this instance's objects up to date with the platform's store.

    A few instances of each zone watch the platform. All instances
    announce their position to their neighbours and fetch missing objects
    from a neighbour that is ahead.

    :param instance: this instance's settings.
    :param settings: the distribution's settings.
    :param seed: seed of the random jitter of this instance's timers.
    """

    def __init__(
        self,
        instance: instance_module.InstanceSettings,
        settings: _settings.DistributionSettings,
        seed: int,
    ) -> None:
        self._instance = instance
        self._settings = settings
        self._cache = object_cache.ObjectCache(settings.tombstones)
        self._platform_watch = _platform_watch.PlatformWatch(settings, seed)
        self._fetcher = _fetcher.Fetcher(settings)
        self._divergence = _divergence.DivergenceDetector(settings)
        self._fetch_server = _fetch_server.FetchServer(settings, self._cache)
        self._retained = _retained.RetainedObjects(settings)
        self._neighbours: tuple[str, ...] = ()
        self._membership = member.EMPTY
        self._zone_rank = 0
        self._confirmed_at: float | None = None
        self._started_at: float | None = None
        self._last_tick: float | None = None
        self._resumed_at: float | None = None
        self._next_announcement = 0.0
        self._is_complete = False
        self._is_stopping = False

    @property
    def revision(self) -> int:
        """The position: all changes up to this revision are applied."""
        return self._cache.position

    @property
    def is_ready(self) -> bool:
        """Whether the objects are complete and current.

        False until the first complete set of objects, and after a pause of
        the process until they are confirmed again.
        """
        return self._is_complete and self._resumed_at is None

    def compute_age(self, now: float) -> float | None:
        """Compute the age of the objects.

        :param now: the time in seconds.
        :returns: seconds since the platform last confirmed them, to this
            instance or to one that announced it; None if never.
        """
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def get(self, path: str) -> platform_api.StoredObject | None:
        """Return an object.

        :param path: its path.
        :returns: its newest known version, None if unknown or deleted.
        """
        found = self._cache.get(path)
        if found is None or found.value is None:
            return None
        return found

    def handle(self, now: float, event_: object) -> list[object]:
        """Handle one event.

        :param now: the time in seconds of a monotonic clock.
        :param event_: one of :mod:`skylarkfold.event`.
        :returns: effects in order.
        """
        return self._handle_event(event_, now)

    @functools.singledispatchmethod
    def _handle_event(self, event_: object, now: float) -> list[object]:
        return []

    @_handle_event.register
    def _(self, event_: event.Tick, now: float) -> list[object]:
        effects = self._check_pause(now)
        effects += self._call_platform(now)
        effects += self._fetcher.check_timeout(now, self._cache.position)
        effects += self._fetch_server.serve_pending(now)
        effects += self._release_retained()
        if now >= self._next_announcement:
            effects += self._announce(now)
        return effects

    @_handle_event.register
    def _(self, event_: event.MembershipChanged, now: float) -> list[object]:
        previous, self._membership = self._membership, event_.membership
        topology = event_.membership.topology
        if topology and topology == previous.topology:
            return []
        name = self._instance.name
        self._neighbours = membership_package.list_neighbours(
            event_.membership, name
        )
        self._zone_rank = membership_package.rank_in_zone(
            event_.membership, name
        )
        return []

    @_handle_event.register
    def _(self, event_: event.PeerConnected, now: float) -> list[object]:
        return [effect.SendToPeer(event_.peer, self._build_position(now))]

    @_handle_event.register
    def _(self, event_: event.PeerLost, now: float) -> list[object]:
        self._fetch_server.cancel_fetch(event_.peer)
        self._divergence.clear(event_.peer)
        return self._fetcher.drop_peer(event_.peer, now, self._cache.position)

    @_handle_event.register
    def _(self, event_: event.StopRequested, now: float) -> list[object]:
        self._is_stopping = True
        return []

    @_handle_event.register
    def _(self, event_: event.WriteEnded, now: float) -> list[object]:
        if event_.current is None:
            return []
        return self._store(now, [event_.current])

    @_handle_event.register
    def _(self, event_: event.PlatformAnswered, now: float) -> list[object]:
        update = self._platform_watch.take_answer(
            now, event_.call, event_.answer
        )
        if update is None:
            return []
        return self._apply_update(update, now)

    @_handle_event.register
    def _(self, event_: event.PeerMessageReceived, now: float) -> list[object]:
        return self._handle_message(event_.message, event_.sender, now)

    @functools.singledispatchmethod
    def _handle_message(
        self, message: object, sender: str, now: float
    ) -> list[object]:
        return []

    @_handle_message.register
    def _(
        self, message: _messages.Position, sender: str, now: float
    ) -> list[object]:
        position = self._cache.position
        self._update_confirmed_at(message, now)
        if message.revision < position:
            return [effect.SendToPeer(sender, self._build_position(now))]
        if message.revision == position:
            return self._compare_digest(message, sender, now)
        return self._fetcher.record_ahead(
            sender, message.revision, now, position
        )

    @_handle_message.register
    def _(
        self, message: _messages.Fetch, sender: str, now: float
    ) -> list[object]:
        return self._fetch_server.handle_fetch(sender, message, now)

    @_handle_message.register
    def _(
        self, message: _messages.Busy, sender: str, now: float
    ) -> list[object]:
        return self._fetcher.drop_peer(sender, now, self._cache.position)

    @_handle_message.register
    def _(
        self, message: _messages.Delta, sender: str, now: float
    ) -> list[object]:
        if not self._fetcher.accepts(sender, message, self._cache.position):
            return [effect.CountMetric(metric.DISTRIBUTION_GAP)]
        try:
            objects = _packing.unpack(message.packed)
        except errors.DecodeError:
            malformed = effect.CountMetric(metric.DISTRIBUTION_MALFORMED)
            refetches = self._fetcher.drop_peer(
                sender, now, self._cache.position
            )
            return [malformed, *refetches]
        effects = self._store(now, objects)
        absent = self._fetcher.take_page(message, objects, self._cache)
        effects += self._store(now, absent, is_absent=True)
        if message.is_last:
            self._end_relearning()
            self._is_complete = True
        if message.is_last or not message.is_snapshot:
            effects += self._advance(message.revision, now, sender)
        return effects + self._fetcher.fetch_next(
            sender, now, self._cache.position
        )

    def _apply_update(
        self, update: _platform_watch.PlatformUpdate, now: float
    ) -> list[object]:
        if update.revision < self._cache.position:
            return [effect.CountMetric(metric.DISTRIBUTION_STALE)]
        effects = self._store(now, update.objects, is_listed=update.is_listing)
        if update.is_listing:
            effects += self._delete_absent(update, now)
        self._end_relearning()
        self._is_complete = True
        self._confirmed_at = now
        return effects + self._advance(update.revision, now, '')

    def _delete_absent(
        self, update: _platform_watch.PlatformUpdate, now: float
    ) -> list[object]:
        present = (each.path for each in update.objects)
        absent = self._cache.list_absent(update.revision, present)
        self._cache.raise_floor(update.revision)
        tombstones = [
            _build_tombstone(each, update.revision) for each in absent
        ]
        return self._store(now, tombstones, is_absent=True)

    def _store(
        self,
        now: float,
        candidates: Iterable[platform_api.StoredObject],
        is_listed: bool = False,
        is_absent: bool = False,
    ) -> list[object]:
        effects: list[object] = []
        for each in candidates:
            if not each.path.startswith(self._settings.kept_prefixes):
                continue
            known = self._cache.get(each.path)
            if not self._cache.put(each, is_listed=is_listed):
                continue
            is_after_restore = self._is_written_after_restore(each)
            if self._retained.must_retain(
                now, known, each, is_absent, is_after_restore
            ):
                effects.append(
                    effect.CountMetric(metric.DISTRIBUTION_RETAINED)
                )
            else:
                effects.append(effect.PublishObject(each))
        return effects

    def _is_written_after_restore(
        self, candidate: platform_api.StoredObject
    ) -> bool:
        """Return whether an object was certainly written in the current era.

        An era begins when the store is restored from an older copy.
        """
        position = self._cache.position
        era = revisions.get_era(candidate.revision)
        is_known_era = revisions.get_era(position) == era
        return is_known_era and candidate.revision > position

    def _release_retained(self) -> list[object]:
        """Publish the store's version of objects no longer retained."""
        if self._confirmed_at is None:
            return []
        effects: list[object] = []
        for path in self._retained.release_expired(self._confirmed_at):
            effects.append(effect.CountMetric(metric.DISTRIBUTION_GIVEN_UP))
            found = self._cache.get(path)
            if found is not None:
                effects.append(effect.PublishObject(found))
        return effects

    def _advance(self, revision: int, now: float, source: str) -> list[object]:
        if not self._cache.advance(revision):
            return []
        reached = effect.PublishRevision(revision)
        return [reached, *self._announce(now, source)]

    def _announce(self, now: float, source: str = '') -> list[object]:
        self._next_announcement = now + self._settings.announce_seconds
        position = self._build_position(now)
        return [
            effect.SendToPeer(peer, position)
            for peer in self._neighbours
            if peer != source
        ]

    def _build_position(self, now: float) -> _messages.Position:
        age = self.compute_age(now)
        return _messages.Position(
            revision=self._cache.position,
            age_milliseconds=_NEVER_CONFIRMED
            if age is None
            else int(age * 1000),
            digest=self._cache.compute_digest(),
        )

    def _compare_digest(
        self, message: _messages.Position, sender: str, now: float
    ) -> list[object]:
        self._end_relearning()
        if message.digest == self._cache.compute_digest():
            self._divergence.clear(sender)
            return []
        revision = self._cache.position
        if self._divergence.record_mismatch(sender, revision, now):
            self._platform_watch.request_listing()
        return [effect.CountMetric(metric.DISTRIBUTION_DIGEST_DIFFERS)]

    def _update_confirmed_at(
        self, message: _messages.Position, now: float
    ) -> None:
        if message.age_milliseconds < 0:
            return
        confirmed_at = now - message.age_milliseconds / 1000
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def _call_platform(self, now: float) -> list[object]:
        must_call = self._platform_watch.must_list or self._is_watcher(now)
        if self._is_stopping or not must_call:
            return []
        return self._platform_watch.call_if_due(now, self._cache.position)

    def _is_watcher(self, now: float) -> bool:
        settings = self._settings
        if self._zone_rank < settings.watchers:
            return True
        if self._zone_rank >= settings.watchers + settings.substitutes:
            return False
        silent_since = (
            self._started_at
            if self._confirmed_at is None
            else self._confirmed_at
        )
        return now - silent_since > settings.silence_seconds

    def _check_pause(self, now: float) -> list[object]:
        if self._started_at is None:
            self._started_at = now
        last, self._last_tick = self._last_tick, now
        if last is not None and now - last > self._settings.pause_seconds:
            self._resumed_at = now
            self._confirmed_at = None
            self._started_at = now
            return [effect.CountMetric(metric.DISTRIBUTION_WOKEN)]
        if self._resumed_at is None:
            return []
        if now - self._resumed_at > self._settings.relearn_seconds:
            self._end_relearning()
        return []

    def _end_relearning(self) -> None:
        self._resumed_at = None


def _build_tombstone(
    each: platform_api.StoredObject, revision: int
) -> platform_api.StoredObject:
    return platform_api.StoredObject(
        each.path, each.version + 1, revision, None
    )
