"""The sockets of one instance."""

from __future__ import annotations

import dataclasses

from skylarkfold import _cores
from skylarkfold import edge
from skylarkfold import settings as settings_module


@dataclasses.dataclass(frozen=True, slots=True)
class Sockets:
    """All components that do I/O for one instance.

    :param runtime: what the others share.
    :param upstream_socket: datagrams to and from upstreams.
    :param streams: relayed streams.
    :param requests: callers' requests.
    :param attempts: exchanges with upstreams.
    :param prober: polls of upstreams.
    :param platform: the platform's object API.
    :param caller: calls of the node to the platform.
    :param listeners: the sockets towards callers.
    :param peers: streams from and to other instances.
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
    """Make all sockets of an instance; none is open yet.

    :param settings: the instance's settings.
    :param runtime: what they share.
    :param cores: the instance's cores.
    :returns: the sockets.
    :raises SettingsError: if its certificates can't be used.
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
