"""Keeping the list of holders in step with the membership.

One instance at a time writes it, the first by name of those alive; where
views differ several try, and the platform's conditional write lets one
of them win.
"""

from __future__ import annotations

from skylarkfold import effect
from skylarkfold import errors
from skylarkfold import event
from skylarkfold import member as member_module
from skylarkfold import metric
from skylarkfold import platform_api
from skylarkfold.requests import _context
from skylarkfold.requests import _holders
from skylarkfold.requests import _inheritance
from skylarkfold.requests import _messages
from skylarkfold.requests import _register

MemberState = member_module.MemberState

_STEER_SECONDS = 0.25
_REPORT_SECONDS = 1.0
_SETTLE_SECONDS = 3.0
_CONFIRM_SECONDS = 0.5
_WRITE_PATIENCE_SECONDS = 10.0


class Succession:
    """Knows the newest list of holders and has it changed where needed.

    :param context: what the parts of the core share.
    :param register: this instance's votes.
    """

    def __init__(
        self, context: _context.Context, register: _register.Register
    ) -> None:
        self._context = context
        self._register = register
        self._inheritance = _inheritance.Inheritance(
            context, register, self._is_gone
        )
        self._membership = member_module.EMPTY
        self._reports: dict[str, _messages.ReportMessage] = {}
        self._unconfirmed: dict[str, tuple[int, float]] = {}
        self._ended: set[tuple[str, int]] = set()
        self._wanted: _holders.HolderSet = ()
        self._wanted_since = 0.0
        self._report_at = 0.0
        self._steer_at = 0.0
        self._gone: frozenset[str] = frozenset()
        self._writing_until = 0.0
        self._observed_at = 0.0
        # Whether the store has an older list, or none.
        self._is_lost = False
        self.holders: _holders.HolderList | None = None
        self.is_stopping = False

    @property
    def is_released(self) -> bool:
        """Tell whether nobody counts on this instance's votes."""
        if self.holders is None:
            return True
        own = (self._context.name, self._context.boot)
        return own not in self.holders.list_identities()

    def observe(
        self, now: float, revision: int, version: int, value: bytes | None
    ) -> bool:
        """Take the stored list.

        :param now: the time.
        :param revision: the store's revision of the object.
        :param version: the object's version.
        :param value: the object; None where it was deleted.
        :returns: whether it is newer than the list known so far.
        """
        if self.holders is not None and revision <= self.holders.label:
            return False
        if value is None:
            self._note_lost(0)
            return False
        changed = platform_api.StoredObject(
            _holders.PATH, version, revision, value
        )
        try:
            holders = _holders.read_list(changed, self.holders)
        except errors.DecodeError:
            self._context.count(metric.REQUESTS_HOLDERS_MALFORMED)
            return False
        if self._is_later(holders):
            self._note_lost(version)
            return False
        self.holders = holders
        self._is_lost = False
        self._observed_at = now
        self._ended &= holders.list_identities()
        self._writing_until = 0.0
        self._inheritance.begin(now, holders)
        self._context.log(
            'holders', str(holders.label), f'{len(holders.value.current)}'
        )
        self.tick(now)
        return True

    def _is_later(self, other: _holders.HolderList) -> bool:
        """Tell whether the list that is known is later than another."""
        if self.holders is None:
            return False
        return other.value.serial < self.holders.value.serial

    def _note_lost(self, version: int) -> None:
        """Note that the store has come back without the newest list.

        Votes were given by it, so that nobody goes back to an older one.

        :param version: what the store has; the next write expects it.
        """
        if self.holders is None:
            return
        self.holders.version = version
        self._is_lost = True
        self._context.count(metric.REQUESTS_HOLDERS_LOST)

    def observe_gone(self, value: bytes | None) -> None:
        """Take the names that operators declare gone for good.

        An instance that finds its own name there votes no more.

        :param value: the stored list; None where it was deleted.
        """
        try:
            self._gone = _holders.read_gone(value or b'[]')
        except errors.DecodeError:
            self._context.count(metric.REQUESTS_GONE_MALFORMED)
            return
        if self._context.name in self._gone:
            self._register.close()

    def observe_membership(self, membership: member_module.Membership) -> None:
        """Take the newest membership.

        :param membership: all members as seen here.
        """
        self._membership = membership
        for known in (self._reports, self._unconfirmed):
            for name in list(known):
                if name not in membership.members:
                    del known[name]

    def end_write(self, now: float, ended: event.WriteEnded) -> bool:
        """Take the outcome of a write of the list.

        :param now: the time.
        :param ended: the outcome.
        :returns: whether a newer list became known.
        """
        if ended.path != _holders.PATH:
            return False
        # A conflict without an object is over once the watch brings it.
        self._writing_until = now + self._context.settings.change_delay_seconds
        current = ended.current
        if current is None:
            return False
        return self.observe(
            now, current.revision, current.version, current.value
        )

    def take_report(
        self, now: float, sender: str, report: _messages.ReportMessage
    ) -> None:
        """Take a member's report.

        A process that is new under its name counts only once it has
        reported for a while: a report of the process before it may have
        lain unread.

        :param now: the time.
        :param sender: the member.
        :param report: which process it is and what it has to take over.
        """
        if report.is_ending:
            self._ended.add((sender, report.boot))
            return
        known = self._reports.get(sender)
        if known is not None and known.boot == report.boot:
            self._reports[sender] = report
            return
        boot, since = self._unconfirmed.get(sender, (0, now))
        if boot != report.boot:
            self._unconfirmed[sender] = (report.boot, now)
        elif now - since >= _CONFIRM_SECONDS:
            del self._unconfirmed[sender]
            self._reports[sender] = report

    def say_goodbye(self) -> None:
        """Tell all holders that this process never votes again."""
        self._register.close()
        if self.holders is None:
            return
        report = _messages.ReportMessage(
            boot=self._context.boot,
            label=self.holders.label,
            is_ending=True,
        )
        for holder in self.holders.value.current:
            if holder.name in self._context.reachable:
                self._context.send(holder.name, report)

    def tell_votes(
        self, now: float, sender: str, asked: _messages.InheritMessage
    ) -> None:
        """Tell this instance's votes to a holder that takes them over.

        :param now: the time.
        :param sender: the holder.
        :param asked: its question.
        """
        self._inheritance.tell(sender, asked)

    def take_votes(
        self, now: float, sender: str, told: _messages.InheritedMessage
    ) -> None:
        """Take a previous holder's votes over.

        :param now: the time.
        :param sender: the holder.
        :param told: a portion of its votes.
        """
        self._inheritance.take(now, sender, told)

    def tick(self, now: float) -> None:
        """Go on with what the newest list and membership ask for.

        :param now: the time.
        """
        self._inheritance.tick(now)
        if now < self._steer_at:
            return
        self._steer_at = now + _STEER_SECONDS
        steward = self._find_steward()
        if steward == self._context.name:
            self._reports[steward] = self._make_report(now)
            self._write_if_needed(now)
        elif steward and now >= self._report_at and self._has_news():
            self._report_at = now + _REPORT_SECONDS
            self._context.send(steward, self._make_report(now))

    def _make_report(self, now: float) -> _messages.ReportMessage:
        return _messages.ReportMessage(
            boot=self._context.boot,
            label=self.holders.label if self.holders else 0,
            missing=tuple(self._inheritance.list_missing(now)),
        )

    def _has_news(self) -> bool:
        if self.holders is None or self.holders.is_joint:
            return True
        own = self.holders.find(self._context.name)
        return own is None or own.boot != self._context.boot

    def _find_steward(self) -> str:
        alive = [
            each.name
            for each in self._membership.members.values()
            if each.state is MemberState.ALIVE
            and each.name != self._context.name
        ]
        if self._takes_part():
            alive.append(self._context.name)
        listed = [each for each in alive if self._find_listed(each)]
        return min(listed or alive, default='')

    def _find_listed(self, name: str) -> _holders.Holder | None:
        return self.holders.find(name) if self.holders else None

    def _takes_part(self) -> bool:
        own = self._membership.members.get(self._context.name)
        return not self.is_stopping and (own is None or own.state.may_own)

    def _list_wanted(self) -> _holders.HolderSet:
        wanted = []
        if self._takes_part():
            instance = self._context.instance
            wanted.append(
                _holders.Holder(
                    instance.name, instance.zone, self._context.boot
                )
            )
        for each in self._membership.members.values():
            holder = self._find_wanted(each)
            if holder is not None:
                wanted.append(holder)
        return tuple(sorted(wanted, key=lambda each: each.name))

    def _find_wanted(
        self, member: member_module.Member
    ) -> _holders.Holder | None:
        if member.name == self._context.name or not member.state.may_own:
            return None
        listed = self._find_listed(member.name)
        report = self._reports.get(member.name)
        if report is None:
            return listed
        if listed is None and member.state is not MemberState.ALIVE:
            return None
        return _holders.Holder(member.name, member.zone, report.boot)

    def _write_if_needed(self, now: float) -> None:
        wanted = self._list_wanted()
        if wanted != self._wanted:
            self._wanted = wanted
            self._wanted_since = now
        if now < self._writing_until or not wanted:
            return
        delay = self._context.settings.change_delay_seconds
        since = max(self._wanted_since, self._observed_at)
        is_stable = now - since >= delay
        if self.holders is None:
            if is_stable:
                self._write(now, _holders.HolderValue(wanted, serial=1))
            return
        if self._is_lost:
            self._write(now, self.holders.value)
            return
        if wanted != self.holders.value.current:
            if is_stable and self._keeps_most(wanted):
                self._write(now, self.holders.change(wanted))
            return
        self._settle(now)

    def _keeps_most(self, wanted: _holders.HolderSet) -> bool:
        """Tell whether most of those in force that may live are kept.

        Of two sides that are cut off from each other at most one may
        write: else they would take turns in locking each other out.
        """
        current = self.holders.value.current
        kept = [each for each in current if each in wanted]
        lost = [
            each
            for each in current
            if each not in wanted and not self._is_gone_for(each, wanted)
        ]
        if len(kept) != len(lost):
            return len(kept) > len(lost)
        names = [each.name for each in lost]
        return not lost or min(names) > min(each.name for each in kept)

    def _is_gone_for(
        self, holder: _holders.Holder, wanted: _holders.HolderSet
    ) -> bool:
        is_followed = any(each.name == holder.name for each in wanted)
        return is_followed or self._is_gone(holder)

    def _settle(self, now: float) -> None:
        """Let ranges go on without their past holders, best all at once."""
        moved = self.holders.list_moved()
        settled = frozenset(
            each for each in moved if self._is_range_settled(each)
        )
        is_late = now - self._observed_at >= _SETTLE_SECONDS
        if settled and (is_late or len(settled) == len(moved)):
            self._write(now, self.holders.settle(settled))

    def _is_range_settled(self, number: int) -> bool:
        current = self.holders.get_current(number)
        settled = sum(self._has_settled(each, number) for each in current)
        return settled >= _holders.count_majority(current)

    def _has_settled(self, holder: _holders.Holder, number: int) -> bool:
        report = self._reports.get(holder.name)
        return (
            report is not None
            and report.boot == holder.boot
            and report.label == self.holders.label
            and number not in report.missing
        )

    def _write(self, now: float, value: _holders.HolderValue) -> None:
        self._writing_until = now + _WRITE_PATIENCE_SECONDS
        write = platform_api.WriteObject(
            path=_holders.PATH,
            value=_holders.write_value(value),
            expected_version=self.holders.version if self.holders else 0,
        )
        self._context.effects.append(effect.RequestWrite(write))

    def _is_gone(self, holder: _holders.Holder) -> bool:
        if holder.name in self._gone:
            return True
        if (holder.name, holder.boot) in self._ended:
            return True
        listed = self._find_listed(holder.name)
        return listed is not None and listed.boot != holder.boot
