"""Making claims to keys and giving them up."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold.requests import _claim
from skylarkfold.requests import _context
from skylarkfold.requests import _holders
from skylarkfold.requests import _messages
from skylarkfold.requests import _record
from skylarkfold.requests import _register
from skylarkfold.requests import _tombstones

Ballot = _messages.Ballot
Owner = _register.Owner

_SILENCE_SECONDS = 5.0


class Claimant:
    """Asks holders for their votes on behalf of this instance.

    A claim that is given up is given up for good: nothing runs under its
    number after that.

    :param context: what the parts of the core share.
    :param register: this instance's own votes.
    :param get_holders: gives the newest list of holders, None for none.
    """

    def __init__(
        self,
        context: _context.Context,
        register: _register.Register,
        get_holders: Callable[[], _holders.HolderList | None],
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._register = register
        self._get_holders = get_holders
        self._tombstones = _tombstones.Tombstones(context.settings)
        self._by_claim: dict[int, _record.KeyRecord] = {}
        self._claims_made = 0
        self._silent: dict[str, float] = {}

    @property
    def is_ready(self) -> bool:
        """Tell whether the holders are known."""
        return self._get_holders() is not None

    def claim(self, now: float, record: _record.KeyRecord) -> None:
        """Make a new claim.

        :param now: the time.
        :param record: the key's record.
        """
        self._claims_made += 1
        number = self._context.draw(f'claim|{self._claims_made}')
        record.claim_number = number
        self._by_claim[number] = record
        self._submit(now, record)

    def renew(self, now: float, record: _record.KeyRecord) -> bool:
        """Make an undecided claim anew under a newer list.

        :param now: the time.
        :param record: the key's record.
        :returns: whether it had such a claim.
        """
        claim = record.claim
        if claim is None or claim.label >= self._get_holders().label:
            return False
        self._submit(now, record)
        return True

    def ask_silent(self, now: float, record: _record.KeyRecord) -> None:
        """Ask all holders that have not answered.

        :param now: the time.
        :param record: the key's record.
        """
        for holder in record.claim.list_owing():
            self.note_silent(now, holder.name)
        self._ask(now, record, record.claim.choose_rest())

    def note_silent(self, now: float, name: str) -> None:
        """Ask a holder last for a while.

        :param now: the time.
        :param name: the holder that did not answer or was lost.
        """
        self._silent[name] = now + _SILENCE_SECONDS

    def _ask(
        self,
        now: float,
        record: _record.KeyRecord,
        chosen: list[_holders.Holder],
    ) -> None:
        record.retry_at = now + self._settings.claim_retry_seconds
        claim = record.claim
        for holder in chosen:
            if holder.name == self._context.name:
                self._ask_self(now, record, holder)
                continue
            asked = _messages.ClaimMessage(
                label=claim.label,
                target_boot=holder.boot,
                key=record.key,
                boot=self._context.boot,
                claim=record.claim_number,
            )
            self._context.send(holder.name, asked)

    def record_vote(
        self, sender: str, vote: _messages.VoteMessage
    ) -> _record.KeyRecord | None:
        """Count a holder's answer.

        :param sender: the holder.
        :param vote: its answer.
        :returns: the record of the key; None where the claim is over or
            was asked under another list.
        """
        self._silent.pop(sender, None)
        record = self._by_claim.get(vote.claim)
        if vote.target_boot != self._context.boot or record is None:
            return None
        if record.claim.label != vote.label:
            return None
        rival = Owner(vote.owner, vote.owner_boot, vote.owner_claim)
        _count(record, (sender, vote.boot), vote.ballot, rival)
        return record

    def finish(self, record: _record.KeyRecord) -> None:
        """Count no more votes for a claim.

        :param record: the key's record.
        """
        self._by_claim.pop(record.claim_number, None)
        record.claim = None

    def abandon(self, now: float, record: _record.KeyRecord) -> None:
        """Give a claim up, won or not, under which nothing ran.

        :param now: the time.
        :param record: the key's record.
        """
        if not record.claim_number:
            return
        self._tombstones.add(now, record.claim_number)
        self.release(record.key, record.claim_number)
        self.finish(record)
        record.claim_number = 0

    def has_abandoned(self, claim: int) -> bool:
        """Tell whether a claim is known to have been given up.

        :param claim: its number.
        :returns: False also where that was forgotten.
        """
        return self._tombstones.has(claim)

    def release(
        self,
        key: bytes,
        claim: int,
        successor: _holders.Holder | None = None,
    ) -> None:
        """Ask the holders to take their votes back, or to move them.

        :param key: the key's digest.
        :param claim: the claim that they voted for.
        :param successor: who answers for the key from now on, or nobody.
        """
        holders = self._get_holders()
        if holders is None:
            return
        released = _messages.ReleaseMessage(
            key=key,
            boot=self._context.boot,
            claim=claim,
            successor=successor.name if successor else '',
            successor_boot=successor.boot if successor else 0,
        )
        sets = holders.list_sets(_holders.find_range(key))
        for name in dict.fromkeys(each.name for one in sets for each in one):
            if name == self._context.name:
                self._register.take_release(name, released)
            else:
                self._context.send(name, released)

    def expire(self, now: float) -> None:
        """Forget abandoned claims that no vote can name any more.

        :param now: the time.
        """
        self._tombstones.expire(now)
        for name, until in list(self._silent.items()):
            if until <= now:
                del self._silent[name]

    def _submit(self, now: float, record: _record.KeyRecord) -> None:
        owner = self._name_owner(record.claim_number)
        claim = _claim.Claim(owner, self._get_holders(), record.key)
        record.claim = claim
        chosen = claim.choose_first(self._context.name, self._list_prompt(now))
        self._ask(now, record, chosen)

    def _list_prompt(self, now: float) -> frozenset[str]:
        silent = {name for name, until in self._silent.items() if until > now}
        return self._context.reachable - silent

    def _ask_self(
        self,
        now: float,
        record: _record.KeyRecord,
        holder: _holders.Holder,
    ) -> None:
        if holder.boot != self._context.boot:
            return
        claim = record.claim
        ballot, rival = self._register.vote(
            now, claim.label, record.key, claim.owner
        )
        _count(record, (holder.name, holder.boot), ballot, rival)

    def _name_owner(self, claim: int) -> Owner:
        return Owner(self._context.name, self._context.boot, claim)


def _count(
    record: _record.KeyRecord,
    holder: _claim.Identity,
    ballot: Ballot,
    rival: Owner,
) -> None:
    if ballot is not Ballot.STALE:
        record.claim.record(holder, ballot is Ballot.ACCEPTED, rival)
