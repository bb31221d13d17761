"""Log lines and messages that several modules make."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import effect
from skylarkfold.membership import _messages


def record_decision(subject: str, reason: str) -> effect.RecordDecision:
    """Make a log line of the membership.

    :param subject: the instance or zone concerned.
    :param reason: what was decided of it.
    """
    return effect.RecordDecision('membership', '', subject, '', str(reason))


def send_updates(
    peer: str, updates: Iterable[_messages.MemberUpdate]
) -> effect.SendToPeer:
    """Tell one instance some facts.

    :param peer: the instance.
    :param facts: the facts.
    """
    return effect.SendToPeer(peer, _messages.Gossip(tuple(updates)))
