"""Stand-ins for a platform whose packets carry tokens.

A store of objects, upstreams, callers and the fabric between callers and
instances, all on loopback and on one event loop, for tests and the soak.
They know the platform's names, as the adapter does, and are written apart
from it, so that an error of one is not hidden by the other.
"""

from skylarkfold.standin.packets._caller import ANSWERED
from skylarkfold.standin.packets._caller import Caller
from skylarkfold.standin.packets._caller import Exchange
from skylarkfold.standin.packets._caller import Flow
from skylarkfold.standin.packets._fabric import Fabric
from skylarkfold.standin.packets._objects import ObjectStore
from skylarkfold.standin.packets._objects import StoreCopy
from skylarkfold.standin.packets._relay import FaultyRelay
from skylarkfold.standin.packets._server import StoreServer
from skylarkfold.standin.packets._settings import build_fields
from skylarkfold.standin.packets._settings import SHARES_TERM
from skylarkfold.standin.packets._settings import write_settings
from skylarkfold.standin.packets._template import fill
from skylarkfold.standin.packets._upstream import Upstream

__all__ = [
    'ANSWERED',
    'SHARES_TERM',
    'Caller',
    'Exchange',
    'Fabric',
    'FaultyRelay',
    'Flow',
    'ObjectStore',
    'StoreCopy',
    'StoreServer',
    'Upstream',
    'build_fields',
    'fill',
    'write_settings',
]
