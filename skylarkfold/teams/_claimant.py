"""Taking, confirming and releasing a team's claims.

A claim changes its holder only by a conditional update of its object.
Before a team writes a version that newly uses a claim, it records that
version in the claim as pending; after the write it confirms the claim.
Another team may take the claim over only if the holder's subtree, read
after the claim, does not use it and is at least as new as the versions in
the claim. A concurrent write that newly uses the claim has updated it
before, so that the takeover's conditional update fails.
"""

from __future__ import annotations

import dataclasses
import enum

from skylarkfold import errors
from skylarkfold import platform_api
from skylarkfold.teams import _claim
from skylarkfold.teams import _session
from skylarkfold.teams import _subtree

_Outcome = _session.Outcome


class ClaimUse(enum.StrEnum):
    """Whether another team's subtree uses its claim.

    ``USED``: the subtree uses it or is invalid. ``UNUSED``: the subtree
    does not use it. ``PENDING``: the version that is to use it is not
    written yet. ``STALE``: the subtree that was read is older than the
    claim.
    """

    USED = 'used'
    UNUSED = 'unused'
    PENDING = 'beginning'
    STALE = 'unclear'


def classify_claim_use(
    claim: _claim.Claim, subtree: _subtree.Subtree
) -> ClaimUse:
    """Classify how another team uses its claim.

    :param claim: the claim.
    :param subtree: its team's subtree, read after the claim.
    :returns: the use.
    """
    if subtree.error is not None or claim.path in subtree.list_claims():
        return ClaimUse.USED
    if subtree.version < claim.version:
        return ClaimUse.STALE
    if subtree.version < claim.pending:
        return ClaimUse.PENDING
    return ClaimUse.UNUSED


@dataclasses.dataclass(slots=True)
class _ClaimObject:
    """A claim object as it was read; ``claim`` is None if it is free."""

    version: int
    claim: _claim.Claim | None


@dataclasses.dataclass(slots=True)
class _PendingClaimWait:
    """The wait for another team's pending claim.

    :param patience_seconds: how long the claim must be unchanged before it
        may be taken over.
    """

    patience_seconds: float
    version: int = 0
    waited_seconds: float = 0.0

    def has_expired(self, version: int) -> bool:
        if version != self.version:
            self.version = version
            self.waited_seconds = 0.0
        return self.waited_seconds >= self.patience_seconds


