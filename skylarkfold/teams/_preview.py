"""Differences between two versions of a subtree."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import enum

from skylarkfold import service
from skylarkfold import settings


class ChangeKind(enum.StrEnum):
    """The kind of a difference."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference between two versions.

    :param kind: the kind of the difference.
    :param path: the setting, for example
        ``services.press-desk.upstreams.press-desk-1.weight``.
    :param old: its old value, empty if it is added.
    :param new: its new value, empty if it is removed.
    """

    kind: ChangeKind
    path: str
    old: str = ''
    new: str = ''

    def __str__(self) -> str:
        if self.kind is ChangeKind.CHANGED:
            return f'{self.path}: {self.old} -> {self.new}'
        return f'{self.path}: {self.kind.value}'


@dataclasses.dataclass(frozen=True, slots=True)
class Preview:
    """The preview of a change.

    :param team: the team.
    :param version: the current version, which the change would replace.
    :param changes: the differences, sorted by path.
    :param warnings: warnings for the operator.
    """

    team: str
    version: int
    changes: tuple[Change, ...]
    warnings: tuple[str, ...]


def list_changes(
    old: settings.TeamSettings, new: settings.TeamSettings
) -> tuple[Change, ...]:
    """List the differences between two versions of a subtree.

    :param old: the current version.
    :param new: the new version.
    :returns: the differences, sorted by path.
    """
    changes = []
    for name in sorted(old.services.keys() | new.services.keys()):
        changes += _compare_services(
            f'services.{name}',
            old.services.get(name),
            new.services.get(name),
        )
    return tuple(changes)


def list_warnings(
    old: settings.TeamSettings, new: settings.TeamSettings
) -> tuple[str, ...]:
    """List warnings about the effects of a change.

    :param old: the current version.
    :param new: the new version.
    :returns: the warnings, as text.
    """
    return tuple(
        warning
        for name in sorted(old.services.keys() | new.services.keys())
        for warning in _list_service_warnings(
            name, old.services.get(name), new.services.get(name)
        )
    )


def _compare_services(
    path: str, old: service.Service | None, new: service.Service | None
) -> Iterator[Change]:
    yield from _compare(path, old, new)
    if old is None or new is None:
        return
    old_upstreams = {each.name: each for each in old.upstreams}
    new_upstreams = {each.name: each for each in new.upstreams}
    for name in sorted(old_upstreams.keys() | new_upstreams.keys()):
        yield from _compare(
            f'{path}.upstreams.{name}',
            old_upstreams.get(name),
            new_upstreams.get(name),
        )


def _compare(path: str, old: object, new: object) -> Iterator[Change]:
    if old is None:
        yield Change(ChangeKind.ADDED, path)
        return
    if new is None:
        yield Change(ChangeKind.REMOVED, path)
        return
    for field in dataclasses.fields(old):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before != after and field.name != 'upstreams':
            setting_path = f'{path}.{field.name}'
            yield Change(
                ChangeKind.CHANGED, setting_path, str(before), str(after)
            )


def _list_service_warnings(
    name: str, old: service.Service | None, new: service.Service | None
) -> Iterator[str]:
    if new is None:
        yield f'{name} is removed: its flows end and callers are refused'
        return
    if not any(each.takes_new_work for each in new.upstreams):
        yield f'no upstream of {name} takes new work'
    if old is None:
        return
    if (old.address, old.request_port) != (new.address, new.request_port):
        yield f'callers must find {name} at its new address'
    for upstream in old.upstreams:
        after = new.get_upstream(upstream.name)
        setting_path = f'{name}.{upstream.name}'
        if after is None and upstream.takes_new_work:
            yield f'{setting_path} is removed without a drain: its flows break'
        if after is not None and after.address != upstream.address:
            yield f'{setting_path} gets another address: its flows break'
