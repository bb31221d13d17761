"""Calls the store, and applies changes of its objects."""

from __future__ import annotations

from collections.abc import Callable
import functools

from skylarkfold import affinity
from skylarkfold.forwarder import _metrics
from skylarkfold.forwarder import _platform
from skylarkfold.forwarder import _reporter
from skylarkfold.forwarder import _topics
from skylarkfold import reactor
from skylarkfold import relay

# The most names of changed objects in one log line.
_LOGGED_NAMES = 20


class StoreSync:
    """Calls the store, and applies changes of its topics.

    :param loop: the event loop.
    :param platform: opens the client of the store.
    :param topic_applier: applies the objects of a topic.
    :param relay_core: decides which calls are made, and holds the objects.
    :param core: the core that places flows.
    :param reporter: writes log lines and counts.
    :param perform: performs effects.
    """

    __slots__ = (
        '_core',
        '_loop',
        '_perform',
        '_platform',
        '_relay',
        '_reporter',
        '_store',
        '_topic_applier',
        '_was_ready',
    )

    def __init__(
        self,
        loop: reactor.Loop,
        platform: _platform.Platform,
        topic_applier: _topics.TopicApplier,
        relay_core: relay.RelayCore,
        core: affinity.AffinityCore,
        reporter: _reporter.Reporter,
        perform: Callable[[list[object]], object],
    ) -> None:
        self._loop = loop
        self._platform = platform
        self._topic_applier = topic_applier
        self._relay = relay_core
        self._core = core
        self._reporter = reporter
        self._perform = perform
        self._store = platform.open_store(loop)
        self._was_ready = False

    def call(self, effect: relay.CallStore) -> None:
        """Call the store.

        :param effect: the call.
        """
        self._reporter.count(_metrics.STORE_CALLS)
        started_at = self._loop.now()
        on_answer = functools.partial(
            self._handle_answer, effect.call, started_at
        )
        self._store.call(effect.call, on_answer)

    def cancel(self, effect: relay.CancelCall) -> None:
        """Cancel the pending call of a topic.

        :param effect: names the topic.
        """
        self._store.cancel(effect.topic)

    def confirm_routes(self, _wanted: affinity.ConfirmRoutes) -> None:
        """Have the store confirm the routes now.

        :param _wanted: has no fields.
        """
        now = self._loop.now()
        topic = self._platform.routes_topic
        self._perform(self._relay.request_proof(now, topic))

    def close(self) -> None:
        """Close all connections to the store."""
        self._store.close()

    def _handle_answer(
        self, call: relay.Call, started_at: float, answer: relay.Answer
    ) -> None:
        now = self._loop.now()
        self._reporter.count(f'{_metrics.STORE_ANSWERS}.{answer.status}')
        if call.revision is None:
            latency = self._reporter.histograms[_metrics.STORE_SECONDS]
            latency.observe(now - started_at)
        if answer.status != relay.Status.ABANDONED:
            self._log_store_status(now, call.topic, answer.status)
        self._perform(self._relay.handle_answer(now, call, answer))
        self.report_age(now)

    def _log_store_status(self, now: float, topic: str, status: str) -> None:
        # A store that has discarded the requested history is available, too.
        is_available = status in (relay.Status.OK, relay.Status.FORGOTTEN)
        reason = '' if is_available else status
        self._reporter.report_dependency(now, f'store/{topic}', reason)

    def apply_change(self, effect: relay.TopicChanged) -> None:
        """Apply a change of a topic.

        :param effect: the change.
        """
        self._reporter.log(
            'known',
            topic=effect.topic,
            since=str(effect.base),
            revision=str(effect.revision),
            source=effect.source or 'store',
            within_ms=_to_ms(effect.lag_seconds),
            names=effect.paths[:_LOGGED_NAMES],
        )
        self._apply(effect.topic)
        if self._core.is_ready and not self._was_ready:
            self._was_ready = True
            self._log_ready()

    def _log_ready(self) -> None:
        self._reporter.log(
            'ready',
            version=self._core.version,
            routes_age_ms=self._compute_age_ms(self._platform.routes_topic),
            upstreams_age_ms=self._compute_age_ms(
                self._platform.upstreams_topic
            ),
        )

    def _compute_age_ms(self, topic: str) -> int:
        return _to_ms(self._relay.compute_age(self._loop.now(), topic))

    def apply_all(self) -> None:
        """Apply all topics again."""
        if self._relay.is_ready:
            for topic in self._topic_applier.topics:
                self._apply(topic)

    def _apply(self, topic: str) -> None:
        items = self._relay.list_items(topic)
        now = self._loop.now()
        core = self._core
        self._perform(self._topic_applier.apply(now, topic, items, core))

    def report_age(self, now: float) -> None:
        """Tell the affinity core up to when its topics are confirmed.

        :param now: the time.
        """
        routes_at = self._find_confirmed_at(now, self._platform.routes_topic)
        if routes_at is not None:
            self._core.note_confirmed(routes_at)
            routes_topic = self._platform.routes_topic
            self._core.note_proved(self._relay.get_proved_at(routes_topic))
        upstreams_at = self._find_confirmed_at(
            now, self._platform.upstreams_topic
        )
        if upstreams_at is not None:
            self._core.note_present(upstreams_at)

    def _find_confirmed_at(self, now: float, topic: str) -> float | None:
        """Find up to when a topic is known to be complete.

        :returns: the time; None if objects of the topic may be missing.
        """
        if not self._relay.is_settled(topic):
            return None
        age = self._relay.compute_age(now, topic)
        return None if age is None else now - age


def _to_ms(seconds: float | None) -> int:
    return -1 if seconds is None else int(seconds * 1000)
