"""Messages between the request cores of two instances.

Each process draws a boot ID at its start. A message to a former process of
the same name is thereby recognised and dropped.
"""

from __future__ import annotations

import enum

from skylarkfold import message
from skylarkfold import request as request_module
from skylarkfold import selection
from skylarkfold import verdict as verdict_module


class VoteStatus(enum.IntEnum):
    """A holder's answer to a claim.

    ``TAKEN``: it has voted for another claim. ``STALE``: the claim was made
    under an older list. ``FULL``: its table of votes is full.
    """

    ACCEPTED = 0
    TAKEN = 1
    STALE = 2
    FULL = 3


class ClaimMessage(message.PeerMessage, tag=20):
    """Request to a holder to vote for a claim.

    :param list_revision: the list of holders under which the claim is made.
    :param target_boot_id: the boot ID of the holder.
    :param key: the key's digest.
    :param boot_id: the boot ID of the claimant.
    :param claim_number: the claim's number.
    """

    list_revision: int
    target_boot_id: int
    key: bytes
    boot_id: int
    claim_number: int


class VoteMessage(message.PeerMessage, tag=21):
    """A holder's answer to a claim.

    :param list_revision: the list of holders that the claim named.
    :param target_boot_id: the boot ID of the claimant.
    :param claim_number: the claim's number.
    :param boot_id: the boot ID of the holder.
    :param status: the answer.
    :param competitor: for ``TAKEN``, the claimant that has the vote.
    :param competitor_boot_id: the boot ID of that claimant.
    :param competitor_claim_number: the number of its claim.
    """

    list_revision: int
    target_boot_id: int
    claim_number: int
    boot_id: int
    status: VoteStatus
    competitor: str = ''
    competitor_boot_id: int = 0
    competitor_claim_number: int = 0


class ReleaseMessage(message.PeerMessage, tag=22):
    """Request to a holder to delete its vote for a claim or to move it.

    Without a successor, the claim's request did not run and never will. With
    one, the record of the key was handed over to it.

    :param key: the key's digest.
    :param boot_id: the boot ID of the claimant.
    :param claim_number: the claim's number.
    :param successor: the instance that owns the key from now on, empty for
        none.
    :param successor_boot_id: the boot ID of that instance.
    """

    key: bytes
    boot_id: int
    claim_number: int
    successor: str = ''
    successor_boot_id: int = 0


class ForwardKind(enum.IntEnum):
    """What the receiver of a forwarded request has to do.

    ``RUN``: run it; the sender has checked its key. ``RECEIVE``: handle it
    like a caller's request. ``RECALL``: answer from the record of its key.
    """

    RUN = 0
    RECEIVE = 1
    RECALL = 2


class ForwardMessage(message.PeerMessage, tag=23):
    """A request that is forwarded to another instance.

    :param kind: what the receiver has to do.
    :param target_boot_id: the boot ID of the receiver.
    :param boot_id: the boot ID of the sender.
    :param forward_id: the ID of the forward; increases within a process.
    :param ticket: the receiver's ticket, 0 for ``RECALL``.
    :param claim_number: for ``RECALL``, the receiver's claim to the key.
    :param timeout_ms: the time left to the caller's deadline.
    :param service: see :class:`skylarkfold.request.Request`, also for
        the others.
    """

    kind: ForwardKind
    target_boot_id: int
    boot_id: int
    forward_id: int
    ticket: int
    claim_number: int
    timeout_ms: int
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    idempotent: bool
    priority: request_module.Priority


class ForwardStatus(enum.IntEnum):
    """How a forward ended.

    ``ABANDONED``: the claim was abandoned before a request ran under it.
    ``UNKNOWN``: the receiver has no record of the claim. ``UNSENT``: the
    request was not sent. ``LOST``: it was sent and no answer arrived.
    """

    ANSWERED = 0
    ABANDONED = 1
    UNKNOWN = 2
    UNSENT = 3
    LOST = 4


