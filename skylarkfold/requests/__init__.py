"""Request handling: admission, dispatch, retries and idempotency keys."""

from skylarkfold.requests._answers import ErrorCode
from skylarkfold.requests._core import RequestCore
from skylarkfold.requests._messages import MESSAGES
from skylarkfold.requests._settings import RequestSettings

__all__ = ['ErrorCode', 'MESSAGES', 'RequestCore', 'RequestSettings']
