"""What instances learn from one another, and who asks whom."""

from __future__ import annotations

from skylarkfold import backoff
from skylarkfold.relay import _announcer
from skylarkfold.relay import _effect
from skylarkfold.relay import _item
from skylarkfold.relay import _messages
from skylarkfold.relay import _pace
from skylarkfold.relay import _peer
from skylarkfold.relay import _peers
from skylarkfold.relay import _settings
from skylarkfold.relay import _topic
from skylarkfold import revision as revisions

# Half a second of an instance's whole link.
_SERVE_BURST_SECONDS = 1.0


class Exchange:
    """Compares this instance's view with its peers', and asks who is ahead.

    :param peers: the other instances.
    :param announcer: tells the neighbours of changes.
    :param topics: all topics.
    :param settings: the relay's settings.
    :param jitter: spreads whom this instance asks against the others' choice.
    """

    __slots__ = (
        '_announcer',
        '_jitter',
        '_pace',
        '_peers',
        '_settings',
        '_topics',
    )

    def __init__(
        self,
        peers: _peers.PeerTable,
        announcer: _announcer.Announcer,
        topics: list[_topic.Topic],
        settings: _settings.RelaySettings,
        jitter: backoff.Jitter,
    ) -> None:
        self._jitter = jitter
        self._pace = _pace.Pace(
            settings.serve_bytes_per_second, _SERVE_BURST_SECONDS
        )
        self._peers = peers
        self._announcer = announcer
        self._topics = topics
        self._settings = settings

    def take_news(
        self, now: float, host: str, beacon: _messages.Beacon
    ) -> list[object]:
        """Take changes that came with a beacon.

        :param now: the time.
        :param host: where it came from.
        :param beacon: the beacon.
        :returns: effects.
        """
        delta = beacon.delta
        if delta.topic >= len(self._topics):
            return []
        topic = self._topics[delta.topic]
        revision = beacon.positions[delta.topic].revision
        base = topic.position
        if not topic.is_complete or delta.base > base or revision <= base:
            return []
        if delta.base.era != revision.era:
            return []
        changed = topic.take_changes(delta.items, revision)
        return self.tell(now, topic, base, changed, host)

    def compare(
        self,
        now: float,
        topic: _topic.Topic,
        host: str,
        position: _messages.Position,
    ) -> list[object]:
        """Compare how far a peer is with what is known here.

        :param now: the time.
        :param topic: the topic.
        :param host: the peer.
        :param position: how far it is.
        :returns: effects.
        """
        effects: list[object] = []
        if position.revision > topic.position:
            if not topic.is_complete or position.changed > topic.position:
                return self._fetch(now, topic, host)
            # Nothing that concerns the topic was written in between.
            effects.append(
                _effect.RecordEvent(
                    'advanced',
                    host=host,
                    topic=topic.name,
                    since=str(topic.position),
                    revision=str(position.revision),
                )
            )
            topic.cache.advance(position.revision)
        if (
            position.revision == topic.position
            and topic.is_complete
            and position.age_seconds is not None
        ):
            topic.confirm(now - position.age_seconds)
        is_same_era = position.revision.era == topic.position.era
        if topic.is_alone and is_same_era and position.retained:
            # Asked from the beginning, it tells what it retains as well.
            return effects + self._fetch(now, topic, host, revisions.ZERO)
        return effects

    def handle_fetch(
        self, now: float, number: int, position: revisions.Revision
    ) -> _messages.Page | None:
        """Answer a peer that is behind.

        :param now: the time.
        :param number: the topic's number.
        :param position: the peer's position.
        :returns: the page; None if this instance has none to give, or has
            given so much lately that its link is for its callers.
        """
        if number >= len(self._topics):
            return None
        topic = self._topics[number]
        if not topic.is_complete or position > topic.position:
            return None
        page = topic.build_page(now, position)
        if page.is_snapshot:
            if not self._pace.is_due(now):
                return None
            self._pace.note_bytes(now, len(page.packed))
        return page

    def handle_page(
        self,
        now: float,
        fetch: _effect.Fetch,
        page: _messages.Page | None,
    ) -> list[object]:
        """Take the end of a fetch.

        :param now: the time.
        :param fetch: what was asked.
        :param page: the answer; None for none.
        :returns: effects.
        """
        topic = self._topics[fetch.topic]
        if topic.fetching == fetch.host:
            topic.fetching = ''
        if page is None:
            note = _effect.RecordEvent(
                'fetch-failed', host=fetch.host, topic=topic.name
            )
            return [note, *self._fetch_elsewhere(now, topic, fetch.host)]
        base = topic.position
        is_gap = page.base > base and not page.is_snapshot
        if is_gap or page.revision < base:
            return []
        changed = topic.handle_page(now, page)
        if page.age_seconds is not None:
            topic.confirm(now - page.age_seconds)
        return self.tell(now, topic, base, changed, fetch.host)

    def tell(
        self,
        now: float,
        topic: _topic.Topic,
        base: revisions.Revision,
        changed: list[_item.Item],
        source: str,
    ) -> list[object]:
        """Tell of changes, here and to the neighbours.

        :param now: the time.
        :param topic: the topic.
        :param base: up to which revision it was known here before.
        :param changed: the objects that are new.
        :param source: the host that they came from; empty for the store.
        :returns: effects.
        """
        effects: list[object] = [*topic.take_notes()]
        is_first = base == 0
        if changed or is_first or topic.position.era != base.era:
            paths = [each.path for each in changed]
            effects.append(
                _effect.TopicChanged(
                    topic.name,
                    topic.position,
                    source,
                    paths,
                    topic.compute_lag(now),
                    base,
                )
            )
        is_new_era = topic.position.era != base.era
        if (changed or is_new_era) and not is_first:
            effects += self._announcer.push(now, topic, base, changed, source)
        return effects

    def give_up(self, now: float, topic: _topic.Topic) -> list[object]:
        """Let what the store has count in place of what was retained.

        :param now: the time.
        :param topic: the topic.
        :returns: effects, none as long as it may still be written again.
        """
        expired = topic.expire_retained()
        if not expired:
            return []
        return [
            *topic.take_notes(),
            _effect.TopicChanged(
                topic.name,
                topic.position,
                '',
                [each.path for each in expired],
                topic.compute_lag(now),
                topic.position,
            ),
        ]

    def _fetch(
        self,
        now: float,
        topic: _topic.Topic,
        host: str,
        base: revisions.Revision | None = None,
    ) -> list[object]:
        if topic.fetching and now < topic.fetch_until:
            return []
        topic.fetching = host
        timeout = self._settings.fetch_seconds
        topic.fetch_until = now + timeout
        if base is None:
            base = topic.position
        return [_effect.Fetch(host, topic.number, base, timeout)]

    def _fetch_elsewhere(
        self, now: float, topic: _topic.Topic, failed: str
    ) -> list[object]:
        ahead = [
            peer
            for peer in self._peers.members.values()
            if peer.host != failed and _is_ahead(peer, topic)
        ]
        if not ahead:
            topic.call_after = now + self._jitter.uniform(
                0.0, 2.0 * self._settings.busy_seconds
            )
            return []
        # Not the same one for all that start in the same moment.
        place = int(self._jitter.uniform(0.0, len(ahead) - 1e-9))
        return self._fetch(now, topic, ahead[place].host)


def _is_ahead(peer: _peer.Peer, topic: _topic.Topic) -> bool:
    if not peer.positions or not peer.is_reachable:
        return False
    return peer.positions[topic.number].changed > topic.position
