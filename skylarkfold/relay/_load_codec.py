"""The fields of an upstream's load in messages."""

from __future__ import annotations

import math

from skylarkfold import errors
from skylarkfold import upstream_load

# Requests at a time are told in hundredths: on a fleet of sixty instances
# one alone has a few of them.
_BUSY_STEPS = 100
# Answers are told in eighths and the mean logarithm of how long they took in
# eightieths: one byte each of most upstreams.
_ANSWER_STEPS = 8
_SLOWNESS_STEPS = 80
_MOST_SLOWNESS = math.ceil(
    upstream_load.MAXIMUM_MEAN_SLOWNESS * _SLOWNESS_STEPS
)
_MOST_NUMBER = 1 << 62


def list_load(load: upstream_load.UpstreamLoad) -> list[int]:
    """List what is told of an upstream.

    :param load: its load.
    :returns: flows and requests, and where answers tell its speed, their
        weight and what they tell on average.
    """
    fields = [load.flows, round(load.busy * _BUSY_STEPS)]
    answers = round(load.answers * _ANSWER_STEPS)
    if answers:
        mean = load.slowness / load.answers
        fields += (answers, round(mean * _SLOWNESS_STEPS))
    return fields


def convert_load(
    is_zone: bool,
    flows: object,
    busy: object,
    answers: object = 0,
    slowness: object = 0,
) -> upstream_load.UpstreamLoad:
    """Read what is told of an upstream.

    :param is_zone: whether a zone tells it.
    :param flows: flows.
    :param busy: requests.
    :param answers: the weight of its answers.
    :param slowness: what they tell on average.
    :returns: its load.
    :raises DecodeError: if a field is none, or of more weight than its
        source may have.
    """
    most = upstream_load.MAXIMUM_ANSWERS
    if is_zone:
        most = upstream_load.MAXIMUM_ZONE_ANSWERS
    weight = _check_number(answers, most * _ANSWER_STEPS) / _ANSWER_STEPS
    if type(slowness) is not int or abs(slowness) > _MOST_SLOWNESS:
        raise errors.DecodeError('a slowness is wanted')
    return upstream_load.UpstreamLoad(
        _check_number(flows, _MOST_NUMBER),
        _check_number(busy, _MOST_NUMBER) / _BUSY_STEPS,
        weight,
        weight * slowness / _SLOWNESS_STEPS,
    )


def _check_number(value: object, most: float) -> int:
    if type(value) is not int or not 0 <= value <= most:
        raise errors.DecodeError('a count is wanted')
    return value