class ForwardEndedMessage(message.PeerMessage, tag=24):
    """The result of a forwarded request.

    :param target_boot_id: the boot ID of the process that forwarded it.
    :param forward_id: the ID of the forward.
    :param status: how the forward ended.
    :param verdict: see :class:`skylarkfold.request.Answer`, also for the
        others.
    """

    target_boot_id: int
    forward_id: int
    status: ForwardStatus
    verdict: verdict_module.Verdict = verdict_module.Verdict.MAY_HAVE_RUN
    answer_status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    code: str = ''
    retry_after_seconds: float | None = None


class TransferRequestMessage(message.PeerMessage, tag=25):
    """Request to a former holder to send its votes.

    The receiver refuses claims under older lists from then on.

    :param list_revision: the list of holders that moved the ranges.
    :param request_number: a number that the answer repeats.
    :param target_boot_id: the boot ID of the former holder.
    :param boot_id: the boot ID of the sender.
    :param ranges: the ranges of keys.
    """

    list_revision: int
    request_number: int
    target_boot_id: int
    boot_id: int
    ranges: tuple[int, ...]


class TransferredVote(message.PeerMessage):
    """One vote of a former holder."""

    key: bytes
    claimant: str
    boot_id: int
    claim_number: int


class VoteTransferMessage(message.PeerMessage, tag=26):
    """A chunk of a former holder's votes.

    :param list_revision: the list of holders that the request named.
    :param request_number: the number of the request.
    :param target_boot_id: the boot ID of the process that sent the request.
    :param boot_id: the boot ID of the former holder.
    :param chunk: the index of this chunk, from 0.
    :param chunk_count: the number of chunks.
    :param votes: the votes.
    """

    list_revision: int
    request_number: int
    target_boot_id: int
    boot_id: int
    chunk: int
    chunk_count: int
    votes: tuple[TransferredVote, ...]


class ReportMessage(message.PeerMessage, tag=27):
    """A member's report to the coordinator of the list of holders.

    :param boot_id: the boot ID of the sender.
    :param list_revision: the newest list that it knows, 0 for none.
    :param pending_ranges: ranges whose votes it has yet to receive.
    :param is_ending: whether the process ends and will not vote again.
    """

    boot_id: int
    list_revision: int
    pending_ranges: tuple[int, ...] = ()
    is_ending: bool = False


class KeyHandoverMessage(message.PeerMessage, tag=28):
    """The record of a finished key, handed over to its new owner.

    :param target_boot_id: the boot ID of the receiver.
    :param key: the key's digest.
    :param fingerprint: the digest of the request.
    :param claim_number: the claim under which the request ran.
    :param verdict: the answer's verdict, as for :class:`ForwardEndedMessage`.
    """

    target_boot_id: int
    key: bytes
    fingerprint: int
    claim_number: int
    verdict: verdict_module.Verdict
    answer_status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    code: str


class HoldersMessage(message.PeerMessage, tag=29):
    """A list of holders that is newer than the receiver's.

    :param revision: the store's revision of the object.
    :param version: the object's version.
    :param value: the object.
    """

    revision: int
    version: int
    value: bytes


class TicketRequestMessage(message.PeerMessage, tag=38):
    """Request for a ticket to forward a request that the receiver will run.

    :param target_boot_id: the boot ID of the receiver.
    :param boot_id: the boot ID of the sender.
    :param forward_id: the ID of the forward.
    """

    target_boot_id: int
    boot_id: int
    forward_id: int


class TicketMessage(message.PeerMessage, tag=39):
    """A single-use, short-lived ticket for a forwarded request.

    It proves to its issuer that the request is neither delayed nor a
    duplicate.

    :param target_boot_id: the boot ID of the process that asked for it.
    :param forward_id: the ID of the forward.
    :param ticket: the ticket.
    """

    target_boot_id: int
    forward_id: int
    ticket: int


MESSAGES = (
    ClaimMessage
    | VoteMessage
    | ReleaseMessage
    | ForwardMessage
    | ForwardEndedMessage
    | TransferRequestMessage
    | VoteTransferMessage
    | ReportMessage
    | KeyHandoverMessage
    | HoldersMessage
    | TicketRequestMessage
    | TicketMessage
    | selection.MESSAGES
)