class Claimant:
    """Takes, confirms and releases claims for one command.

    :param session: the command's calls.
    :param team: the team.
    :param subtree_version: the version that the command is to write.
    """

    def __init__(
        self, session: _session.Session, team: str, subtree_version: int
    ) -> None:
        self._session = session
        self._team = team
        self._subtree_version = subtree_version
        self._former_claims: dict[str, _claim.Claim] = {}

    def has_taken(self, path: str) -> bool:
        """Return whether this command took a claim."""
        return path in self._former_claims

    def take(self, path: str) -> _session.Steps[None]:
        """Take a claim before the subtree is written.

        :param path: the claim's path.
        :raises ClaimError: if another team holds it.
        :raises PlatformError: if the platform does not answer.
        """
        pending_wait = _PendingClaimWait(
            self._session.settings.claim_patience_seconds
        )
        for number in self._session.count_tries():
            claim_object = yield from self._read(path)
            if (yield from self._can_take(claim_object, path, pending_wait)):
                claim = self._build_pending(claim_object.claim, path)
                if (yield from self._replace(claim, claim_object.version)):
                    self._former_claims[path] = self._build_restored(
                        claim_object.claim, path
                    )
                    return
            pause = self._session.pause(number)
            pending_wait.waited_seconds += pause.seconds
            yield pause
        raise errors.ClaimError(f'{path} is being changed by other commands')

    def _can_take(
        self,
        claim_object: _ClaimObject,
        path: str,
        pending_wait: _PendingClaimWait,
    ) -> _session.Steps[bool]:
        claim = claim_object.claim
        if claim is None or claim.team == self._team:
            return True
        holder = yield from self._read_subtree(claim.team)
        claim_use = classify_claim_use(claim, holder)
        if claim_use is ClaimUse.USED:
            raise errors.ClaimError(f'{path} is held by team {claim.team}')
        if claim_use is ClaimUse.PENDING:
            return pending_wait.has_expired(claim_object.version)
        return claim_use is ClaimUse.UNUSED

    def _build_restored(
        self, current: _claim.Claim | None, path: str
    ) -> _claim.Claim:
        free = _claim.Claim(path, '')
        former = free
        if current is not None and current.team == self._team:
            former = current
        return dataclasses.replace(former, write=self._session.write_id)

    def _build_pending(
        self, current: _claim.Claim | None, path: str
    ) -> _claim.Claim:
        write = self._session.write_id
        if current is None or current.team != self._team:
            current = _claim.Claim(path, self._team)
        # A later pending version of this team must stay recorded.
        pending = max(current.pending, self._subtree_version)
        return dataclasses.replace(current, write=write, pending=pending)

    def _replace(
        self, claim: _claim.Claim, version: int
    ) -> _session.Steps[bool]:
        value = _claim.encode_claim(claim)
        write = platform_api.WriteObject(claim.path, value, version)
        result = yield from self._session.write(write)
        if result.outcome in (_Outcome.UNKNOWN, _Outcome.UNSENT):
            raise errors.PlatformError(f'{claim.path} could not be written')
        return result.outcome is _Outcome.DONE

    def confirm_all(self) -> _session.Steps[list[str]]:
        """Confirm all taken claims after the subtree has been written.

        :returns: the paths of the claims that another team took over.
        :raises OutcomeUnknownError: if the platform does not answer.
        """
        lost = []
        for path in sorted(self._former_claims):
            if not (yield from self._confirm(path)):
                lost.append(path)
        return lost

    def _confirm(self, path: str) -> _session.Steps[bool]:
        for number in self._session.count_tries():
            try:
                is_own = yield from self._try_to_confirm(path)
            except errors.PlatformError:
                break
            if is_own is not None:
                return is_own
            yield self._session.pause(number)
        raise errors.OutcomeUnknownError(
            f'version {self._subtree_version} is written, but the claim'
            f' {path} could not be confirmed; apply it again'
        )

    def _try_to_confirm(self, path: str) -> _session.Steps[bool | None]:
        """Confirm a claim once; return None after a concurrent change."""
        claim_object = yield from self._read(path)
        if (
            claim_object.claim is not None
            and claim_object.claim.team != self._team
        ):
            return False
        confirmed = self._build_confirmed(claim_object.claim, path)
        if confirmed is claim_object.claim:
            return True
        is_done = yield from self._replace(confirmed, claim_object.version)
        return True if is_done else None

    def _build_confirmed(
        self, current: _claim.Claim | None, path: str
    ) -> _claim.Claim:
        if current is None:
            current = _claim.Claim(path, self._team)
        version = max(current.version, self._subtree_version)
        pending = current.pending if current.pending > version else 0
        if (version, pending) == (current.version, current.pending):
            return current
        return dataclasses.replace(
            current,
            write=self._session.write_id,
            version=version,
            pending=pending,
        )

    def restore(self) -> _session.Steps[None]:
        """Restore the taken claims when the subtree won't be written.

        This is best effort: another command that needs a remaining claim
        takes it over.
        """
        try:
            for path, former in sorted(self._former_claims.items()):
                claim_object = yield from self._read(path)
                if (
                    claim_object.claim
                    and claim_object.claim.write == former.write
                ):
                    yield from self._replace(former, claim_object.version)
        except errors.PlatformError:
            return

    def release(
        self, claims: dict[str, tuple[int, _claim.Claim]], required: frozenset
    ) -> _session.Steps[None]:
        """Release the team's claims that the written version doesn't use.

        :param claims: all claims with their versions, read before.
        :param required: the paths that the written version uses.
        """
        write_id = self._session.write_id
        try:
            for path, (version, claim) in sorted(claims.items()):
                if claim.team == self._team and path not in required:
                    free = _claim.Claim(path, '', write_id)
                    yield from self._replace(free, version)
        except errors.PlatformError:
            # The next change of the team's subtree releases them.
            return

    def _read(self, path: str) -> _session.Steps[_ClaimObject]:
        current = yield from self._session.read(path)
        if current is None:
            return _ClaimObject(0, None)
        claim = _claim.read_claim(path, current.value)
        if claim is not None and not claim.team:
            claim = None
        return _ClaimObject(current.version, claim)

    def _read_subtree(self, team: str) -> _session.Steps[_subtree.Subtree]:
        path = _subtree.build_subtree_path(team)
        claim_object = yield from self._session.read(path)
        return _subtree.read_subtree(team, claim_object)
