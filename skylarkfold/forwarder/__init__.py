"""The daemon of an instance that forwards packets carrying tokens.

It passes input from sockets, timers and signals to the cores in ``affinity``
and ``relay``, and performs the effects that they return. A
:class:`Platform` translates the platform's packets and stored objects.
"""

from skylarkfold.forwarder._daemon import Forwarder
from skylarkfold.forwarder._platform import Platform
from skylarkfold.forwarder._platform import Store
from skylarkfold.forwarder._settings import apply_machine_settings
from skylarkfold.forwarder._settings import ForwarderSettings
from skylarkfold.forwarder._settings import parse_forwarder_settings
from skylarkfold.forwarder._settings import read_forwarder_settings

__all__ = [
    'Forwarder',
    'ForwarderSettings',
    'Platform',
    'Store',
    'apply_machine_settings',
    'parse_forwarder_settings',
    'read_forwarder_settings',
]
