"""The daemon of instances that forward packets with tokens.

It feeds the decisions of ``affinity`` and ``relay`` from sockets, timers
and signals, and performs their effects. Which bytes a platform's packets,
objects and settings have is the matter of a :class:`Platform`.
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
