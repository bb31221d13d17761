"""Updates of the list of holders after changes of the membership.

One instance, the coordinator, writes the list: the first by name of those
alive. If instances disagree about who that is, several may write, and the
platform's conditional write lets one of them succeed.
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
from skylarkfold.requests import _messages
from skylarkfold.requests import _vote_table
from skylarkfold.requests import _vote_transfer

MemberState = member_module.MemberState

_CHECK_SECONDS = 0.25
_REPORT_SECONDS = 1.0
_COMPLETE_SECONDS = 3.0
_CONFIRM_SECONDS = 0.5
_WRITE_TIMEOUT_SECONDS = 10.0


class HolderManager:
    """Keeper of the newest list of holders, and its writer as coordinator.

    :param context: shared identity, settings and effects of the core.
    :param vote_table: this instance's votes as a holder.
    """

    def __init__(
        self, context: _context.Context, vote_table: _vote_table.VoteTable
    ) -> None:
        self._context = context
        self._vote_table = vote_table
        self._vote_transfer = _vote_transfer.VoteTransfer(
            context, vote_table, self._is_gone
        )
        self._membership = member_module.EMPTY
        self._reports: dict[str, _messages.ReportMessage] = {}
        self._unconfirmed_reports: dict[str, tuple[int, float]] = {}
        self._ended_processes: set[tuple[str, int]] = set()
        self._desired: _holders.HolderSet = ()
        self._desired_since = 0.0
        self._next_report_at = 0.0
        self._next_check_at = 0.0
        self._declared_gone: frozenset[str] = frozenset()
        self._write_blocked_until = 0.0
        self._list_changed_at = 0.0
        # Whether the store was restored with an older list than the newest.
        self._is_rolled_back = False
        self.holders: _holders.HolderList | None = None
        self.is_stopping = False

    @property
    def is_unlisted(self) -> bool:
        """Return whether the list no longer names this process."""
        if self.holders is None:
            return True
        own = (self._context.name, self._context.boot_id)
        return own not in self.holders.list_processes()

    def update_list(
        self, now: float, revision: int, version: int, value: bytes | None
    ) -> bool:
        """Accept a list from the store or a peer if it is newer.

        :param now: the current time.
        :param revision: the store's revision of the object.
        :param version: the object's version.
        :param value: the object, None if it was deleted.
        :returns: whether it replaced the list known so far.
        """
        if self.holders is not None and revision <= self.holders.list_revision:
            return False
        if value is None:
            self._record_rollback(0)
            return False
        changed = platform_api.StoredObject(
            _holders.PATH, version, revision, value
        )
        try:
            holders = _holders.decode_list(changed, self.holders)
        except errors.DecodeError:
            self._context.count(metric.REQUESTS_HOLDERS_MALFORMED)
            return False
        if self._has_newer_than(holders):
            self._record_rollback(version)
            return False
        self.holders = holders
        self._is_rolled_back = False
        self._list_changed_at = now
        self._ended_processes &= holders.list_processes()
        self._write_blocked_until = 0.0
        self._vote_transfer.start(now, holders)
        self._context.log(
            'holders',
            str(holders.list_revision),
            f'{len(holders.value.current)}',
        )
        self.tick(now)
        return True

    def _has_newer_than(self, other: _holders.HolderList) -> bool:
        """Return whether the known list has a higher serial than another."""
        if self.holders is None:
            return False
        return other.value.serial < self.holders.value.serial

    def _record_rollback(self, version: int) -> None:
        """Record that the store was restored without the newest list.

        The newest list stays in force, because holders have voted under it.
        The coordinator writes it again.

        :param version: the version in the store, which that write expects.
        """
        if self.holders is None:
            return
        self.holders.version = version
        self._is_rolled_back = True
        self._context.count(metric.REQUESTS_HOLDERS_LOST)

    def update_declared_gone(self, value: bytes | None) -> None:
        """Update the names that operators declare gone for good.

        An instance that finds its own name among them stops voting.

        :param value: the stored list of names, None if it was deleted.
        """
        try:
            self._declared_gone = _holders.decode_gone(value or b'[]')
        except errors.DecodeError:
            self._context.count(metric.REQUESTS_GONE_MALFORMED)
            return
        if self._context.name in self._declared_gone:
            self._vote_table.close()

    def update_membership(self, membership: member_module.Membership) -> None:
        """Update the membership.

        :param membership: all members as seen by this instance.
        """
        self._membership = membership
        for by_name in (self._reports, self._unconfirmed_reports):
            for name in list(by_name):
                if name not in membership.members:
                    del by_name[name]

    def end_write(self, now: float, ended: event.WriteEnded) -> bool:
        """Handle the outcome of a write of the list.

        :param now: the current time.
        :param ended: the outcome.
        :returns: whether a newer list became known.
        """
        if ended.path != _holders.PATH:
            return False
        # After a conflict without an object, the watch delivers the list.
        self._write_blocked_until = (
            now + self._context.settings.change_delay_seconds
        )
        current = ended.current
        if current is None:
            return False
        return self.update_list(
            now, current.revision, current.version, current.value
        )

    def record_report(
        self, now: float, sender: str, report: _messages.ReportMessage
    ) -> None:
        """Record a member's report.

        A report with a new boot ID counts only if the member repeats it for
        some time, because it may be a delayed one of a former process.

        :param now: the current time.
        :param sender: the member's name.
        :param report: its process and the ranges it has yet to take over.
        """
        if report.is_ending:
            self._ended_processes.add((sender, report.boot_id))
            return
        known = self._reports.get(sender)
        if known is not None and known.boot_id == report.boot_id:
            self._reports[sender] = report
            return
        boot_id, since = self._unconfirmed_reports.get(sender, (0, now))
        if boot_id != report.boot_id:
            self._unconfirmed_reports[sender] = (report.boot_id, now)
        elif now - since >= _CONFIRM_SECONDS:
            del self._unconfirmed_reports[sender]
            self._reports[sender] = report

    def announce_end(self) -> None:
        """Tell all holders that this process will not vote again."""
        self._vote_table.close()
        if self.holders is None:
            return
        report = _messages.ReportMessage(
            boot_id=self._context.boot_id,
            list_revision=self.holders.list_revision,
            is_ending=True,
        )
        for holder in self.holders.value.current:
            if holder.name in self._context.reachable:
                self._context.send(holder.name, report)

    def send_votes(
        self,
        now: float,
        sender: str,
        request: _messages.TransferRequestMessage,
    ) -> None:
        """Send this instance's votes to a new holder of some ranges.

        :param now: the current time.
        :param sender: the new holder's name.
        :param request: its request.
        """
        self._vote_transfer.send_votes(sender, request)

    def record_votes(
        self, now: float, sender: str, message: _messages.VoteTransferMessage
    ) -> None:
        """Record the votes that a former holder transfers.

        :param now: the current time.
        :param sender: the former holder's name.
        :param message: a chunk of its votes.
        """
        self._vote_transfer.record_votes(now, sender, message)

    def tick(self, now: float) -> None:
        """Continue the vote transfer; write the list or report, if due.

        :param now: the current time.
        """
        self._vote_transfer.tick(now)
        if now < self._next_check_at:
            return
        self._next_check_at = now + _CHECK_SECONDS
        coordinator = self._find_coordinator()
        if coordinator == self._context.name:
            self._reports[coordinator] = self._make_report(now)
            self._write_if_needed(now)
        elif (
            coordinator
            and now >= self._next_report_at
            and self._needs_report()
        ):
            self._next_report_at = now + _REPORT_SECONDS
            self._context.send(coordinator, self._make_report(now))

    def _make_report(self, now: float) -> _messages.ReportMessage:
        return _messages.ReportMessage(
            boot_id=self._context.boot_id,
            list_revision=self.holders.list_revision if self.holders else 0,
            pending_ranges=tuple(self._vote_transfer.list_pending_ranges(now)),
        )

    def _needs_report(self) -> bool:
        if self.holders is None or self.holders.is_joint:
            return True
        own = self.holders.find(self._context.name)
        return own is None or own.boot_id != self._context.boot_id

    def _find_coordinator(self) -> str:
        alive = [
            each.name
            for each in self._membership.members.values()
            if each.state is MemberState.ALIVE
            and each.name != self._context.name
        ]
        if self._can_be_holder():
            alive.append(self._context.name)
        listed = [each for each in alive if self._find_listed(each)]
        return min(listed or alive, default='')

    def _find_listed(self, name: str) -> _holders.Holder | None:
        return self.holders.find(name) if self.holders else None

    def _can_be_holder(self) -> bool:
        own = self._membership.members.get(self._context.name)
        return not self.is_stopping and (own is None or own.state.may_own)

    def _list_desired(self) -> _holders.HolderSet:
        desired = []
        if self._can_be_holder():
            instance = self._context.instance
            desired.append(
                _holders.Holder(
                    instance.name, instance.zone, self._context.boot_id
                )
            )
        for each in self._membership.members.values():
            holder = self._find_desired(each)
            if holder is not None:
                desired.append(holder)
        return tuple(sorted(desired, key=lambda each: each.name))

    def _find_desired(
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
        return _holders.Holder(member.name, member.zone, report.boot_id)

    def _write_if_needed(self, now: float) -> None:
        desired = self._list_desired()
        if desired != self._desired:
            self._desired = desired
            self._desired_since = now
        if now < self._write_blocked_until or not desired:
            return
        delay = self._context.settings.change_delay_seconds
        since = max(self._desired_since, self._list_changed_at)
        is_stable = now - since >= delay
        if self.holders is None:
            if is_stable:
                self._write(now, _holders.HolderValue(desired, serial=1))
            return
        if self._is_rolled_back:
            self._write(now, self.holders.value)
            return
        if desired != self.holders.value.current:
            if is_stable and self._retains_majority(desired):
                self._write(now, self.holders.build_replacement(desired))
            return
        self._complete_ranges(now)

    def _retains_majority(self, desired: _holders.HolderSet) -> bool:
        """Return whether a change keeps most holders that may be alive.

        During a network partition this lets at most one side write. Otherwise
        both sides would keep replacing each other's holders.
        """
        current = self.holders.value.current
        kept = [each for each in current if each in desired]
        lost = [
            each
            for each in current
            if each not in desired
            and not self._is_gone_or_replaced(each, desired)
        ]
        if len(kept) != len(lost):
            return len(kept) > len(lost)
        names = [each.name for each in lost]
        return not lost or min(names) > min(each.name for each in kept)

    def _is_gone_or_replaced(
        self, holder: _holders.Holder, desired: _holders.HolderSet
    ) -> bool:
        is_replaced = any(each.name == holder.name for each in desired)
        return is_replaced or self._is_gone(holder)

    def _complete_ranges(self, now: float) -> None:
        """Drop the former holders of ranges whose votes are transferred.

        Waits for all pending ranges for some seconds, to save writes.
        """
        pending = self.holders.list_pending()
        completed = frozenset(
            each for each in pending if self._is_range_complete(each)
        )
        is_late = now - self._list_changed_at >= _COMPLETE_SECONDS
        if completed and (is_late or len(completed) == len(pending)):
            self._write(now, self.holders.build_completion(completed))

    def _is_range_complete(self, range_number: int) -> bool:
        current = self.holders.get_current(range_number)
        completed = sum(
            self._has_completed(each, range_number) for each in current
        )
        return completed >= _holders.count_majority(current)

    def _has_completed(
        self, holder: _holders.Holder, range_number: int
    ) -> bool:
        report = self._reports.get(holder.name)
        return (
            report is not None
            and report.boot_id == holder.boot_id
            and report.list_revision == self.holders.list_revision
            and range_number not in report.pending_ranges
        )

    def _write(self, now: float, value: _holders.HolderValue) -> None:
        self._write_blocked_until = now + _WRITE_TIMEOUT_SECONDS
        write = platform_api.WriteObject(
            path=_holders.PATH,
            value=_holders.encode_value(value),
            expected_version=self.holders.version if self.holders else 0,
        )
        self._context.effects.append(effect.RequestWrite(write))

    def _is_gone(self, holder: _holders.Holder) -> bool:
        if holder.name in self._declared_gone:
            return True
        if (holder.name, holder.boot_id) in self._ended_processes:
            return True
        listed = self._find_listed(holder.name)
        return listed is not None and listed.boot_id != holder.boot_id
