"""Encoding of an upstream's load in messages."""

from __future__ import annotations

import math

from skylarkfold import errors
from skylarkfold import upstream_load

# Concurrent requests are encoded in hundredths: one instance of a large fleet
# may have only a few hundredths of a request at a time on average.
_BUSY_STEPS = 100
# The weight of answers is encoded in eighths and their mean slowness, which is
# a logarithm, in eightieths, so that both take one byte for most upstreams.
_ANSWER_STEPS = 8
_SLOWNESS_STEPS = 80
_MAXIMUM_SLOWNESS = math.ceil(
    upstream_load.MAXIMUM_MEAN_SLOWNESS * _SLOWNESS_STEPS
)
_MAXIMUM_NUMBER = 1 << 62


def list_load(load: upstream_load.UpstreamLoad) -> list[int]:
    """Return the encoded fields of an upstream's load.

    :param load: the load.
    :returns: the numbers of flows and requests; if there are answers, also
        their weight and mean slowness.
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
    """Decode the fields of an upstream's load.

    :param is_zone: whether the load is that of a zone.
    :param flows: the number of flows.
    :param busy: the number of concurrent requests.
    :param answers: the weight of the upstream's answers.
    :param slowness: their mean slowness.
    :returns: the load.
    :raises DecodeError: if a field is malformed or exceeds the limit for the
        load of an instance or zone.
    """
    maximum = upstream_load.MAXIMUM_ANSWERS
    if is_zone:
        maximum = upstream_load.MAXIMUM_ZONE_ANSWERS
    weight = _check_number(answers, maximum * _ANSWER_STEPS) / _ANSWER_STEPS
    if type(slowness) is not int or abs(slowness) > _MAXIMUM_SLOWNESS:
        raise errors.DecodeError('the slowness is not an integer in the range')
    return upstream_load.UpstreamLoad(
        _check_number(flows, _MAXIMUM_NUMBER),
        _check_number(busy, _MAXIMUM_NUMBER) / _BUSY_STEPS,
        weight,
        weight * slowness / _SLOWNESS_STEPS,
    )


def _check_number(value: object, maximum: float) -> int:
    if type(value) is not int or not 0 <= value <= maximum:
        raise errors.DecodeError('a number is not an integer in the range')
    return value
