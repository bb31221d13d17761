"""Which service and upstream a new flow goes to, or that it is refused."""

from __future__ import annotations

from skylarkfold.affinity import _admission
from skylarkfold.affinity import _flow_opener
from skylarkfold.affinity import _request_time
from skylarkfold.affinity import _route
from skylarkfold.affinity import _upstream_state


class Destination:
    """Where a new flow goes.

    :param standing: the upstream; of the service that its hash falls to
        where all are crowded.
    :param expected: how soon that would answer.
    :param is_crowded: whether it would be too late.
    """

    __slots__ = ('expected', 'is_crowded', 'state')

    def __init__(
        self,
        state: _upstream_state.UpstreamState,
        expected: _request_time.AnswerEstimate,
        is_crowded: bool,
    ) -> None:
        self.state = state
        self.expected = expected
        self.is_crowded = is_crowded


def find_destination(
    now: float,
    route: _route.Route,
    flow_hash: int,
    opener: _flow_opener.FlowOpener,
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
    for service in route.list_services(flow_hash):
        state = opener.choose_upstream(now, service, flow_hash)
        if state is None:
            continue
        expected = admission.estimate(now, route, state)
        is_crowded = admission.is_refused(route, expected, flow_hash)
        found = Destination(state, expected, is_crowded)
        if not is_crowded:
            return found
        first = first or found
    return first
