"""The I/O components of one instance."""

from __future__ import annotations

import dataclasses

from skylarkfold import _cores
from skylarkfold import edge
from skylarkfold import settings as settings_module


@dataclasses.dataclass(frozen=True, slots=True)
class Sockets:
    """All components that do I/O for one instance.

    :param runtime: the clock, counters and tasks that the others share.
    :param upstream_socket: sends and receives upstreams' datagrams.
    :param streams: relays callers' TCP streams.
    :param requests: receives callers' requests and sends the answers.
    :param attempts: sends requests to upstreams.
    :param prober: polls the health and load of upstreams.
    :param platform: the client of the platform's object API.
    :param caller: performs the node's calls to the platform.
    :param listeners: the sockets that accept callers' traffic.
    :param peers: the streams to and from other instances.
    """

    runtime: edge.Runtime
    upstream_socket: edge.UpstreamSocket
    streams: edge.StreamRelay
    requests: edge.RequestServer
    attempts: edge.UpstreamClient
    prober: edge.Prober
    platform: edge.PlatformClient
    caller: edge.PlatformCallRunner
    listeners: edge.Listeners
    peers: edge.PeerStreams


def build_sockets(
    settings: settings_module.EntrySettings,
    runtime: edge.Runtime,
    cores: _cores.Cores,
) -> Sockets:
    """Build all I/O components of an instance without opening them.

    :param settings: the instance's settings.
    :param runtime: the state that the components share.
    :param cores: the instance's cores.
    :returns: the components.
    :raises SettingsError: if its certificates are invalid.
    """
    upstream_socket = edge.UpstreamSocket(runtime)
    streams = edge.StreamRelay(runtime, settings.edge)
    requests = edge.RequestServer(runtime, settings.edge)
    platform = edge.PlatformClient(
        settings.platform.url, settings.platform.token
    )
    listeners = edge.Listeners(
        runtime,
        settings.instance.bind_host,
        cores.flows,
        upstream_socket,
        streams,
        requests,
    )
    return Sockets(
        runtime=runtime,
        upstream_socket=upstream_socket,
        streams=streams,
        requests=requests,
        attempts=edge.UpstreamClient(runtime, settings.edge),
        prober=edge.Prober(runtime, settings.edge),
        platform=platform,
        caller=edge.PlatformCallRunner(runtime, platform),
        listeners=listeners,
        peers=_build_peers(settings, runtime, cores),
    )


def _build_peers(
    settings: settings_module.EntrySettings,
    runtime: edge.Runtime,
    cores: _cores.Cores,
) -> edge.PeerStreams:
    tls = settings.peers.tls
    contexts = (None, None)
    if tls is not None:
        contexts = edge.make_tls_contexts(
            tls.certificate, tls.key, tls.authority
        )
    return edge.PeerStreams(
        runtime,
        settings.edge,
        settings.instance.name,
        _cores.MESSAGES,
        cores.membership.resolve,
        *contexts,
    )
