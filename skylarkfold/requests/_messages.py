"""Messages between the request cores of two instances.

Processes are told apart by their boot number, which each draws at its
start: a message for one that has gone is not taken by its successor.
"""

from __future__ import annotations

import enum

from skylarkfold import message
from skylarkfold import request as request_module
from skylarkfold import selection
from skylarkfold import verdict as verdict_module


class VoteStatus(enum.IntEnum):
    """How a holder answers a claim.

    ``TAKEN``: it voted for another claim. ``STALE``: the claim was made
    under an older list. ``FULL``: it can't remember more keys.
    """

    ACCEPTED = 0
    TAKEN = 1
    STALE = 2
    FULL = 3


class ClaimMessage(message.PeerMessage, tag=20):
    """Asks a holder for its vote.

    :param label: the list of holders under which the claim is made.
    :param target_boot: the holder's process.
    :param key: the key's digest.
    :param boot: the claimant's process.
    :param claim: the claim's number.
    """

    list_revision: int
    target_boot_id: int
    key: bytes
    boot_id: int
    claim_number: int


class VoteMessage(message.PeerMessage, tag=21):
    """A holder's answer to a claim.

    :param label: the label that the claim bore.
    :param target_boot: the claimant's process.
    :param claim: the claim's number.
    :param boot: the holder's process.
    :param ballot: the answer.
    :param owner: the claimant that holds the vote, where another does.
    :param owner_boot: its process.
    :param owner_claim: its claim.
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
    """Gives a claim up: its request did not run and never will.

    With a successor, the record of the key has been handed on to it.

    :param key: the key's digest.
    :param boot: the claimant's process.
    :param claim: the claim.
    :param successor: who answers for the key from now on, or nobody.
    :param successor_boot: its process.
    """

    key: bytes
    boot_id: int
    claim_number: int
    successor: str = ''
    successor_boot_id: int = 0


class ForwardKind(enum.IntEnum):
    """What a passed request asks for.

    ``RUN``: run it, the sender vouches for its key. ``RECEIVE``: treat it
    as a caller's own. ``RECALL``: answer from the record of its key.
    """

    RUN = 0
    RECEIVE = 1
    RECALL = 2


class ForwardMessage(message.PeerMessage, tag=23):
    """Passes a request to another instance.

    :param kind: what is asked for.
    :param target_boot: the receiver's process.
    :param boot: the sender's process.
    :param number: the pass, unique for the sender's process; rises.
    :param ticket: for the other kinds, the receiver's ticket.
    :param claim: for ``RECALL``, the claim that the receiver made.
    :param timeout_ms: the time left to the caller's deadline.
    :param service: see :class:`skylarkfold.request.Request`, also for
        the others.
    """

    kind: ForwardKind
    target_boot_id: int
    boot_id: int
    number: int
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
    """How a pass ended.

    ``ABANDONED``: the claim was given up before anything ran.
    ``UNKNOWN``: the receiver has no record of the claim.
    ``UNSENT``: the request never left the sender. ``LOST``: nothing is
    known.
    """

    ANSWERED = 0
    ABANDONED = 1
    UNKNOWN = 2
    UNSENT = 3
    LOST = 4


class ForwardEndedMessage(message.PeerMessage, tag=24):
    """The end of a pass.

    :param target_boot: the process that passed the request.
    :param number: the pass.
    :param status: how it ended.
    :param verdict: see :class:`skylarkfold.request.Answer`, also for the
        others.
    """

    target_boot_id: int
    number: int
    status: ForwardStatus
    verdict: verdict_module.Verdict = verdict_module.Verdict.MAY_HAVE_RUN
    answer_status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    code: str = ''
    retry_after_seconds: float | None = None


class VotesRequestMessage(message.PeerMessage, tag=25):
    """Asks a previous holder to refuse older claims and tell its votes.

    :param label: the list of holders that moved the ranges.
    :param question: numbers the sender's questions.
    :param target_boot: the previous holder's process.
    :param boot: the sender's process.
    :param ranges: ranges of keys.
    """

    list_revision: int
    request_number: int
    target_boot_id: int
    boot_id: int
    ranges: tuple[int, ...]


class TransferredVote(message.PeerMessage):
    """A vote as it is handed on."""

    key: bytes
    claimant: str
    boot_id: int
    claim_number: int


class VotesMessage(message.PeerMessage, tag=26):
    """A portion of a previous holder's votes.

    :param label: the label asked for.
    :param question: the question that is answered.
    :param target_boot: the process that asked.
    :param boot: the previous holder's process.
    :param portion: counts from 0.
    :param portions: how many there are.
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
    """Tells the writer of the list which process the sender is.

    :param boot: the process.
    :param label: the list that it knows, 0 for none.
    :param missing: ranges that it has still to take over.
    :param is_ending: whether the process ends and never votes again.
    """

    boot_id: int
    list_revision: int
    pending_ranges: tuple[int, ...] = ()
    is_ending: bool = False


class KeyHandoverMessage(message.PeerMessage, tag=28):
    """Hands the record of a finished key on.

    :param target_boot: the receiver's process.
    :param key: the key's digest.
    :param fingerprint: the digest of the request.
    :param claim: the claim under which it ran.
    :param verdict: the answer's verdict, as for :class:`PassEndedMessage`.
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
    """Tells a newer list of holders than the receiver knows.

    :param revision: the store's revision of the object.
    :param version: the object's version.
    :param value: the object.
    """

    revision: int
    version: int
    value: bytes


class TicketRequestMessage(message.PeerMessage, tag=38):
    """Asks for a ticket to pass a request that will run.

    :param target_boot: the receiver's process.
    :param boot: the sender's process.
    :param number: the pass.
    """

    target_boot_id: int
    boot_id: int
    number: int


class TicketMessage(message.PeerMessage, tag=39):
    """A ticket; it is good for one pass and a short time.

    It proves to its issuer that the pass is fresh and no copy.

    :param target_boot: the process that asked.
    :param number: the pass.
    :param ticket: the ticket.
    """

    target_boot_id: int
    number: int
    ticket: int


MESSAGES = (
    ClaimMessage
    | VoteMessage
    | ReleaseMessage
    | ForwardMessage
    | ForwardEndedMessage
    | VotesRequestMessage
    | VotesMessage
    | ReportMessage
    | KeyHandoverMessage
    | HoldersMessage
    | TicketRequestMessage
    | TicketMessage
    | selection.MESSAGES
)
