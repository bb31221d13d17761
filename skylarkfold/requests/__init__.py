"""Requests: admission, dispatch, retries and a verdict that is true."""

from skylarkfold.requests._answers import ErrorCode
from skylarkfold.requests._core import RequestCore
from skylarkfold.requests._messages import MESSAGES
from skylarkfold.requests._settings import RequestSettings

__all__ = ['ErrorCode', 'MESSAGES', 'RequestCore', 'RequestSettings']
