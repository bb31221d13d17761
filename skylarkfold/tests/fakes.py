"""Fakes of the components around the cores."""

import dataclasses

from skylarkfold import platform_api

Status = platform_api.PlatformStatus


class FakePlatform:
    """A fake platform that keeps all past states of its objects.

    :ivar log: all successful writes, in order.
    """

    def __init__(self):
        self.log = []
        self._states = [{}]

    @property
    def revision(self):
        return len(self.log)

    def get(self, path, behind=0):
        """Return an object as of some revisions ago; None if missing."""
        state = self._states[max(0, self.revision - behind)]
        return state.get(path)

    def perform(self, call, behind=0):
        """Answer a call; reads return the state of some revisions ago."""
        if isinstance(call, platform_api.WriteObject):
            return self._write(call)
        if isinstance(call, platform_api.ReadObject):
            found = self.get(call.path, behind)
            if found is None:
                return platform_api.PlatformAnswer(Status.NOT_FOUND)
            return platform_api.PlatformAnswer(
                Status.OK, (found,), found.revision
            )
        revision = max(0, self.revision - behind)
        state = self._states[revision]
        found = tuple(
            each
            for path, each in sorted(state.items())
            if path.startswith(call.prefix)
        )
        return platform_api.PlatformAnswer(Status.OK, found, revision)

    def _write(self, call):
        current = self.get(call.path)
        version = current.version if current else 0
        if version != call.expected_version:
            return platform_api.PlatformAnswer(Status.CONFLICT)
        written = platform_api.StoredObject(
            call.path, version + 1, self.revision + 1, call.value
        )
        self.log.append(written)
        state = dict(self._states[-1])
        state[call.path] = written
        if call.value is None:
            del state[call.path]
        self._states.append(state)
        acknowledged = dataclasses.replace(written, value=None)
        return platform_api.PlatformAnswer(
            Status.OK, (acknowledged,), written.revision
        )


LOST = platform_api.PlatformAnswer(Status.UNKNOWN)
SHED = platform_api.PlatformAnswer(Status.REFUSED)
