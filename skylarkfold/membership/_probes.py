"""Indirect probes of silent instances."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import effect
from skylarkfold import member
from skylarkfold.membership import _failure_detector
from skylarkfold.membership import _messages
from skylarkfold.membership import _own_member
from skylarkfold.membership import _roster
from skylarkfold.membership import _settings
from skylarkfold import overlay

_MAXIMUM_PROXIES = 3


class IndirectProbes:
    """Probes instances by way of others, and answers their probe requests.

    An instance that is silent here may only be unreachable from here.

    :param settings: the membership's settings.
    :param own_member: this instance's own member update.
    :param roster: the latest update of each member.
    :param detector: knows when this instance last heard from others.
    """

    __slots__ = (
        '_detector',
        '_own_member',
        '_pending_requests',
        '_roster',
        '_settings',
    )

    def __init__(
        self,
        settings: _settings.MembershipSettings,
        own_member: _own_member.OwnMember,
        roster: _roster.Roster,
        detector: _failure_detector.FailureDetector,
    ) -> None:
        self._settings = settings
        self._own_member = own_member
        self._roster = roster
        self._detector = detector
        self._pending_requests: dict[str, set[str]] = {}

    def send(
        self,
        target: str,
        membership: member.Membership,
        neighbours: Iterable[str],
    ) -> list[object]:
        """Probe a silent instance directly and by way of other instances.

        The target's own neighbours are asked first.

        :param target: the silent instance.
        :param membership: all members.
        :param neighbours: this instance's neighbours.
        """
        target_neighbours = overlay.list_neighbours(membership, target)
        proxies = [
            name for name in target_neighbours if name != self._own_member.name
        ]
        proxies += [
            name
            for name in neighbours
            if name != target and name not in proxies
        ]
        request = _messages.ProbeRequest(target)
        return [self._own_member.send_hello(target, True)] + [
            effect.SendToPeer(peer, request)
            for peer in proxies[:_MAXIMUM_PROXIES]
        ]

    def handle_request(
        self, target: str, sender: str, now: float
    ) -> list[object]:
        """Answer a probe request, or contact its target first.

        :param target: the instance to probe.
        :param sender: the instance that sent the request.
        :param now: the time in seconds.
        """
        if target == self._own_member.name:
            return [_send_answer(sender, target, 0.0)]
        last_heard = self._detector.get_last_heard(target)
        limit = now - self._settings.suspect_seconds / 2
        if last_heard is not None and last_heard > limit:
            return [_send_answer(sender, target, now - last_heard)]
        if self._roster.get(target) is None:
            return []
        self._pending_requests.setdefault(target, set()).add(sender)
        return [self._own_member.send_hello(target, True)]

    def answer_pending(self, target: str) -> list[object]:
        """Answer the pending probe requests for an instance just heard from.

        :param target: the probed instance.
        """
        requesters = self._pending_requests.pop(target, ())
        return [_send_answer(peer, target, 0.0) for peer in sorted(requesters)]


def _send_answer(peer: str, target: str, age: float) -> effect.SendToPeer:
    answer = _messages.ProbeAnswer(target, int(age * 1000))
    return effect.SendToPeer(peer, answer)
