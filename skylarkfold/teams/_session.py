"""Calls of one operator's command, as steps without I/O.

A step is a generator: it yields the calls and pauses that it needs, is
sent the answers, and returns its result. A runner performs them.
"""

from __future__ import annotations

from collections.abc import Generator
from collections.abc import Iterator
import dataclasses
import enum
import random
from typing import TypeVar

from skylarkfold import errors
from skylarkfold import platform_api
from skylarkfold import revision as revisions
from skylarkfold import store

_Result = TypeVar('_Result')
_Status = platform_api.PlatformStatus


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Wait before the next call."""

    seconds: float


Steps = Generator[
    platform_api.PlatformCall | Pause,
    platform_api.PlatformAnswer | None,
    _Result,
]


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """How long an operator's command goes on trying.

    :param tries: calls of one step at most.
    :param pause_seconds: the first pause between them; it doubles.
    :param maximum_pause_seconds: the longest.
    :param claim_patience_seconds: how long a claim that another team is
        about to use must stand unchanged before it is taken over.
    :param timeout_seconds: how long a call waits for its answer.
    """

    tries: int = 7
    pause_seconds: float = 0.1
    maximum_pause_seconds: float = 2.0
    claim_patience_seconds: float = 2.0
    timeout_seconds: float = 3.0


class Outcome(enum.StrEnum):
    """How a conditional write of an operator ended.

    ``DONE``: it took effect. ``LOST``: it never will. ``REPLACED``: others
    have written since; it may have stood before. ``UNKNOWN``: the platform
    stayed away; it may still take effect. ``UNSENT``: it never will, since
    the platform refused it.
    """

    DONE = 'done'
    LOST = 'lost'
    REPLACED = 'replaced'
    UNKNOWN = 'unknown'
    UNSENT = 'unsent'


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The outcome of a write and what was read meanwhile.

    :param outcome: how it ended.
    :param current: what stands there, where it had to be read.
    """

    outcome: Outcome
    current: platform_api.StoredObject | None = None


_OUTCOMES = {
    store.WriteOutcome.DONE: Outcome.DONE,
    store.WriteOutcome.LOST: Outcome.LOST,
    store.WriteOutcome.REPLACED: Outcome.REPLACED,
}


class Session:
    """The calls of one command and what it has seen already.

    Nothing older than what it has seen is taken from the platform. Once the
    store has come back from an older copy, its word counts from there.

    :param write_id: the identity of the command's write, unique among all
        writes; the jitter comes from it.
    :param settings: how long to go on trying.
    """

    def __init__(
        self, write_id: str, settings: RetrySettings = RetrySettings()
    ) -> None:
        self.write_id = write_id
        self.settings = settings
        self._generator = random.Random(write_id)
        self._versions: dict[str, int] = {}
        self._revision = 0
        self._era = 0

    def record_version(self, path: str, version: int) -> None:
        """Note that a version exists; older ones are not taken any more.

        :param path: the object.
        :param version: its version.
        """
        self._versions[path] = max(version, self._versions.get(path, 0))

    def pause(self, number: int) -> Pause:
        """Make the pause after a try that failed.

        :param number: how many tries failed before.
        :returns: the pause, with jitter.
        """
        seconds = self.settings.pause_seconds * 2.0 ** min(number, 30)
        seconds = min(seconds, self.settings.maximum_pause_seconds)
        return Pause(seconds * self._generator.uniform(0.5, 1.0))

    def count_tries(self) -> Iterator[int]:
        """Count the tries that a step may make."""
        return iter(range(self.settings.tries))

    def read(self, path: str) -> Steps[platform_api.StoredObject | None]:
        """Read one object.

        :param path: its path.
        :returns: the object, None if there is none.
        :raises PlatformError: if no answer comes that is recent enough.
        """
        for number in self.count_tries():
            answer = yield platform_api.ReadObject(path)
            if answer.status in (_Status.OK, _Status.NOT_FOUND):
                found = answer.find_object(path)
                if self._follow(answer) and self._take_version(path, found):
                    return found
            yield self.pause(number)
        raise errors.PlatformError(f'{path} could not be read')

    def list_objects(
        self, prefix: str
    ) -> Steps[list[platform_api.StoredObject]]:
        """Read all objects under a prefix.

        :param prefix: the prefix.
        :returns: the objects.
        :raises PlatformError: if no answer comes that is recent enough.
        """
        for number in self.count_tries():
            answer = yield platform_api.ListObjects(prefix)
            if answer.status is _Status.OK and self._take_list(prefix, answer):
                return [e for e in answer.objects if e.value is not None]
            yield self.pause(number)
        raise errors.PlatformError(f'{prefix} could not be read')

    def write(self, write: platform_api.WriteObject) -> Steps[Settled]:
        """Carry out a conditional write and settle a lost answer.

        :param write: the write; its value must be unique to the writer.
        :returns: its outcome.
        """
        answer_lost = False
        was_refused = False
        for number in self.count_tries():
            answer = yield write
            if answer.status is _Status.OK:
                self.record_version(write.path, write.expected_version + 1)
                return Settled(Outcome.DONE)
            if answer.status in (_Status.CONFLICT, _Status.NOT_FOUND):
                was_refused = True
                if not answer_lost:
                    return Settled(Outcome.LOST)
            answer_lost |= answer.status is _Status.UNKNOWN
            if answer_lost:
                settled = yield from self._read_back(write, was_refused)
                if settled is not None:
                    return settled
            yield self.pause(number)
        if not answer_lost:
            return Settled(Outcome.UNSENT)
        return Settled(Outcome.REPLACED if was_refused else Outcome.UNKNOWN)

    def _read_back(
        self, write: platform_api.WriteObject, was_refused: bool
    ) -> Steps[Settled | None]:
        answer = yield platform_api.ReadObject(write.path)
        if answer.status not in (_Status.OK, _Status.NOT_FOUND):
            return None
        if not self._follow(answer):
            return None
        current = answer.find_object(write.path)
        finding = store.resolve_write(write, current, was_refused)
        if finding not in _OUTCOMES:
            return None
        self._take_version(write.path, current)
        return Settled(_OUTCOMES[finding], current)

    def _follow(self, answer: platform_api.PlatformAnswer) -> bool:
        """Follow the store into a later era, in which it counts anew.

        :param answer: its answer.
        :returns: whether that is not of an era that has ended.
        """
        told = (answer.revision, *(each.revision for each in answer.objects))
        era = revisions.get_era(max(told))
        if era > self._era:
            self._era = era
            self._versions.clear()
            self._revision = 0
        return era == self._era

    def _take_version(
        self, path: str, found: platform_api.StoredObject | None
    ) -> bool:
        version = store.get_version(found)
        if version < self._versions.get(path, 0):
            return False
        self.record_version(path, version)
        return True

    def _take_list(
        self, prefix: str, answer: platform_api.PlatformAnswer
    ) -> bool:
        if not self._follow(answer) or answer.revision < self._revision:
            return False
        listed = {each.path: each for each in answer.objects}
        for path in list(self._versions):
            if path.startswith(prefix) and not self._take_version(
                path, listed.get(path)
            ):
                return False
        for path, each in listed.items():
            self._take_version(path, each)
        self._revision = answer.revision
        return True
