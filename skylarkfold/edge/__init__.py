"""Network sockets of an instance; the cores make all decisions."""

from skylarkfold.edge._admin import InstanceStatus
from skylarkfold.edge._admin import listen as listen_admin
from skylarkfold.edge._admin import MemberStatus
from skylarkfold.edge._datagram import DatagramListener
from skylarkfold.edge._datagram import UpstreamSocket
from skylarkfold.edge._listeners import Listeners
from skylarkfold.edge._peer import PeerStreams
from skylarkfold.edge._platform import PlatformCallRunner
from skylarkfold.edge._platform import PlatformClient
from skylarkfold.edge._probe import Prober
from skylarkfold.edge._requests import RequestServer
from skylarkfold.edge._runtime import Runtime
from skylarkfold.edge._settings import EdgeSettings
from skylarkfold.edge._stream import StreamRelay
from skylarkfold.edge._tls import make_tls_contexts
from skylarkfold.edge._upstream_client import UpstreamClient

__all__ = [
    'DatagramListener',
    'EdgeSettings',
    'InstanceStatus',
    'Listeners',
    'MemberStatus',
    'PeerStreams',
    'PlatformCallRunner',
    'PlatformClient',
    'Prober',
    'RequestServer',
    'Runtime',
    'StreamRelay',
    'UpstreamClient',
    'UpstreamSocket',
    'listen_admin',
    'make_tls_contexts',
]
