"""Builders of effects that several modules use."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import effect
from skylarkfold.membership import _messages


def record_decision(subject: str, reason: str) -> effect.RecordDecision:
    """Build the log record of a membership decision.

    :param subject: the instance or zone concerned.
    :param reason: the decision.
    """
    return effect.RecordDecision('membership', '', subject, '', str(reason))


def send_updates(
    peer: str, updates: Iterable[_messages.MemberUpdate]
) -> effect.SendToPeer:
    """Send member updates to one instance.

    :param peer: the receiver.
    :param updates: the updates.
    """
    return effect.SendToPeer(peer, _messages.Gossip(tuple(updates)))
