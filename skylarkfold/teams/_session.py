"""Platform calls of one operator's command, as generators without I/O.

A generator of type ``Steps`` yields calls and pauses, is sent the answers
and returns its result. A runner performs the calls and pauses.
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
    """A pause before the next call."""

    seconds: float


Steps = Generator[
    platform_api.PlatformCall | Pause,
    platform_api.PlatformAnswer | None,
    _Result,
]


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits on the retries and timeouts of an operator's command.

    :param tries: the maximum number of attempts of one operation.
    :param pause_seconds: the pause after the first attempt; it doubles with
        each further one.
    :param maximum_pause_seconds: the maximum pause.
    :param claim_patience_seconds: how long another team's pending claim
        must be unchanged before it is taken over.
    :param timeout_seconds: the timeout of a call.
    """

    tries: int = 7
    pause_seconds: float = 0.1
    maximum_pause_seconds: float = 2.0
    claim_patience_seconds: float = 2.0
    timeout_seconds: float = 3.0


class Outcome(enum.StrEnum):
    """The outcome of an operator's conditional write.

    ``DONE``: it took effect. ``LOST``: it conflicted and never takes
    effect. ``REPLACED``: there are later writes; it may have taken effect
    before them. ``UNKNOWN``: the platform did not answer; it may still take
    effect. ``UNSENT``: the platform refused it; it never takes effect.
    """

    DONE = 'done'
    LOST = 'lost'
    REPLACED = 'replaced'
    UNKNOWN = 'unknown'
    UNSENT = 'unsent'


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """The outcome of a write, with the object if it was read.

    :param outcome: the outcome.
    :param current: the current object; None if it was not read.
    """

    outcome: Outcome
    current: platform_api.StoredObject | None = None


_OUTCOMES = {
    store.WriteOutcome.DONE: Outcome.DONE,
    store.WriteOutcome.LOST: Outcome.LOST,
    store.WriteOutcome.REPLACED: Outcome.REPLACED,
}


class Session:
    """The platform calls of one command, with monotonic reads.

    Answers older than an earlier one are rejected. A later era, which the
    store starts when it is restored from an older copy, resets this.

    :param write_id: the unique id of the command's write; also the seed of
        the jitter.
    :param settings: limits on retries and timeouts.
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
        """Record that a version exists, so that older ones are rejected.

        :param path: the object.
        :param version: its version.
        """
        self._versions[path] = max(version, self._versions.get(path, 0))

    def pause(self, number: int) -> Pause:
        """Return the pause after a failed attempt.

        :param number: the number of earlier failed attempts.
        :returns: the pause, with jitter.
        """
        seconds = self.settings.pause_seconds * 2.0 ** min(number, 30)
        seconds = min(seconds, self.settings.maximum_pause_seconds)
        return Pause(seconds * self._generator.uniform(0.5, 1.0))

    def count_tries(self) -> Iterator[int]:
        """Return an iterator over the numbers of the allowed attempts."""
        return iter(range(self.settings.tries))

    def read(self, path: str) -> Steps[platform_api.StoredObject | None]:
        """Read one object.

        :param path: its path.
        :returns: the object, None if there is none.
        :raises PlatformError: if there is no sufficiently recent answer.
        """
        for number in self.count_tries():
            answer = yield platform_api.ReadObject(path)
            if answer.status in (_Status.OK, _Status.NOT_FOUND):
                found = answer.find_object(path)
                if self._accept_era(answer) and self._accept_version(
                    path, found
                ):
                    return found
            yield self.pause(number)
        raise errors.PlatformError(f'{path} could not be read')

    def list_objects(
        self, prefix: str
    ) -> Steps[list[platform_api.StoredObject]]:
        """Read all objects under a prefix.

        :param prefix: the prefix.
        :returns: the objects.
        :raises PlatformError: if there is no sufficiently recent answer.
        """
        for number in self.count_tries():
            answer = yield platform_api.ListObjects(prefix)
            if answer.status is _Status.OK and self._accept_list(
                prefix, answer
            ):
                return [e for e in answer.objects if e.value is not None]
            yield self.pause(number)
        raise errors.PlatformError(f'{prefix} could not be read')

    def write(self, write: platform_api.WriteObject) -> Steps[WriteResult]:
        """Perform a conditional write; read the object if no answer came.

        :param write: the write; its value must be unique to this command.
        :returns: its outcome.
        """
        answer_lost = False
        has_conflicted = False
        for number in self.count_tries():
            answer = yield write
            if answer.status is _Status.OK:
                self.record_version(write.path, write.expected_version + 1)
                return WriteResult(Outcome.DONE)
            if answer.status in (_Status.CONFLICT, _Status.NOT_FOUND):
                has_conflicted = True
                if not answer_lost:
                    return WriteResult(Outcome.LOST)
            answer_lost |= answer.status is _Status.UNKNOWN
            if answer_lost:
                result = yield from self._read_back(write, has_conflicted)
                if result is not None:
                    return result
            yield self.pause(number)
        if not answer_lost:
            return WriteResult(Outcome.UNSENT)
        return WriteResult(
            Outcome.REPLACED if has_conflicted else Outcome.UNKNOWN
        )

    def _read_back(
        self, write: platform_api.WriteObject, has_conflicted: bool
    ) -> Steps[WriteResult | None]:
        answer = yield platform_api.ReadObject(write.path)
        if answer.status not in (_Status.OK, _Status.NOT_FOUND):
            return None
        if not self._accept_era(answer):
            return None
        current = answer.find_object(write.path)
        resolved = store.resolve_write(write, current, has_conflicted)
        if resolved not in _OUTCOMES:
            return None
        self._accept_version(write.path, current)
        return WriteResult(_OUTCOMES[resolved], current)

    def _accept_era(self, answer: platform_api.PlatformAnswer) -> bool:
        """Return whether an answer is of the latest era.

        A later era resets the recorded versions and revision.

        :param answer: the platform's answer.
        :returns: False if the answer is of an earlier era.
        """
        revisions_in_answer = (
            answer.revision,
            *(each.revision for each in answer.objects),
        )
        era = revisions.get_era(max(revisions_in_answer))
        if era > self._era:
            self._era = era
            self._versions.clear()
            self._revision = 0
        return era == self._era

    def _accept_version(
        self, path: str, found: platform_api.StoredObject | None
    ) -> bool:
        version = store.get_version(found)
        if version < self._versions.get(path, 0):
            return False
        self.record_version(path, version)
        return True

    def _accept_list(
        self, prefix: str, answer: platform_api.PlatformAnswer
    ) -> bool:
        if not self._accept_era(answer) or answer.revision < self._revision:
            return False
        listed = {each.path: each for each in answer.objects}
        for path in list(self._versions):
            if path.startswith(prefix) and not self._accept_version(
                path, listed.get(path)
            ):
                return False
        for path, each in listed.items():
            self._accept_version(path, each)
        self._revision = answer.revision
        return True
