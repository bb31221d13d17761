"""Upstreams, routes and packets for the tests of affinity."""

from skylarkfold import affinity

# What the data of a packet begins with, before its flow.
_WORDS = (b'first', b'later')
_FLOW_BYTES = 12

ADDRESS = affinity.pack_address('198.51.100.1', 443)
OTHER_ADDRESS = affinity.pack_address('198.51.100.2', 443)
SERVICE = 'archebu'
OTHER_SERVICE = 'tocyn'
ZONE = 'caerdydd'
OTHER_ZONE = 'abertawe'


def build_upstream(number, service=SERVICE, zone=ZONE, **fields):
    """Build an upstream at an address of its own."""
    fields.setdefault('address', (f'10.0.0.{number & 0xFF}', 8080))
    fields.setdefault('slots', 2)
    fields.setdefault('created', number & 0xFFFF)
    return affinity.Upstream(
        f'i-{number:010x}', number, service, zone=zone, **fields
    )


def build_routes(version=1, shares=((SERVICE, 1),), **fields):
    """Build routes of one address."""
    fields.setdefault('is_idempotent', True)
    route = affinity.Route(ADDRESS, shares, **fields)
    return affinity.RouteTable(version, [route])


def build_flow(port, address=ADDRESS):
    """Build the key of a flow."""
    return affinity.pack_address('192.0.2.7', port) + address


def build_first(port, copy=0, address=ADDRESS):
    """Build the first packet of a flow."""
    flow = build_flow(port, address)
    return affinity.Packet(
        flow, 0, 100, copy, 0, True, False, _WORDS[0] + flow
    )


def build_packet(port, token, sequence=101, acknowledged=501, length=0):
    """Build a later packet of a flow."""
    flow = build_flow(port)
    return affinity.Packet(
        flow,
        token,
        sequence,
        acknowledged,
        length,
        False,
        False,
        _WORDS[1] + flow + sequence.to_bytes(4, 'big'),
    )


def build_core(*upstreams, settings=None, routes=None):
    """Build a core that knows some upstreams."""
    core = affinity.AffinityCore(ZONE, settings or affinity.AffinitySettings())
    core.set_routes(0.0, routes or build_routes())
    core.set_upstreams(0.0, upstreams)
    core.note_confirmed(0.0)
    return core


def get_flow(data):
    """Return the key of the flow of a packet's data."""
    begin = len(_WORDS[0])
    return data[begin : begin + _FLOW_BYTES]


def list_forwards(effects):
    """List the upstreams that packets are sent to."""
    return [
        each.upstream.name
        for each in effects
        if isinstance(each, affinity.Forward)
    ]


def list_resets(effects):
    """List the flows that are reset."""
    return [each.flow for each in effects if isinstance(each, affinity.Reset)]


def list_queried(effects):
    """List the upstreams that peers are queried about."""
    return [
        each.upstream.name
        for each in effects
        if isinstance(each, affinity.QueryPeers)
    ]


def list_probes(effects):
    """List the upstreams that are probed."""
    return [
        each.upstream.name
        for each in effects
        if isinstance(each, affinity.Probe)
    ]
