"""Settings of the request core."""

from __future__ import annotations

import dataclasses

from skylarkfold import admission
from skylarkfold import errors
from skylarkfold import selection


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSettings:
    """Limits and delays of request handling.

    :param maximum_timeout_seconds: the longest deadline; a longer one that a
        request asks for is reduced to it.
    :param maximum_attempts: attempts of one request, including the first.
    :param retry_share: retries allowed for each first attempt.
    :param retry_burst: unused retries that can accumulate.
    :param retry_delay_seconds: mean delay before a retry; the actual one
        is between half and one and a half times that.
    :param retry_after_seconds: the default ``Retry-After`` of a refusal.
    :param key_memory_seconds: how long after its first use a key may be sent
        again; at least ``maximum_timeout_seconds``.
    :param maximum_keys: keys that one instance keeps records of.
    :param maximum_waiting_bytes: total size of the bodies of keyed requests
        that have no final answer yet.
    :param maximum_answer_bytes: total size of the answers' bodies that are
        kept for replay.
    :param maximum_votes: keys that one instance votes on.
    :param claim_retry_seconds: the delay before holders that have not
        answered are asked again.
    :param claim_patience_seconds: the time after which a claim without a
        majority is abandoned.
    :param change_delay_seconds: how long a changed membership must be stable
        before the list of holders is changed.
    :param hand_on_seconds: the longest time that a stop waits for the
        transfer of this instance's votes to other holders.
    :param pause_seconds: a gap between events after which the process counts
        as having been paused; requests that arrive next may be as old.
    :param woken_seconds: how long keyed requests are refused after a pause.
    :param ready_seconds: the longest time that the instance reports not
        ready while it has no list of holders.
    :param selection: settings of the choice of upstreams.
    :param admission: settings of the admission queue.
    """

    maximum_timeout_seconds: float = 60.0
    maximum_attempts: int = 3
    retry_share: float = 0.1
    retry_burst: float = 10.0
    retry_delay_seconds: float = 0.02
    retry_after_seconds: float = 1.0
    key_memory_seconds: float = 120.0
    maximum_keys: int = 50_000
    maximum_waiting_bytes: int = 32 * 1024 * 1024
    maximum_answer_bytes: int = 32 * 1024 * 1024
    maximum_votes: int = 100_000
    claim_retry_seconds: float = 0.25
    claim_patience_seconds: float = 2.0
    change_delay_seconds: float = 1.0
    hand_on_seconds: float = 5.0
    pause_seconds: float = 5.0
    woken_seconds: float = 1.0
    ready_seconds: float = 10.0
    selection: selection.SelectionSettings = selection.SelectionSettings()
    admission: admission.AdmissionSettings = admission.AdmissionSettings()

    def __post_init__(self) -> None:
        if self.maximum_timeout_seconds <= 0:
            raise errors.SettingsError('maximum_timeout_seconds must be > 0')
        if self.maximum_attempts < 1:
            raise errors.SettingsError('maximum_attempts must be >= 1')
        if self.key_memory_seconds < self.maximum_timeout_seconds:
            raise errors.SettingsError(
                'key_memory_seconds must be >= maximum_timeout_seconds'
            )
        if self.claim_patience_seconds > self.maximum_timeout_seconds:
            raise errors.SettingsError(
                'claim_patience_seconds must be <= maximum_timeout_seconds'
            )

    @property
    def vote_retention_seconds(self) -> float:
        """Return how long a holder keeps a vote after the last claim.

        A key's last request may be delayed by a pause, and then take the
        time of a claim and the longest deadline.
        """
        return (
            self.key_memory_seconds
            + self.pause_seconds
            + self.claim_patience_seconds
            + self.maximum_timeout_seconds
        )
