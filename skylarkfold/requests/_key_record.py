"""What an instance knows of one key that it claims or answers for."""

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
    """Where a key stands on this instance.

    ``CLAIMING``: its claim is undecided. ``ASKING``: another instance
    answers for it and has been asked. ``OWNED``: its request is queued or
    runs here. ``ENDED``: its final answer is known.
    """

    CLAIMING = 'claiming'
    ASKING = 'asking'
    OWNED = 'owned'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True)
class KeyRecord:
    """A key with its request, its claim and those who wait.

    :param key: the key's digest.
    :param fingerprint: the digest of the request.
    :param request: the request as it came first; None once ended.
    :param state: where it stands.
    :param askers: who waits, each with its deadline.
    :param give_up_at: when a claim without a majority is given up.
    :param claim: the claim in progress.
    :param claim_number: the number of the last claim.
    :param retry_at: when the silent are asked again or, without a claim,
        when a new one is made.
    :param pass_number: the pass that asks the owner, 0 for none.
    :param answer: the final answer.
    :param expires: when an ended key may be forgotten.
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
        """The size of the answer's body."""
        return len(self.answer.body) if self.answer is not None else 0


def digest_key(request: request_module.Request) -> bytes:
    """Digest a request's key, alike on every instance.

    :param request: the request.
    :returns: 16 bytes that nobody can make collide.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    _update(digest, request.service.encode())
    _update(digest, request.key.encode())
    return digest.digest()


def digest_request(request: request_module.Request) -> int:
    """Digest what a key may be used for: method, target and body.

    :param request: the request.
    :returns: a number of 64 bits.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    _update(digest, request.method.encode())
    _update(digest, request.target.encode())
    _update(digest, request.body)
    return int.from_bytes(digest.digest(), 'big')


def _update(digest: hashlib.blake2b, part: bytes) -> None:
    digest.update(len(part).to_bytes(8, 'big'))
    digest.update(part)
