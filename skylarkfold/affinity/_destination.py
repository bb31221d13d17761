"""Which service and upstream a new flow goes to, or that it is refused."""

from __future__ import annotations

from skylarkfold.affinity import _admission
from skylarkfold.affinity import _opening
from skylarkfold.affinity import _route
from skylarkfold.affinity import _standing
from skylarkfold.affinity import _work


class Destination:
    """Where a new flow goes.

    :param standing: the upstream; of the service that its hash falls to
        where all are crowded.
    :param expected: how soon that would answer.
    :param is_crowded: whether it would be too late.
    """

    __slots__ = ('expected', 'is_crowded', 'standing')

    def __init__(
        self,
        standing: _standing.Standing,
        expected: _work.Estimate,
        is_crowded: bool,
    ) -> None:
        self.standing = standing
        self.expected = expected
        self.is_crowded = is_crowded


def find_destination(
    now: float,
    route: _route.Route,
    hashed: int,
    opener: _opening.Opener,
    admission: _admission.Admission,
) -> Destination | None:
    """Find where a new flow goes.

    The service that its hash falls to by the route's weights has it while it
    has room. Where it is crowded or has no upstream, the others of the route
    are asked in turn, in an order by the same hash, so that all instances
    ask alike.

    :param now: the time.
    :param route: the flow's route.
    :param hashed: the flow's hash.
    :param opener: chooses an upstream of a service.
    :param admission: tells whether that answers in time.
    :returns: the destination, None where no service has an upstream.
    """
    first: Destination | None = None
    for service in route.list_services(hashed):
        standing = opener.choose(now, service, hashed)
        if standing is None:
            continue
        expected = admission.estimate(now, route, standing)
        is_crowded = admission.is_refused(route, expected, hashed)
        found = Destination(standing, expected, is_crowded)
        if not is_crowded:
            return found
        first = first or found
    return first
