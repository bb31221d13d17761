"""The other instances, as far as flows are concerned."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from skylarkfold.flows import _ranking
from skylarkfold.flows import _settings
from skylarkfold import instance as instance_module
from skylarkfold import member

SYNC_SETTLE_PERIODS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class RankingChange:
    """Two successive rankings of the live instances.

    :param former: the ranking before.
    :param current: the ranking now.
    :param joined: instances that came, or came back with nothing.
    :param gone: instances that may no longer own pins.
    :param holder_count: how many instances hold a slot's pins.
    """

    former: _ranking.Ranking
    current: _ranking.Ranking
    joined: frozenset[str]
    departed: frozenset[str]
    holder_count: int

    def list_former_holders(self, slot: int) -> tuple[str, ...]:
        """List the instances that held a slot's pins."""
        return self.former.list_ranked(slot)[: self.holder_count]

    def list_current_holders(self, slot: int) -> tuple[str, ...]:
        """List the instances that hold a slot's pins now."""
        return self.current.list_ranked(slot)[: self.holder_count]


class MemberView:
    """Who is live, who holds which slot, and whom to ask.

    :param instance: this instance.
    :param settings: the flow settings.
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
        self._handover_done_at: dict[tuple[str, int], float] = {}
        self._synced_at: dict[tuple[str, int], float] = {}
        self._ranking_before_stop: _ranking.Ranking | None = None
        self._pending_handovers: dict[int, dict[str, float]] = {}
        self.is_stopping = False
        self._has_warmed_up = False
        self._started_at: float | None = None

    @property
    def reachable(self) -> list[str]:
        """Other instances that messages can be sent to, by name."""
        return sorted(self._reachable)

    def update(
        self, now: float, membership: member.Membership
    ) -> RankingChange | None:
        """Take a newer membership.

        :param now: the time.
        :param membership: the members as seen here.
        :returns: the change, or None if it concerns no owner.
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
        """Note that there is no stream to a peer.

        :param now: the time.
        :param peer: its name.
        :returns: the change, or None if it owned nothing.
        """
        self._disconnected.add(peer)
        return self._update_ranking(now, set())

    def mark_connected(self, now: float, peer: str) -> RankingChange | None:
        """Note that there is a stream to a peer again.

        :param now: the time.
        :param peer: its name.
        :returns: the change, or None if it had not been lost.
        """
        self._disconnected.discard(peer)
        return self._update_ranking(now, set())

    def begin_stop(self, now: float) -> RankingChange | None:
        """Stop owning pins here.

        :param now: the time.
        :returns: the change.
        """
        self.is_stopping = True
        self._ranking_before_stop = self.ranking
        return self._update_ranking(now, set())

    def list_holders(self, slot: int) -> tuple[str, ...]:
        """List a slot's home and replicas."""
        return self.ranking.list_ranked(slot)[: self._holder_count]

    def find_home(self, slot: int) -> str:
        """Name a slot's home; empty while there is none."""
        holders = self.ranking.list_ranked(slot)
        return holders[0] if holders else ''

    def has_all_handovers(self, slot: int) -> bool:
        """Tell whether nobody else may know more of a slot's flows."""
        return slot not in self._pending_handovers

    def find_next_hop(self, slot: int, visited: list[str]) -> str | None:
        """Name the instance to ask about an unknown flow.

        :param slot: the flow's slot.
        :param visited: the instances that did not know it.
        :returns: a name, or None if this instance has to decide.
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
        """Tell whether this instance would have heard of a slot's pins.

        One that has just started hears only of the slots that it holds.
        """
        return self._has_warmed_up or self.name in self.list_holders(slot)

    def _list_query_order(self, slot: int) -> list[str]:
        pending = self._pending_handovers.get(slot, {})
        return [*pending, *self.ranking.list_ranked(slot)]

    def record_handover_done(
        self, now: float, peer: str, slots: list[int]
    ) -> None:
        """Note that a peer has handed on all it knew.

        :param now: the time.
        :param peer: its name.
        :param slots: the slots that it spoke of.
        """
        for slot in slots:
            self._handover_done_at[peer, slot] = now
            self._synced_at.setdefault((peer, slot), now)
            self._drop_pending_handover(slot, peer)

    def record_handover_sent(
        self, now: float, peer: str, slots: list[int]
    ) -> None:
        """Note that a peer was sent all that is held here.

        :param now: the time.
        :param peer: its name.
        :param slots: the slots.
        """
        for slot in slots:
            self._synced_at.setdefault((peer, slot), now)

    def has_synced(self, now: float, peer: str, slot: int) -> bool:
        """Tell whether an owner has long had what is held here.

        :param now: the time.
        :param peer: its name.
        :param slot: the slot.
        :returns: whether a third one hears of it all from that owner.
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
        """Stop waiting for peers whose time is over.

        :param now: the time.
        """
        if self._started_at is None:
            self._started_at = now
        passed = now - self._started_at
        self._has_warmed_up = passed >= self._settings.settle_seconds
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
        zones = self._list_zones()
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
        """Keep only what is known of those that went on holding a slot."""
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

    def _list_zones(self) -> dict[str, str]:
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
