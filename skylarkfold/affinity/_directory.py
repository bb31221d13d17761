"""All upstreams that may hold flows, those that are gone included."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

from skylarkfold.affinity import _settings
from skylarkfold.affinity import _standing
from skylarkfold.affinity import _upstream


class Change:
    """What has become of an upstream's entry."""

    ADDED = 'added'
    DRAINING = 'draining'
    LAPSED = 'lapsed'
    BACK = 'back'


class Directory:
    """Finds upstreams by token and by service.

    An entry that disappears is no proof that its upstream is dead: its
    flows are still forwarded for as long as one may live, unless another
    upstream was given the same address.

    :param settings: how long upstreams are remembered.
    """

    __slots__ = ('_by_name', '_by_service', '_by_token', '_settings')

    def __init__(self, settings: _settings.AffinitySettings) -> None:
        self._settings = settings
        self._by_name: dict[str, _standing.Standing] = {}
        self._by_token: dict[int, _standing.Standing] = {}
        self._by_service: dict[str, list[_standing.Standing]] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[_standing.Standing]:
        return iter(self._by_name.values())

    def get(self, name: str) -> _standing.Standing | None:
        """Find an upstream by name.

        :param name: its name.
        :returns: its standing, None if it is not known.
        """
        return self._by_name.get(name)

    def find(self, token: int) -> _standing.Standing | None:
        """Find the upstream of a packet.

        :param token: the token that the packet carries.
        :returns: its standing, None if no known upstream has it.
        """
        return self._by_token.get(token)

    def list_service(self, service: str) -> list[_standing.Standing]:
        """List the upstreams of a service, gone ones included.

        :param service: the service's name.
        :returns: standings, by name of the upstream.
        """
        return self._by_service.get(service, [])

    def replace(
        self, now: float, present: Iterable[_upstream.Upstream]
    ) -> list[tuple[_standing.Standing, str]]:
        """Take the list of all upstreams that have an entry.

        :param now: the time.
        :param present: all of them.
        :returns: those that are seen otherwise now, each with a
            :class:`Change`.
        """
        names = set()
        changes = []
        for upstream in present:
            names.add(upstream.name)
            change = self._put(now, upstream)
            if change:
                changes.append((self._by_name[upstream.name], change))
        for standing in self._by_name.values():
            is_absent = standing.upstream.name not in names
            if is_absent and standing.lapsed_at is None:
                standing.lapsed_at = now
                changes.append((standing, Change.LAPSED))
        self._drop_old(now)
        self._index()
        return changes

    def forget(self, now: float) -> None:
        """Drop upstreams whose last flow must have ended.

        :param now: the time.
        """
        if self._drop_old(now):
            self._index()

    def _drop_old(self, now: float) -> bool:
        oldest = now - self._settings.flow_seconds
        gone = [
            name
            for name, standing in self._by_name.items()
            if standing.lapsed_at is not None and standing.lapsed_at < oldest
        ]
        for name in gone:
            del self._by_name[name]
        return bool(gone)

    def _put(self, now: float, upstream: _upstream.Upstream) -> str:
        standing = self._by_name.get(upstream.name)
        if standing is None:
            self._by_name[upstream.name] = _standing.Standing(upstream, now)
            return Change.ADDED
        before, standing.upstream = standing.upstream, upstream
        if standing.lapsed_at is not None:
            standing.lapsed_at = None
            return Change.BACK
        if upstream.is_draining and not before.is_draining:
            return Change.DRAINING
        return ''

    def _index(self) -> None:
        self._by_token = {}
        self._by_service = {}
        at_address: dict[tuple[str, int], _standing.Standing] = {}
        for standing in sorted(self._by_name.values(), key=_get_age):
            upstream = standing.upstream
            # The older upstream keeps a token that two share. The other
            # gets no new flow, so that no packet carries a token in doubt.
            holder = self._by_token.setdefault(upstream.token, standing)
            standing.has_token = holder is standing and upstream.token != 0
            self._by_service.setdefault(upstream.service, []).append(standing)
            standing.is_replaced = False
            before = at_address.get(upstream.address)
            if before is not None:
                before.is_replaced = before.lapsed_at is not None
            at_address[upstream.address] = standing


def _get_age(standing: _standing.Standing) -> tuple[int, str]:
    return (standing.upstream.created, standing.upstream.name)
