"""What an instance learns of the store, put in force."""

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

# Names of changed objects in one log line.
_LOGGED_NAMES = 20


class StoreLink:
    """Calls the store, and puts what is learnt of it in force.

    :param loop: the event loop.
    :param platform: the platform's bytes.
    :param knowledge: reads the objects.
    :param relay_core: decides what is asked, and knows the objects.
    :param core: the decisions on flows.
    :param reporter: lines and counters.
    :param perform: performs effects.
    """

    __slots__ = (
        '_core',
        '_knowledge',
        '_loop',
        '_perform',
        '_platform',
        '_relay',
        '_reporter',
        '_store',
        '_was_ready',
    )

    def __init__(
        self,
        loop: reactor.Loop,
        platform: _platform.Platform,
        knowledge: _topics.Knowledge,
        relay_core: relay.RelayCore,
        core: affinity.AffinityCore,
        reporter: _reporter.Reporter,
        perform: Callable[[list[object]], object],
    ) -> None:
        self._loop = loop
        self._platform = platform
        self._knowledge = knowledge
        self._relay = relay_core
        self._core = core
        self._reporter = reporter
        self._perform = perform
        self._store = platform.open_store(loop)
        self._was_ready = False

    def call(self, wanted: relay.CallStore) -> None:
        """Call the store.

        :param wanted: the decision.
        """
        self._reporter.count(_metrics.STORE_CALLS)
        begun = self._loop.now()
        answered = functools.partial(self._take_answer, wanted.call, begun)
        self._store.call(wanted.call, answered)

    def cancel(self, wanted: relay.CancelCall) -> None:
        """End a call.

        :param wanted: the decision.
        """
        self._store.cancel(wanted.topic)

    def close(self) -> None:
        """Close all connections to the store."""
        self._store.close()

    def _take_answer(
        self, call: relay.Call, begun: float, answer: relay.Answer
    ) -> None:
        now = self._loop.now()
        self._reporter.count(f'{_metrics.STORE_ANSWERS}.{answer.status}')
        if call.revision is None:
            taken = self._reporter.histograms[_metrics.STORE_SECONDS]
            taken.observe(now - begun)
        if answer.status != relay.Status.ABANDONED:
            self._note_store(now, call.topic, answer.status)
        self._perform(self._relay.handle_answer(now, call, answer))

    def _note_store(self, now: float, topic: str, status: str) -> None:
        # That the history is forgotten is an answer, too.
        is_there = status in (relay.Status.OK, relay.Status.FORGOTTEN)
        reason = '' if is_there else status
        self._reporter.note_dependency(now, f'store/{topic}', reason)

    def take_change(self, wanted: relay.TopicChanged) -> None:
        """Put a change in force.

        :param wanted: what has changed.
        """
        self._reporter.log(
            'known',
            topic=wanted.topic,
            since=str(wanted.base),
            revision=str(wanted.revision),
            source=wanted.source or 'store',
            within_ms=_to_ms(wanted.lag_seconds),
            names=wanted.paths[:_LOGGED_NAMES],
        )
        self._apply(wanted.topic)
        if self._core.is_ready and not self._was_ready:
            self._was_ready = True
            self._reporter.log('ready', version=self._core.version)

    def apply_all(self) -> None:
        """Put all that is known in force again."""
        if self._relay.is_ready:
            for topic in self._knowledge.topics:
                self._apply(topic)

    def _apply(self, topic: str) -> None:
        items = self._relay.list_items(topic)
        now = self._loop.now()
        core = self._core
        self._perform(self._knowledge.apply(now, topic, items, core))

    def note_age(self, now: float) -> None:
        """Tell the decisions on flows how old their knowledge is.

        :param now: the time.
        """
        routes_at = self._find_settled(now, self._platform.routes_topic)
        if routes_at is not None:
            self._core.note_confirmed(routes_at)
        upstreams_at = self._find_settled(now, self._platform.upstreams_topic)
        if upstreams_at is not None:
            self._core.note_present(upstreams_at)

    def _find_settled(self, now: float, topic: str) -> float | None:
        """Find when all that there is of a topic was known.

        :returns: the time, None where the store may lack some of it.
        """
        if not self._relay.is_settled(topic):
            return None
        age = self._relay.compute_age(now, topic)
        return None if age is None else now - age


def _to_ms(seconds: float | None) -> int:
    return -1 if seconds is None else int(seconds * 1000)
