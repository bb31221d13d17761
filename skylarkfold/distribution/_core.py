"""The decisions of the distribution."""

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

_NEVER = -1


class DistributionCore:
    """Keeps this instance's objects at the platform's newest.

    A few instances of each zone watch the platform; all instances tell
    their neighbours how far they are, and fetch what they lack from a
    neighbour that is further.

    :param instance: this instance's identity.
    :param settings: the distribution's settings.
    :param seed: spreads this instance's timers against the others'.
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
        self._feed = _platform_watch.Feed(settings, seed)
        self._fetcher = _fetcher.Fetcher(settings)
        self._comparison = _divergence.Comparison(settings)
        self._server = _fetch_server.Server(settings, self._cache)
        self._retained = _retained.RetainedObjects(settings)
        self._neighbours: tuple[str, ...] = ()
        self._membership = member.EMPTY
        self._rank = 0
        self._confirmed: float | None = None
        self._started: float | None = None
        self._ticked: float | None = None
        self._woken: float | None = None
        self._next_announcement = 0.0
        self._is_complete = False
        self._is_stopping = False

    @property
    def revision(self) -> int:
        """The position: all changes up to this revision are known."""
        return self._cache.position

    @property
    def is_ready(self) -> bool:
        """Whether the objects are complete and not those of a sleeper."""
        return self._is_complete and self._woken is None

    def compute_age(self, now: float) -> float | None:
        """Compute how old the view of the store may be.

        :param now: the time in seconds.
        :returns: seconds since the platform confirmed it, here or at the
            instance that passed it on; None for never.
        """
        if self._confirmed is None:
            return None
        return now - self._confirmed

    def get(self, path: str) -> platform_api.StoredObject | None:
        """Find an object.

        :param path: its path.
        :returns: its newest known form, None if unknown or deleted.
        """
        found = self._cache.get(path)
        if found is None or found.value is None:
            return None
        return found

    def handle(self, now: float, event_: object) -> list[object]:
        """Take one event.

        :param now: the time in seconds of a monotonic clock.
        :param event_: one of :mod:`skylarkfold.event`.
        :returns: effects in order.
        """
        return self._take(event_, now)

    @functools.singledispatchmethod
    def _take(self, event_: object, now: float) -> list[object]:
        return []

    @_take.register
    def _(self, event_: event.Tick, now: float) -> list[object]:
        effects = self._note_pause(now)
        effects += self._watch(now)
        effects += self._fetcher.retry(now, self._cache.position)
        effects += self._server.serve(now)
        effects += self._give_up()
        if now >= self._next_announcement:
            effects += self._announce(now)
        return effects

    @_take.register
    def _(self, event_: event.MembershipChanged, now: float) -> list[object]:
        before, self._membership = self._membership, event_.membership
        topology = event_.membership.topology
        if topology and topology == before.topology:
            return []
        name = self._instance.name
        self._neighbours = membership_package.list_neighbours(
            event_.membership, name
        )
        self._rank = membership_package.rank_in_zone(event_.membership, name)
        return []

    @_take.register
    def _(self, event_: event.PeerConnected, now: float) -> list[object]:
        return [effect.SendToPeer(event_.peer, self._describe(now))]

    @_take.register
    def _(self, event_: event.PeerLost, now: float) -> list[object]:
        self._server.forget(event_.peer)
        self._comparison.forget(event_.peer)
        return self._fetcher.lose(event_.peer, now, self._cache.position)

    @_take.register
    def _(self, event_: event.StopRequested, now: float) -> list[object]:
        self._is_stopping = True
        return []

    @_take.register
    def _(self, event_: event.WriteEnded, now: float) -> list[object]:
        if event_.current is None:
            return []
        return self._keep(now, [event_.current])

    @_take.register
    def _(self, event_: event.PlatformAnswered, now: float) -> list[object]:
        news = self._feed.take(now, event_.call, event_.answer)
        if news is None:
            return []
        return self._take_news(news, now)

    @_take.register
    def _(self, event_: event.PeerMessageReceived, now: float) -> list[object]:
        return self._take_message(event_.message, event_.sender, now)

    @functools.singledispatchmethod
    def _take_message(
        self, message: object, sender: str, now: float
    ) -> list[object]:
        return []

    @_take_message.register
    def _(
        self, message: _messages.Position, sender: str, now: float
    ) -> list[object]:
        position = self._cache.position
        self._note_age(message, now)
        if message.revision < position:
            return [effect.SendToPeer(sender, self._describe(now))]
        if message.revision == position:
            return self._compare(message, sender, now)
        return self._fetcher.note(sender, message.revision, now, position)

    @_take_message.register
    def _(
        self, message: _messages.Fetch, sender: str, now: float
    ) -> list[object]:
        return self._server.take(sender, message, now)

    @_take_message.register
    def _(
        self, message: _messages.Busy, sender: str, now: float
    ) -> list[object]:
        return self._fetcher.lose(sender, now, self._cache.position)

    @_take_message.register
    def _(
        self, message: _messages.Delta, sender: str, now: float
    ) -> list[object]:
        if not self._fetcher.accepts(sender, message, self._cache.position):
            return [effect.CountMetric(metric.DISTRIBUTION_GAP)]
        try:
            objects = _packing.unpack(message.packed)
        except errors.DecodeError:
            malformed = effect.CountMetric(metric.DISTRIBUTION_MALFORMED)
            lost = self._fetcher.lose(sender, now, self._cache.position)
            return [malformed, *lost]
        effects = self._keep(now, objects)
        absent = self._fetcher.absorb(message, objects, self._cache)
        effects += self._keep(now, absent, is_absent=True)
        if message.is_last:
            self._wake()
            self._is_complete = True
        if message.is_last or not message.is_snapshot:
            effects += self._advance(message.revision, now, sender)
        return effects + self._fetcher.proceed(
            sender, now, self._cache.position
        )

    def _take_news(
        self, news: _platform_watch.News, now: float
    ) -> list[object]:
        if news.revision < self._cache.position:
            return [effect.CountMetric(metric.DISTRIBUTION_STALE)]
        effects = self._keep(now, news.objects, is_listed=news.is_listing)
        if news.is_listing:
            effects += self._drop_absent(news, now)
        self._wake()
        self._is_complete = True
        self._confirmed = now
        return effects + self._advance(news.revision, now, '')

    def _drop_absent(
        self, news: _platform_watch.News, now: float
    ) -> list[object]:
        present = (each.path for each in news.objects)
        absent = self._cache.list_absent(news.revision, present)
        self._cache.raise_floor(news.revision)
        buried = [_bury(each, news.revision) for each in absent]
        return self._keep(now, buried, is_absent=True)

    def _keep(
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
            is_fresh = self._is_fresh(each)
            if self._retained.stands(now, known, each, is_absent, is_fresh):
                effects.append(
                    effect.CountMetric(metric.DISTRIBUTION_RETAINED)
                )
            else:
                effects.append(effect.PublishObject(each))
        return effects

    def _is_fresh(self, candidate: platform_api.StoredObject) -> bool:
        """Tell whether an object was written since an era is known here."""
        position = self._cache.position
        era = revisions.get_era(candidate.revision)
        is_known_era = revisions.get_era(position) == era
        return is_known_era and candidate.revision > position

    def _give_up(self) -> list[object]:
        """Publish what the store has had for long enough."""
        if self._confirmed is None:
            return []
        effects: list[object] = []
        for path in self._retained.expire(self._confirmed):
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
        described = self._describe(now)
        return [
            effect.SendToPeer(peer, described)
            for peer in self._neighbours
            if peer != source
        ]

    def _describe(self, now: float) -> _messages.Position:
        age = self.compute_age(now)
        return _messages.Position(
            revision=self._cache.position,
            age_milliseconds=_NEVER if age is None else int(age * 1000),
            digest=self._cache.compute_digest(),
        )

    def _compare(
        self, message: _messages.Position, sender: str, now: float
    ) -> list[object]:
        self._wake()
        if message.digest == self._cache.compute_digest():
            self._comparison.forget(sender)
            return []
        revision = self._cache.position
        if self._comparison.note_difference(sender, revision, now):
            self._feed.want_listing()
        return [effect.CountMetric(metric.DISTRIBUTION_DIGEST_DIFFERS)]

    def _note_age(self, message: _messages.Position, now: float) -> None:
        if message.age_milliseconds < 0:
            return
        confirmed = now - message.age_milliseconds / 1000
        if self._confirmed is None or confirmed > self._confirmed:
            self._confirmed = confirmed

    def _watch(self, now: float) -> list[object]:
        must_call = self._feed.must_list or self._must_watch(now)
        if self._is_stopping or not must_call:
            return []
        return self._feed.call(now, self._cache.position)

    def _must_watch(self, now: float) -> bool:
        settings = self._settings
        if self._rank < settings.watchers:
            return True
        if self._rank >= settings.watchers + settings.substitutes:
            return False
        since = self._started if self._confirmed is None else self._confirmed
        return now - since > settings.silence_seconds

    def _note_pause(self, now: float) -> list[object]:
        if self._started is None:
            self._started = now
        last, self._ticked = self._ticked, now
        if last is not None and now - last > self._settings.pause_seconds:
            self._woken = now
            self._confirmed = None
            self._started = now
            return [effect.CountMetric(metric.DISTRIBUTION_WOKEN)]
        if self._woken is None:
            return []
        if now - self._woken > self._settings.relearn_seconds:
            self._wake()
        return []

    def _wake(self) -> None:
        self._woken = None


def _bury(
    each: platform_api.StoredObject, revision: int
) -> platform_api.StoredObject:
    return platform_api.StoredObject(
        each.path, each.version + 1, revision, None
    )
