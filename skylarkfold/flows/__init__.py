"""Assignment of datagram flows and TCP streams to upstreams."""

from __future__ import annotations

from skylarkfold.flows._core import FlowCore
from skylarkfold.flows._messages import MESSAGES
from skylarkfold.flows._settings import FlowSettings

__all__ = ['MESSAGES', 'FlowCore', 'FlowSettings']
