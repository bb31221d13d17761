"""Types of the platform's object API: objects, calls and answers."""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the platform's store.

    :param path: its path, for example ``/teams/desk/settings``.
    :param version: the object's own version, starting at 1.
    :param revision: the store's revision at which it was written.
    :param value: its content; None if it was deleted.
    """

    path: str
    version: int
    revision: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadObject:
    """Read one object."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListObjects:
    """Read all objects under a prefix."""

    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class WatchObjects:
    """Wait for changes under a prefix after a revision.

    :param prefix: the path prefix to watch.
    :param revision: the last revision already seen.
    :param wait_seconds: how long the platform may delay its answer if there
        are no changes.
    """

    prefix: str
    revision: int
    wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class WriteObject:
    """Write one object if its version is still the expected one.

    :param path: the path of the object.
    :param value: the new content; None to delete the object.
    :param expected_version: the version that must be stored; 0 if the object
        must not exist.
    """

    path: str
    value: bytes | None
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListInstances:
    """Read the platform's list of live and leaving instances."""


PlatformCall = (
    ReadObject | ListObjects | WatchObjects | WriteObject | ListInstances
)


class PlatformStatus(enum.StrEnum):
    """How a platform call ended.

    ``UNKNOWN`` means that no answer arrived; a write may have taken effect.
    """

    OK = 'ok'
    NOT_FOUND = 'not-found'
    CONFLICT = 'conflict'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's list of instances.

    :param name: the instance's name.
    :param zone: its availability zone.
    :param region: its region.
    :param address: the address for streams from peers, as ``host:port``.
    :param leaving: whether the platform is about to stop it.
    """

    name: str
    zone: str
    region: str
    address: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """The platform's answer to one call.

    :param status: how the call ended.
    :param objects: the objects read or written.
    :param revision: the store's revision; 0 if unknown.
    :param instances: the instances, for :class:`ListInstances`.
    """

    status: PlatformStatus
    objects: tuple[StoredObject, ...] = ()
    revision: int = 0
    instances: tuple[ListedInstance, ...] = ()

    def find_object(self, path: str) -> StoredObject | None:
        """Find an existing object in the answer.

        :param path: the path of the object.
        :returns: the object; None if it is missing or was deleted.
        """
        for each in self.objects:
            if each.path == path and each.value is not None:
                return each
        return None
