"""Settings of upstream selection."""

from __future__ import annotations

import dataclasses
import enum


class Policy(enum.StrEnum):
    """How an instance chooses an upstream for a request.

    ``RANDOM``: any upstream that accepts new work. ``TWO_CHOICES``: the
    less loaded of two random ones, by the load that they report and the
    requests of this instance. ``SLOTS``: one that the service's
    coordinator granted a slot of.
    """

    RANDOM = 'random'
    TWO_CHOICES = 'two-choices'
    SLOTS = 'slots'


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionSettings:
    """Settings of upstream selection.

    :param policy: the selection policy.
    :param maximum_ejected_share: the largest share of a service's
        upstreams that may be ejected at the same time; at least one
        stays in use.
    :param ejection_failures: consecutive failures that eject an upstream.
    :param ejection_seconds: the duration of the first ejection; it
        doubles with each consecutive one.
    :param maximum_ejection_seconds: the longest ejection.
    :param slow_factor: an upstream whose latency exceeds the median by
        this factor is ejected and used last.
    :param slow_start_answers: answers after which a new upstream gets all
        of its slots.
    :param refusal_hold_seconds: how long the limit of an upstream stays
        lowered after it refused a request; it doubles with each further
        refusal before an answer.
    :param share_factor: the requests that an instance may run without the
        coordinator, relative to an equal share of the service's slots.
    :param silence_seconds: how long the coordinator may take to reply to
        a request for slots before this instance chooses locally.
    :param settle_seconds: how long a new coordinator waits for reports of
        held slots before it grants any.
    :param pipeline_extra: requests beyond its slots that an upstream may
        be sent while more requests wait than there are upstreams.
    :param slot_uses: requests of an instance that may use a slot one
        after the other before it returns to the coordinator.
    :param control_bytes_per_second: the budget for slot messages that
        this instance sends and receives; when it runs low, slots are used
        more often before they return.
    """

    policy: Policy = Policy.SLOTS
    maximum_ejected_share: float = 0.34
    ejection_failures: int = 3
    ejection_seconds: float = 2.0
    maximum_ejection_seconds: float = 60.0
    slow_factor: float = 2.5
    slow_start_answers: int = 8
    refusal_hold_seconds: float = 0.1
    share_factor: float = 4.0
    silence_seconds: float = 0.6
    settle_seconds: float = 0.1
    pipeline_extra: int = 1
    slot_uses: int = 2
    control_bytes_per_second: float = 6144.0
