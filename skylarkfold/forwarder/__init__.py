"""The daemon of instances that forward packets with tokens.

It feeds the decisions of ``affinity`` and ``relay`` from sockets, timers
and signals, and performs their effects. Which bytes a platform's packets,
objects and settings have is the matter of a :class:`Platform`.
"""

from skylarkfold.forwarder._daemon import Forwarder
from skylarkfold.forwarder._own import OwnSettings
from skylarkfold.forwarder._own import parse_own_settings
from skylarkfold.forwarder._own import read_own_settings
from skylarkfold.forwarder._own import take_machine
from skylarkfold.forwarder._platform import Platform
from skylarkfold.forwarder._platform import Store

__all__ = [
    'Forwarder',
    'OwnSettings',
    'Platform',
    'Store',
    'parse_own_settings',
    'read_own_settings',
    'take_machine',
]
