"""A platform in memory, on the virtual clock of ``measure control``."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import functools
import random

from skylarkfold import platform_api
from skylarkfold import revision as revisions

OK = platform_api.PlatformStatus.OK
UNKNOWN = platform_api.PlatformStatus.UNKNOWN

Answer = Callable[[float, platform_api.PlatformAnswer], None]


@dataclasses.dataclass(slots=True)
class _Watch:
    prefix: str
    revision: int
    deadline: float
    answer: Answer


class Platform:
    """Objects with revisions, waiting watches and a lagging list.

    :param delay_seconds: how long a call takes to be answered.
    :param seed: decides which answers are lost and which are stale.
    """

    def __init__(self, delay_seconds: float, seed: int) -> None:
        self.delay_seconds = delay_seconds
        self.is_down = False
        self.lost_share = 0.0
        self.stale_share = 0.0
        self.era = 0
        self.number = 0
        self.compacted = 0
        self.reads = 0
        self.writes = 0
        self.instances: tuple[platform_api.ListedInstance, ...] = ()
        self._random = random.Random(seed)
        self._history: list[platform_api.StoredObject] = []
        self._watches: list[_Watch] = []

    def write(
        self, now: float, path: str, value: bytes | None
    ) -> platform_api.StoredObject:
        """Write an object and answer the watches that wait for it."""
        self.writes += 1
        self.number += 1
        current = self._read(path, self.number)
        version = 1 if current is None else current.version + 1
        written = platform_api.StoredObject(
            path, version, self.revision, value
        )
        self._history.append(written)
        if not self.is_down:
            self._wake(now)
        return written

    @property
    def revision(self) -> int:
        """Where its history is."""
        return int(revisions.Revision(self.number, self.era))

    def restore(self, number: int) -> None:
        """Come back, in a new era, from a copy that ends at a number.

        :param number: of the revision; what was written since is lost.
        """
        self.era += 1
        self.number = number
        self.compacted = min(self.compacted, number)
        self._history = [
            dataclasses.replace(
                each,
                revision=int(
                    revisions.Revision(
                        revisions.get_number(each.revision), self.era
                    )
                ),
            )
            for each in self._history[:number]
        ]

    def list_current(self) -> dict[str, platform_api.StoredObject]:
        """List the newest form of each object, deleted ones included."""
        return {each.path: each for each in self._history}

    def call(
        self, now: float, request: platform_api.PlatformCall, answer: Answer
    ) -> None:
        """Take a call; nothing comes back while the platform is down."""
        if self.is_down or self._random.random() < self.lost_share:
            return
        self.reads += 1
        self._take(request, now, answer)

    def tick(self, now: float) -> None:
        """Answer the watches whose time is over."""
        if self.is_down:
            return
        overdue = [each for each in self._watches if each.deadline <= now]
        self._watches = [each for each in self._watches if each.deadline > now]
        for watch in overdue:
            self._answer_watch(now, watch)

    def stop(self) -> None:
        """Go down; waiting calls are lost."""
        self.is_down = True
        self._watches.clear()

    def start(self) -> None:
        """Come back."""
        self.is_down = False

    @functools.singledispatchmethod
    def _take(self, request: object, now: float, answer: Answer) -> None:
        raise TypeError(request)

    @_take.register
    def _(
        self, request: platform_api.ListInstances, now: float, answer: Answer
    ) -> None:
        answered = platform_api.PlatformAnswer(OK, instances=self.instances)
        answer(now + self.delay_seconds, answered)

    @_take.register
    def _(
        self, request: platform_api.ListObjects, now: float, answer: Answer
    ) -> None:
        revision = self._choose_revision()
        objects = tuple(
            each
            for each in self._list_at(revision).values()
            if each.value is not None and each.path.startswith(request.prefix)
        )
        answered = platform_api.PlatformAnswer(OK, objects, revision)
        answer(now + self.delay_seconds, answered)

    @_take.register
    def _(
        self, request: platform_api.WatchObjects, now: float, answer: Answer
    ) -> None:
        deadline = now + request.wait_seconds
        watch = _Watch(request.prefix, request.revision, deadline, answer)
        is_stale = self._random.random() < self.stale_share
        is_known = self._is_known(request.revision)
        if not is_known:
            refused = platform_api.PlatformStatus.REFUSED
            answer(now, platform_api.PlatformAnswer(refused))
        elif is_stale or self.revision > request.revision:
            self._answer_watch(now, watch)
        else:
            self._watches.append(watch)

    def _is_known(self, revision: int) -> bool:
        """Tell whether a watch may begin at a revision."""
        number = revisions.get_number(revision)
        is_same_era = revisions.get_era(revision) == self.era
        return is_same_era and self.compacted <= number <= self.number

    def _wake(self, now: float) -> None:
        waiting, self._watches = self._watches, []
        for watch in waiting:
            self._answer_watch(now, watch)

    def _answer_watch(self, now: float, watch: _Watch) -> None:
        if not self._is_known(watch.revision):
            refused = platform_api.PlatformStatus.REFUSED
            watch.answer(now, platform_api.PlatformAnswer(refused))
            return
        revision = self._choose_revision()
        objects = tuple(
            each
            for each in self._list_at(revision).values()
            if each.revision > watch.revision
            and each.path.startswith(watch.prefix)
        )
        answered = platform_api.PlatformAnswer(OK, objects, revision)
        watch.answer(now + self.delay_seconds, answered)

    def _choose_revision(self) -> int:
        if self._random.random() < self.stale_share:
            number = self._random.randint(self.compacted, self.number)
            return int(revisions.Revision(number, self.era))
        return self.revision

    def _list_at(self, revision: int) -> dict[str, platform_api.StoredObject]:
        # Numbers are counted from 1 without gaps.
        number = revisions.get_number(revision)
        return {each.path: each for each in self._history[:number]}

    def _read(
        self, path: str, number: int
    ) -> platform_api.StoredObject | None:
        found = self._list_at(number).get(path)
        if found is None or found.value is None:
            return None
        return found
