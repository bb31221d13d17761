"""Handover of pins to their new holders after a ranking change."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

from skylarkfold.flows import _members
from skylarkfold.flows import _messages
from skylarkfold.flows import _ranking
from skylarkfold.flows import _send_queues
from skylarkfold.flows import _state


def queue_handovers(
    now: float,
    members: _members.MemberView,
    change: _members.RankingChange,
    states: Iterable[_state.ServiceState],
    queue: _send_queues.BulkQueue,
    notified: set[tuple[str, int, bool]] | None = None,
) -> None:
    """Queue the handover messages that a ranking change calls for.

    Each recipient gets the pins that this instance has to send, followed by
    a :class:`~skylarkfold.flows._messages.HandoverDone` for the slots.

    :param now: the current time.
    :param members: this instance's view of the members.
    :param change: the former and the current ranking.
    :param states: the states of all services.
    :param queue: the queue for the messages.
    :param notified: (peer, slot, whether pins were sent) of earlier
        handovers, which are not repeated; new ones are added. None to
        repeat all of them.
    """
    states = list(states)
    slots_with_pins = _find_slots_with_pins(states)
    slots_by_peer: dict[str, list[int]] = {}
    for slot in range(_ranking.SLOT_COUNT):
        has_pins = slot in slots_with_pins
        for peer in _list_recipients(members.name, change, slot, has_pins):
            sends = has_pins and _is_sender(now, members, change, slot)
            key = (peer, slot, sends)
            if notified is not None and not _mark_notified(
                notified, key, change
            ):
                continue
            slots_by_peer.setdefault(peer, []).append(slot)
            if sends:
                _queue_pins(peer, slot, states, queue)
    for peer, slots in sorted(slots_by_peer.items()):
        packed = _messages.pack_slots(slots)
        queue.add(peer, _messages.HandoverDone(packed))


def _mark_notified(
    notified: set[tuple[str, int, bool]],
    key: tuple[str, int, bool],
    change: _members.RankingChange,
) -> bool:
    """Add a handover and return whether it has to be sent."""
    is_new = key not in notified or key[0] in change.joined
    notified.add(key)
    return is_new


def _find_slots_with_pins(states: list[_state.ServiceState]) -> set[int]:
    return {
        state.find_slot(bucket)
        for state in states
        for bucket, pins in state.pins.items()
        if pins
    }


def queue_cached_flows(
    change: _members.RankingChange,
    states: Iterable[_state.ServiceState],
    queue: _send_queues.BulkQueue,
) -> None:
    """Queue the cached flows of slots whose home has departed.

    The new home needs them if the replicas departed as well, or had not
    received all pins yet.

    :param change: the former and the current ranking.
    :param states: the states of all services.
    :param queue: the queue for the pins.
    """
    for state in states:
        flows_by_peer: dict[str, list[tuple[int, int]]] = {}
        for flow, index in state.cache:
            slot = state.find_slot(flow & state.mask)
            if (
                not set(change.list_former_holders(slot)[:1])
                <= change.departed
            ):
                continue
            for peer in change.list_current_holders(slot)[:1]:
                flows_by_peer.setdefault(peer, []).append((flow, index))
        for peer, pins in sorted(flows_by_peer.items()):
            queue.add_pins(peer, state.name, pins)


def _list_recipients(
    name: str, change: _members.RankingChange, slot: int, has_pins: bool
) -> Iterator[str]:
    """List the holders of a slot that this instance has to notify.

    A holder that has joined or restarted is notified by every instance that
    may have pins of the slot. Any other new holder is notified by the former
    holders.
    """
    former = change.list_former_holders(slot)
    ranked = change.current.list_ranked(slot)
    may_have_pins = has_pins or name in former or name in ranked
    for peer in change.list_current_holders(slot):
        if peer == name:
            continue
        if peer in change.joined and may_have_pins:
            yield peer
        elif peer not in former and name in former:
            yield peer


def _is_sender(
    now: float,
    members: _members.MemberView,
    change: _members.RankingChange,
    slot: int,
) -> bool:
    """Return whether this instance has to send its pins of a slot.

    The first former holder that still owns slots sends them. The others
    send theirs as well unless that holder has been in sync with them for
    long enough. A stopping instance always sends its pins, because the
    other holders may be about to stop as well.
    """
    if members.is_stopping:
        return True
    for holder in change.list_former_holders(slot):
        if holder == members.name and holder in change.current.names:
            return True
        if holder in change.joined:
            continue
        if members.has_synced(now, holder, slot):
            return False
    return True


def _queue_pins(
    peer: str,
    slot: int,
    states: list[_state.ServiceState],
    queue: _send_queues.BulkQueue,
) -> None:
    for state in states:
        for bucket in state.list_buckets(slot):
            pins = state.pins.get(bucket)
            if pins:
                queue.add_pins(peer, state.name, list(pins))
