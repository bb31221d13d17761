"""Synchronization of topics between peers."""

from __future__ import annotations

from skylarkfold import backoff
from skylarkfold.relay import _announcer
from skylarkfold.relay import _effect
from skylarkfold.relay import _item
from skylarkfold.relay import _messages
from skylarkfold.relay import _peer
from skylarkfold.relay import _peers
from skylarkfold.relay import _rate_limiter
from skylarkfold.relay import _settings
from skylarkfold.relay import _topic
from skylarkfold import revision as revisions

# Seconds of the budget for snapshots that may be sent in a burst.
_SERVE_BURST_SECONDS = 1.0


class Synchronizer:
    """Synchronizer of this instance's topics with those of its peers.

    It compares positions, fetches missing changes from peers that are ahead,
    and answers the fetches of peers that are behind.

    :param peers: the known instances.
    :param announcer: sends changes to the neighbours.
    :param topics: all topics.
    :param settings: the relay's settings.
    :param jitter: draws the peer to fetch from, so that instances differ.
    """

    __slots__ = (
        '_announcer',
        '_jitter',
        '_peers',
        '_settings',
        '_snapshot_limiter',
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
        self._snapshot_limiter = _rate_limiter.RateLimiter(
            settings.serve_bytes_per_second, _SERVE_BURST_SECONDS
        )
        self._peers = peers
        self._announcer = announcer
        self._topics = topics
        self._settings = settings

    def handle_delta(
        self, now: float, host: str, beacon: _messages.Beacon
    ) -> list[object]:
        """Apply the changes in a beacon if they follow the known position.

        :param now: the current time.
        :param host: the sender's host.
        :param beacon: the beacon, with a delta.
        :returns: the effects to perform.
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
        changed = topic.apply_changes(delta.items, revision)
        return self.announce_changes(now, topic, base, changed, host)

    def handle_position(
        self,
        now: float,
        topic: _topic.Topic,
        host: str,
        position: _messages.Position,
    ) -> list[object]:
        """Compare a peer's position in a topic with this instance's.

        :param now: the current time.
        :param topic: the topic.
        :param host: the peer's host.
        :param position: the peer's position.
        :returns: the effects to perform.
        """
        effects: list[object] = []
        if position.revision > topic.position:
            if not topic.is_complete or position.changed > topic.position:
                return self._start_fetch(now, topic, host)
            # Nothing in this topic has been written in between.
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
            topic.confirm_by_peer(
                now, now - position.age_seconds, position.confirmed_by
            )
        is_same_era = position.revision.era == topic.position.era
        topic.has_met_peer = topic.has_met_peer or is_same_era
        if topic.may_lack_retained and is_same_era and position.retained:
            # A fetch from revision 0 gets a snapshot with retained objects.
            return effects + self._start_fetch(
                now, topic, host, revisions.ZERO
            )
        return effects

    def handle_fetch(
        self, now: float, number: int, position: revisions.Revision
    ) -> _messages.Page | None:
        """Answer the fetch of a peer that is behind.

        :param now: the current time.
        :param number: the topic's number.
        :param position: the peer's position.
        :returns: the page; None if this instance isn't ahead, or if its
            budget for snapshots is spent, which leaves the link to callers.
        """
        if number >= len(self._topics):
            return None
        topic = self._topics[number]
        if not topic.is_complete or position > topic.position:
            return None
        page = topic.build_page(now, position)
        if page.is_snapshot:
            if not self._snapshot_limiter.may_send(now):
                return None
            self._snapshot_limiter.record_bytes(now, len(page.packed))
        return page

    def handle_page(
        self,
        now: float,
        fetch: _effect.Fetch,
        page: _messages.Page | None,
    ) -> list[object]:
        """Process the result of a fetch.

        :param now: the current time.
        :param fetch: the fetch.
        :param page: the peer's answer; None if it failed.
        :returns: the effects to perform.
        """
        topic = self._topics[fetch.topic]
        fetched_at = now - fetch.timeout_seconds
        if topic.fetch_host == fetch.host:
            topic.fetch_host = ''
            fetched_at = topic.fetch_expires_at - fetch.timeout_seconds
        if page is None:
            event = _effect.RecordEvent(
                'fetch-failed', host=fetch.host, topic=topic.name
            )
            return [
                event,
                *self._fetch_from_other_peer(now, topic, fetch.host),
            ]
        base = topic.position
        is_gap = page.base > base and not page.is_snapshot
        if is_gap or page.revision < base:
            return []
        changed = topic.handle_page(now, page)
        if page.age_seconds is not None:
            # The peer told its age after the request; a large page takes long.
            topic.confirm_by_peer(now, fetched_at - page.age_seconds)
        return self.announce_changes(now, topic, base, changed, fetch.host)

    def announce_changes(
        self,
        now: float,
        topic: _topic.Topic,
        base: revisions.Revision,
        changed: list[_item.Item],
        source: str,
    ) -> list[object]:
        """Report changes of a topic locally and send them to neighbours.

        :param now: the current time.
        :param topic: the topic.
        :param base: the topic's position before the changes.
        :param changed: the changed objects.
        :param source: the host that sent them; empty for the store.
        :returns: the effects to perform.
        """
        effects: list[object] = [*topic.take_events()]
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

    def expire_retained(self, now: float, topic: _topic.Topic) -> list[object]:
        """Drop retained objects of a topic whose retention time is over.

        :param now: the current time.
        :param topic: the topic.
        :returns: the effects to perform; none if nothing has expired.
        """
        expired = topic.expire_retained()
        if not expired:
            return []
        return [
            *topic.take_events(),
            _effect.TopicChanged(
                topic.name,
                topic.position,
                '',
                [each.path for each in expired],
                topic.compute_lag(now),
                topic.position,
            ),
        ]

    def _start_fetch(
        self,
        now: float,
        topic: _topic.Topic,
        host: str,
        base: revisions.Revision | None = None,
    ) -> list[object]:
        if topic.fetch_host and now < topic.fetch_expires_at:
            return []
        topic.fetch_host = host
        timeout = self._settings.fetch_seconds
        topic.fetch_expires_at = now + timeout
        if base is None:
            base = topic.position
        return [_effect.Fetch(host, topic.number, base, timeout)]

    def _fetch_from_other_peer(
        self, now: float, topic: _topic.Topic, failed_host: str
    ) -> list[object]:
        ahead = [
            peer
            for peer in self._peers.members.values()
            if peer.host != failed_host and _is_ahead(peer, topic)
        ]
        if not ahead:
            topic.call_store_after = now + self._jitter.uniform(
                0.0, 2.0 * self._settings.busy_seconds
            )
            return []
        # Instances that start at the same moment choose different peers.
        index = int(self._jitter.uniform(0.0, len(ahead) - 1e-9))
        return self._start_fetch(now, topic, ahead[index].host)


def _is_ahead(peer: _peer.Peer, topic: _topic.Topic) -> bool:
    if not peer.positions or not peer.is_reachable:
        return False
    return peer.positions[topic.number].changed > topic.position
