"""Choice of the service and upstream of a new flow."""

from __future__ import annotations

from skylarkfold.affinity import _admission
from skylarkfold.affinity import _flow_opener
from skylarkfold.affinity import _request_time
from skylarkfold.affinity import _route
from skylarkfold.affinity import _upstream_state


class Destination:
    """Where a new flow is sent, or would be if it were not refused.

    :param state: the upstream; the first choice if all services are
        overloaded.
    :param expected: the estimated time of its answer.
    :param is_crowded: whether that would be too late.
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
    """Choose the service and upstream of a new flow.

    The service that its hash selects by the route's weights gets it if it can
    answer in time. If that one is overloaded or has no upstream, the other
    services of the route are tried in an order given by the same hash, so that
    all instances agree.

    :param now: the time.
    :param route: the flow's route.
    :param flow_hash: its hash.
    :param opener: chooses an upstream of a service.
    :param admission: estimates whether it would answer in time.
    :returns: the destination, None if no service has an upstream.
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
