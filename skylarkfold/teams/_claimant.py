"""How a team comes to hold claims and gives them up.

A claim changes hands only by a conditional update of its object. Before a
team writes a version that begins to use a claim, it notes that version in
the claim as pending; afterwards it confirms it. Another team may take the
claim over only if the holder's subtree, read after the claim, does not
use it and is no older than the claim says. A write that would begin to
use it meanwhile has updated the claim, so that the takeover fails.
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


class Holding(enum.StrEnum):
    """What another team's claim is worth.

    ``USED``: its subtree uses it. ``UNUSED``: it does not. ``BEGINNING``:
    the version that is to use it is not there yet. ``UNCLEAR``: the
    subtree that was read is older than the claim.
    """

    USED = 'used'
    UNUSED = 'unused'
    BEGINNING = 'beginning'
    UNCLEAR = 'unclear'


def judge_holding(claim: _claim.Claim, subtree: _subtree.Subtree) -> Holding:
    """Judge another team's claim.

    :param claim: the claim.
    :param subtree: its team's subtree, read after the claim.
    :returns: what the claim is worth.
    """
    if subtree.error is not None or claim.path in subtree.list_claims():
        return Holding.USED
    if subtree.version < claim.version:
        return Holding.UNCLEAR
    if subtree.version < claim.pending:
        return Holding.BEGINNING
    return Holding.UNUSED


@dataclasses.dataclass(slots=True)
class _Found:
    """A claim object as it was read; claim is None where it is free."""

    version: int
    claim: _claim.Claim | None


@dataclasses.dataclass(slots=True)
class _Watch:
    """How long a claim that another team is about to use has not changed.

    :param patience_seconds: how long it is left in peace.
    """

    patience_seconds: float
    version: int = 0
    waited_seconds: float = 0.0

    def is_over(self, version: int) -> bool:
        if version != self.version:
            self.version = version
            self.waited_seconds = 0.0
        return self.waited_seconds >= self.patience_seconds


class Claimant:
    """One command's dealings with claims.

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
        self._taken: dict[str, _claim.Claim] = {}

    def has_taken(self, path: str) -> bool:
        """Tell whether this command took a claim."""
        return path in self._taken

    def take(self, path: str) -> _session.Steps[None]:
        """Take a claim before the subtree is written.

        :param path: the claim's path.
        :raises ClaimError: if another team holds it.
        :raises PlatformError: if the platform does not answer.
        """
        watch = _Watch(self._session.settings.claim_patience_seconds)
        for number in self._session.count_tries():
            found = yield from self._read(path)
            if (yield from self._may_take(found, path, watch)):
                claim = self._build_pending(found.claim, path)
                if (yield from self._replace(claim, found.version)):
                    self._taken[path] = self._build_former(found.claim, path)
                    return
            pause = self._session.pause(number)
            watch.waited_seconds += pause.seconds
            yield pause
        raise errors.ClaimError(f'{path} is being changed by others')

    def _may_take(
        self, found: _Found, path: str, watch: _Watch
    ) -> _session.Steps[bool]:
        claim = found.claim
        if claim is None or claim.team == self._team:
            return True
        holder = yield from self._read_subtree(claim.team)
        holding = judge_holding(claim, holder)
        if holding is Holding.USED:
            raise errors.ClaimError(f'{path} is held by team {claim.team}')
        if holding is Holding.BEGINNING:
            return watch.is_over(found.version)
        return holding is Holding.UNUSED

    def _build_former(
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
        # What other versions of this team rely on must stay noted.
        pending = max(current.pending, self._subtree_version)
        return dataclasses.replace(current, write=write, pending=pending)

    def _replace(
        self, claim: _claim.Claim, version: int
    ) -> _session.Steps[bool]:
        value = _claim.encode_claim(claim)
        write = platform_api.WriteObject(claim.path, value, version)
        settled = yield from self._session.write(write)
        if settled.outcome in (_Outcome.UNKNOWN, _Outcome.UNSENT):
            raise errors.PlatformError(f'{claim.path} could not be written')
        return settled.outcome is _Outcome.DONE

    def confirm_all(self) -> _session.Steps[list[str]]:
        """Confirm all taken claims after the subtree has been written.

        :returns: the paths of those that another team has taken.
        :raises OutcomeUnknownError: if the platform does not answer.
        """
        lost = []
        for path in sorted(self._taken):
            if not (yield from self._confirm(path)):
                lost.append(path)
        return lost

    def _confirm(self, path: str) -> _session.Steps[bool]:
        for number in self._session.count_tries():
            try:
                is_ours = yield from self._try_to_confirm(path)
            except errors.PlatformError:
                break
            if is_ours is not None:
                return is_ours
            yield self._session.pause(number)
        raise errors.OutcomeUnknownError(
            f'version {self._subtree_version} is written, but the claim'
            f' {path} could not be confirmed; apply it again'
        )

    def _try_to_confirm(self, path: str) -> _session.Steps[bool | None]:
        """Confirm once; None if somebody changed the claim meanwhile."""
        found = yield from self._read(path)
        if found.claim is not None and found.claim.team != self._team:
            return False
        confirmed = self._build_confirmed(found.claim, path)
        if confirmed is found.claim:
            return True
        is_done = yield from self._replace(confirmed, found.version)
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
        """Undo the taken claims when the subtree will not be written.

        It does what it can: what is left is taken over by whoever needs
        it.
        """
        try:
            for path, before in sorted(self._taken.items()):
                found = yield from self._read(path)
                if found.claim and found.claim.write == before.write:
                    yield from self._replace(before, found.version)
        except errors.PlatformError:
            return

    def release(
        self, claims: dict[str, tuple[int, _claim.Claim]], needed: frozenset
    ) -> _session.Steps[None]:
        """Give up the team's claims that the written version leaves.

        :param claims: all claims with their versions, read before.
        :param needed: the paths that the written version uses.
        """
        write_id = self._session.write_id
        try:
            for path, (version, claim) in sorted(claims.items()):
                if claim.team == self._team and path not in needed:
                    free = _claim.Claim(path, '', write_id)
                    yield from self._replace(free, version)
        except errors.PlatformError:
            # The next change of the team's subtree does it.
            return

    def _read(self, path: str) -> _session.Steps[_Found]:
        current = yield from self._session.read(path)
        if current is None:
            return _Found(0, None)
        claim = _claim.read_claim(path, current.value)
        if claim is not None and not claim.team:
            claim = None
        return _Found(current.version, claim)

    def _read_subtree(self, team: str) -> _session.Steps[_subtree.Subtree]:
        path = _subtree.build_subtree_path(team)
        found = yield from self._session.read(path)
        return _subtree.read_subtree(team, found)
