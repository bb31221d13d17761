"""Exceptions with stable error codes.

Every error that operators or programs may see has a code, which is
documented in ``docs/operators/errors.md`` and never changes its meaning.
"""

from __future__ import annotations


class SkylarkfoldError(Exception):
    """The base class of all exceptions of this package.

    :param reason: a one-sentence description of the error.
    """

    code = 'internal'

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason

    def __str__(self) -> str:
        return f'{self.code}: {self.reason}'


class SettingsError(SkylarkfoldError):
    """An error in a settings file or stored settings object.

    :param reason: a description of the error.
    :param source: the path of the file or stored object.
    :param path: the location of the error, for example
        ``$.services.archebu.port``.
    """

    code = 'settings-invalid'

    def __init__(self, reason: str, source: str = '', path: str = '$') -> None:
        super().__init__(reason)
        self.source = source
        self.path = path

    def __str__(self) -> str:
        return f'{self.source}: {self.path}: {self.code}: {self.reason}'


class DecodeError(SkylarkfoldError):
    """Malformed data from a peer, a caller, an upstream or the store."""

    code = 'message-malformed'


class PlatformError(SkylarkfoldError):
    """A call to which the platform gave no answer or a failure."""

    code = 'platform-unavailable'


class ConflictError(SkylarkfoldError):
    """A conditional write that conflicted with another writer."""

    code = 'write-conflict'


class ClaimError(SkylarkfoldError):
    """A claim of a name or address that another team already holds."""

    code = 'claim-held'


class AddressInUseError(SkylarkfoldError):
    """A socket could not be bound to its address."""

    code = 'address-in-use'


class SettingsUnreadableError(SettingsError):
    """A settings file that can't be read or is not valid text."""

    code = 'settings-unreadable'


class SettingsSyntaxError(SettingsError):
    """Settings that are not valid JSON with comments."""

    code = 'settings-syntax'


class SettingsTooLargeError(SettingsError):
    """Settings that are too long or too deeply nested."""

    code = 'settings-too-large'


class UnknownFieldError(SettingsError):
    """An unknown settings field, usually a misspelt one."""

    code = 'settings-unknown-field'


class MissingFieldError(SettingsError):
    """A required field that is missing."""

    code = 'settings-missing-field'


class DuplicateError(SettingsError):
    """A key, an address or a name that occurs twice."""

    code = 'settings-duplicate'


class PromiseError(SkylarkfoldError):
    """A run that broke one of the promised properties."""

    code = 'promise-broken'


class UsageError(SkylarkfoldError):
    """A command call with missing or invalid arguments."""

    code = 'usage'


class RightError(SkylarkfoldError):
    """An operator's attempt to change the subtree of another team."""

    code = 'right-missing'


class OutcomeUnknownError(PlatformError):
    """A write that may or may not have taken effect."""

    code = 'write-unknown'
