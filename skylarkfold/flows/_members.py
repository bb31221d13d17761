"""This instance's view of the members, as far as flows need it."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from skylarkfold.flows import _ranking
from skylarkfold.flows import _settings
from skylarkfold import instance as instance_module
from skylarkfold import member

# A peer without a recorded handover counts as in sync this many settle periods
# after it joined.
SYNC_SETTLE_PERIODS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class RankingChange:
    """A change of the ranking of the live instances.

    :param former: the ranking before the change.
    :param current: the ranking after the change.
    :param joined: instances that joined, or restarted without their pins.
    :param departed: instances that may no longer own slots.
    :param holder_count: how many instances hold each slot's pins.
    """

    former: _ranking.Ranking
    current: _ranking.Ranking
    joined: frozenset[str]
    departed: frozenset[str]
    holder_count: int

    def list_former_holders(self, slot: int) -> tuple[str, ...]:
        """List the instances that held a slot's pins before the change."""
        return self.former.list_ranked(slot)[: self.holder_count]

    def list_current_holders(self, slot: int) -> tuple[str, ...]:
        """List the instances that hold a slot's pins after the change."""
        return self.current.list_ranked(slot)[: self.holder_count]


class MemberView:
    """Tracks live instances, slot holders and pending handovers.

    After a ranking change a new holder of a slot waits for the handovers of
    the instances that may have pins of it. Until they are done, or
    ``settle_seconds`` have passed, it asks those instances about unknown
    flows.

    :param instance: this instance.
    :param settings: the flow settings.
    :ivar name: this instance's name.
    :ivar ranking: the current ranking of the live instances.
    :ivar is_stopping: whether this instance has given up its slots.
    """

    def __init__(
        self,
        instance: instance_module.InstanceSettings,
        settings: _settings.FlowSettings,
    ) -> None:
        self.name = instance.name
        self.ranking = _ranking.Ranking({instance.name: instance.zone})
        self._instance = instance
        self._settings = settings
        self._holder_count = 1 + settings.replica_count
        self._membership = member.EMPTY
        self._disconnected: set[str] = set()
        self._reachable: set[str] = set()
        self._joined_at: dict[str, float] = {}
        # By peer and slot: when the peer's handover to this instance ended,
        # and since when the peer has had this instance's pins.
        self._handover_done_at: dict[tuple[str, int], float] = {}
        self._synced_at: dict[tuple[str, int], float] = {}
        self._ranking_before_stop: _ranking.Ranking | None = None
        # For each slot the peers to wait for, with their deadlines.
        self._pending_handovers: dict[int, dict[str, float]] = {}
        self.is_stopping = False
        self._has_warmed_up = False
        self._started_at: float | None = None

    @property
    def reachable(self) -> list[str]:
        """The names of the instances that can be sent messages, sorted."""
        return sorted(self._reachable)

    def update(
        self, now: float, membership: member.Membership
    ) -> RankingChange | None:
        """Apply a newer membership.

        :param now: the current time.
        :param membership: the membership.
        :returns: the ranking change, or None if the ranking stays.
        """
        former = self._membership.members
        self._membership = membership
        restarted = {
            each.name
            for each in membership.members.values()
            if each.name in former
            and former[each.name].incarnation != each.incarnation
        }
        return self._update_ranking(now, restarted)

    def mark_disconnected(self, now: float, peer: str) -> RankingChange | None:
        """Record that the connection to a peer was lost.

        :param now: the current time.
        :param peer: the peer's name.
        :returns: the ranking change, or None if the ranking stays.
        """
        self._disconnected.add(peer)
        return self._update_ranking(now, set())

    def mark_connected(self, now: float, peer: str) -> RankingChange | None:
        """Record that there is a connection to a peer.

        :param now: the current time.
        :param peer: the peer's name.
        :returns: the ranking change, or None if the ranking stays.
        """
        self._disconnected.discard(peer)
        return self._update_ranking(now, set())

    def stop_owning(self, now: float) -> RankingChange | None:
        """Remove this instance from the ranking, for a planned stop.

        :param now: the current time.
        :returns: the ranking change, or None if the ranking stays.
        """
        self.is_stopping = True
        self._ranking_before_stop = self.ranking
        return self._update_ranking(now, set())

    def list_holders(self, slot: int) -> tuple[str, ...]:
        """List the holders of a slot's pins: its home, then its replicas."""
        return self.ranking.list_ranked(slot)[: self._holder_count]

    def find_home(self, slot: int) -> str:
        """Return the name of a slot's home; empty if there is none."""
        holders = self.ranking.list_ranked(slot)
        return holders[0] if holders else ''

    def has_all_handovers(self, slot: int) -> bool:
        """Return whether no handover of a slot is pending."""
        return slot not in self._pending_handovers

    def find_next_hop(self, slot: int, visited: list[str]) -> str | None:
        """Return the instance to redirect a datagram of an unknown flow to.

        :param slot: the flow's slot.
        :param visited: the instances that did not know the flow.
        :returns: the instance's name, or None if there is none left to ask.
        """
        if len(visited) >= self._settings.hop_limit:
            return None
        for name in self._list_query_order(slot):
            if name == self.name and self._may_place(slot):
                return None
            if name not in visited and name in self._reachable:
                return name
        return None

    def _may_place(self, slot: int) -> bool:
        """Return whether this instance may place unknown flows of a slot.

        An instance that has just started is sent only the pins of slots that
        it holds.
        """
        return self._has_warmed_up or self.name in self.list_holders(slot)

    def _list_query_order(self, slot: int) -> list[str]:
        pending = self._pending_handovers.get(slot, {})
        return [*pending, *self.ranking.list_ranked(slot)]

    def record_handover_done(
        self, now: float, peer: str, slots: list[int]
    ) -> None:
        """Record that a peer has handed over all its pins of some slots.

        :param now: the current time.
        :param peer: the peer's name.
        :param slots: the slots.
        """
        for slot in slots:
            self._handover_done_at[peer, slot] = now
            self._synced_at.setdefault((peer, slot), now)
            self._drop_pending_handover(slot, peer)

    def record_handover_sent(
        self, now: float, peer: str, slots: list[int]
    ) -> None:
        """Record that a peer was sent all pins of some slots.

        :param now: the current time.
        :param peer: the peer's name.
        :param slots: the slots.
        """
        for slot in slots:
            self._synced_at.setdefault((peer, slot), now)

    def has_synced(self, now: float, peer: str, slot: int) -> bool:
        """Return whether a peer has had this instance's pins for long enough.

        Then the peer's handover of the slot includes them.

        :param now: the current time.
        :param peer: the peer's name.
        :param slot: the slot.
        :returns: whether it has had them for ``propagation_seconds``.
        """
        if peer not in self.ranking.names:
            return False
        at = self._synced_at.get((peer, slot))
        if at is None:
            at = self._joined_at.get(peer, now) + SYNC_SETTLE_PERIODS * (
                self._settings.settle_seconds
            )
        return now - at >= self._settings.propagation_seconds

    def expire_pending_handovers(self, now: float) -> None:
        """Stop waiting for handovers whose deadline has passed.

        :param now: the current time.
        """
        if self._started_at is None:
            self._started_at = now
        elapsed = now - self._started_at
        self._has_warmed_up = elapsed >= self._settings.settle_seconds
        expired = [
            (slot, peer)
            for slot, pending in self._pending_handovers.items()
            for peer, deadline in pending.items()
            if deadline <= now
        ]
        for slot, peer in expired:
            self._drop_pending_handover(slot, peer)
        since = now - self._settings.propagation_seconds
        self._handover_done_at = {
            key: at for key, at in self._handover_done_at.items() if at > since
        }

    def _drop_pending_handover(self, slot: int, peer: str) -> None:
        pending = self._pending_handovers.get(slot)
        if pending is None:
            return
        pending.pop(peer, None)
        if not pending:
            del self._pending_handovers[slot]

    def _update_ranking(
        self, now: float, restarted: set[str]
    ) -> RankingChange | None:
        self._reachable = set(self._list_reachable())
        zones = self._find_owner_zones()
        former = self.ranking
        restarted &= former.names & set(zones)
        if former.names == set(zones) and not restarted:
            return None
        self.ranking = former.replace(zones)
        joined = frozenset((set(zones) - former.names) | restarted)
        departed = frozenset(former.names - set(zones))
        self._joined_at.update(dict.fromkeys(sorted(joined), now))
        self._prune_handovers_done(departed)
        change = RankingChange(
            former=self._ranking_before_stop or former,
            current=self.ranking,
            joined=joined,
            departed=departed,
            holder_count=self._holder_count,
        )
        self._prune_synced(change)
        self._update_pending_handovers(now, change)
        return change

    def _prune_handovers_done(self, peers: frozenset[str]) -> None:
        self._handover_done_at = {
            key: at
            for key, at in self._handover_done_at.items()
            if key[0] not in peers
        }

    def _prune_synced(self, change: RankingChange) -> None:
        """Forget the sync times of peers that did not stay holders."""
        self._synced_at = {
            (peer, slot): at
            for (peer, slot), at in self._synced_at.items()
            if peer not in change.joined
            and peer in change.former.list_ranked(slot)[: change.holder_count]
            and peer in change.list_current_holders(slot)
        }

    def _list_reachable(self) -> Iterator[str]:
        for each in self._membership.members.values():
            if not each.state.is_reachable or each.name in self._disconnected:
                continue
            if each.region != self._instance.region:
                continue
            if each.name != self.name:
                yield each.name

    def _find_owner_zones(self) -> dict[str, str]:
        members = self._membership.members
        zones = {
            name: members[name].zone
            for name in sorted(members)
            if members[name].state.may_own
            and members[name].region == self._instance.region
            and name not in self._disconnected
            and name != self.name
        }
        if not self.is_stopping:
            zones[self.name] = self._instance.zone
        return zones

    def _update_pending_handovers(
        self, now: float, change: RankingChange
    ) -> None:
        for slot in range(_ranking.SLOT_COUNT):
            if self.name in change.list_current_holders(slot):
                self._update_pending_handover(now, slot, change)
            else:
                self._pending_handovers.pop(slot, None)

    def _update_pending_handover(
        self, now: float, slot: int, change: RankingChange
    ) -> None:
        """Determine which peers' handovers of a held slot to wait for.

        They are those of peers that joined; of the former holders, if this
        instance was none; and of all ranked peers, if one that it was waiting
        for has departed.
        """
        ranked = change.current.list_ranked(slot)
        former = change.list_former_holders(slot)
        pending = self._pending_handovers.get(slot, {})
        expected = {name for name in ranked if name in change.joined}
        if any(name in change.departed for name in pending):
            expected.update(ranked)
        if self.name not in former:
            expected.update(former)
        deadline = now + self._settings.settle_seconds
        awaited = {
            name: pending.get(name, deadline)
            for name in dict.fromkeys((*ranked, *former, *pending))
            if self._should_wait_for(slot, name, name in expected, pending)
        }
        if awaited:
            self._pending_handovers[slot] = awaited
        else:
            self._pending_handovers.pop(slot, None)

    def _should_wait_for(
        self,
        slot: int,
        name: str,
        is_expected: bool,
        pending: dict[str, float],
    ) -> bool:
        if name not in self._reachable:
            return False
        if name in pending:
            return True
        return is_expected and (name, slot) not in self._handover_done_at
