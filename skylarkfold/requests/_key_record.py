"""The record of a key that an instance claims or answers for."""

from __future__ import annotations

import dataclasses
import enum
import hashlib

from skylarkfold import request as request_module
from skylarkfold.requests import _claim_tally
from skylarkfold.requests import _context

_DIGEST_BYTES = 16
_FINGERPRINT_BYTES = 8


class KeyState(enum.Enum):
    """State of a key on this instance.

    ``CLAIMING``: its claim is undecided. ``ASKING``: another instance owns
    the key and was asked for the answer. ``OWNED``: this instance owns the
    key, and its request is queued or running. ``ENDED``: its final answer is
    known.
    """

    CLAIMING = 'claiming'
    ASKING = 'asking'
    OWNED = 'owned'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True)
class KeyRecord:
    """A key with its request, its claim and its requesters.

    :param key: the key's digest.
    :param fingerprint: the digest of the request.
    :param request: the first request with this key, None once it has ended.
    :param state: the state of the key.
    :param requesters: those who wait for the answer, with their deadlines.
    :param claim_deadline: when a claim without a majority is abandoned.
    :param tally: the votes on the undecided claim, None if there is none.
    :param last_claim_number: the number of the last claim, 0 for none.
    :param retry_at: when the remaining holders are asked again or, without
        an undecided claim, when a new one is made.
    :param forward_id: the forward that asks the owner, 0 for none.
    :param answer: the final answer.
    :param expires_at: when the record of an ended key may be deleted.
    """

    key: bytes
    fingerprint: int
    request: request_module.Request | None
    state: KeyState = KeyState.CLAIMING
    requesters: dict[_context.Requester, float] = dataclasses.field(
        default_factory=dict
    )
    claim_deadline: float = 0.0
    tally: _claim_tally.ClaimTally | None = None
    last_claim_number: int = 0
    retry_at: float = 0.0
    forward_id: int = 0
    answer: request_module.Answer | None = None
    expires_at: float = 0.0

    @property
    def answer_bytes(self) -> int:
        """Return the size of the answer's body."""
        return len(self.answer.body) if self.answer is not None else 0


def digest_key(request: request_module.Request) -> bytes:
    """Return the digest of a request's service and idempotency key.

    :param request: the request.
    :returns: a cryptographic hash of 16 bytes, the same on all instances.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    _update(digest, request.service.encode())
    _update(digest, request.key.encode())
    return digest.digest()


def digest_request(request: request_module.Request) -> int:
    """Return the fingerprint that all requests with one key must share.

    :param request: the request.
    :returns: a hash of method, target and body, 64 bits.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    _update(digest, request.method.encode())
    _update(digest, request.target.encode())
    _update(digest, request.body)
    return int.from_bytes(digest.digest(), 'big')


def _update(digest: hashlib.blake2b, part: bytes) -> None:
    digest.update(len(part).to_bytes(8, 'big'))
    digest.update(part)
