"""Parts of large libraries, imported without the rest of the library.

Callers wait for instances to start after a restart of the whole deployment,
so startup time matters. Of ``socket``, ``signal``, ``json`` and
``httptools`` an instance needs only their C extensions, but importing them
also loads ``enum``, ``re``, ``selectors`` and ``typing``: 53 of the 169
million instructions of all imports. Modules that run before an instance is
ready import those extensions from here; only this module depends on the
libraries' internals. Modules that are needed later are imported where they
are used.
"""

from __future__ import annotations

from collections.abc import Callable

import _datetime
import _json
import _signal
import _socket
import sys
import types

# Type checkers assume that it is true.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol
else:
    # Protocols are not checked at run time.
    Protocol = object

# Plain integers; ``socket`` wraps them in enumerations.
AF_INET = _socket.AF_INET
IPPROTO_TCP = _socket.IPPROTO_TCP
SO_ERROR = _socket.SO_ERROR
SO_RCVBUF = _socket.SO_RCVBUF
SO_REUSEADDR = _socket.SO_REUSEADDR
SOCK_DGRAM = _socket.SOCK_DGRAM
SOCK_STREAM = _socket.SOCK_STREAM
SOL_SOCKET = _socket.SOL_SOCKET
TCP_NODELAY = _socket.TCP_NODELAY

Socket = _socket.socket
socketpair = _socket.socketpair
inet_aton = _socket.inet_aton
inet_ntoa = _socket.inet_ntoa
inet_pton = _socket.inet_pton

# Likewise for ``signal``.
SIG_IGN = _signal.SIG_IGN
SIGHUP = _signal.SIGHUP
SIGINT = _signal.SIGINT
SIGTERM = _signal.SIGTERM
set_signal_handler = _signal.signal
set_wakeup_fd = _signal.set_wakeup_fd

_WHITESPACE = ' \t\n\r'


def accept(listener: Socket) -> Socket:
    """Accept a connection.

    :param listener: a non-blocking TCP socket that listens.
    :returns: the connection; the caller sets whether it blocks.
    :raises OSError: if no connection is waiting.
    """
    descriptor, _ = listener._accept()
    return Socket(AF_INET, SOCK_STREAM, 0, descriptor)


class _ScannerOptions:
    """The options of ``json.JSONDecoder``, at their defaults."""

    strict = True
    object_hook = None
    object_pairs_hook = None
    parse_float = float
    parse_int = int
    parse_constant = float


_scan = _json.make_scanner(_ScannerOptions)


def _keep_first(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Build an object; of members with the same name, the first counts."""
    members: dict[str, object] = {}
    for name, value in pairs:
        members.setdefault(name, value)
    return members


def _parse_integer(digits: str) -> int | None:
    """Parse an integer; return None if ``int`` refuses its length."""
    try:
        return int(digits)
    except ValueError:
        return None


class _LenientOptions(_ScannerOptions):
    """Accepts control characters in strings."""

    strict = False


class _UntrustedOptions(_LenientOptions):
    """Also accepts integers of any length, and ignores repeated members."""

    object_pairs_hook = staticmethod(_keep_first)
    parse_int = staticmethod(_parse_integer)


_scan_lenient = _json.make_scanner(_LenientOptions)
_scan_untrusted = _json.make_scanner(_UntrustedOptions)


def parse_json(data: str | bytes) -> object:
    """Parse JSON with the same results as ``json.loads``.

    :param data: the JSON document, as text or bytes.
    :returns: the parsed value.
    :raises ValueError: if the document is not valid JSON.
    :raises RecursionError: if it is nested too deeply.
    """
    try:
        text = data if isinstance(data, str) else data.decode()
        text = text.strip(_WHITESPACE)
        value, end = _scan(text, 0)
        if end == len(text):
            return value
    except (StopIteration, SystemError, ValueError):
        # Let the library parse unusual input and report errors: the C
        # scanner raises SystemError while ``json`` is not loaded.
        pass
    import json

    return json.loads(data)


def parse_lenient_json(text: str) -> object:
    """Parse JSON that may have control characters in strings.

    :param text: the JSON document.
    :returns: the parsed value.
    :raises ValueError: if the document is not valid JSON.
    :raises RecursionError: if it is nested too deeply.
    """
    text = text.strip(_WHITESPACE)
    value, end = _scan_at(_scan_lenient, text, 0)
    if end != len(text):
        raise ValueError('extra data after the JSON document')
    return value


def scan_json(text: str, position: int) -> tuple[object, int]:
    """Parse the JSON value at a position of a text.

    Strings may have control characters. An integer that is too long for
    ``int`` becomes null.

    :param text: a text that contains the value.
    :param position: where the value begins.
    :returns: the value and the position after it.
    :raises ValueError: if no valid value begins there.
    :raises RecursionError: if it is nested too deeply.
    """
    try:
        return _scan_at(_scan_lenient, text, position)
    except ValueError:
        return _scan_at(_scan_untrusted, text, position)


def scan_untrusted_json(text: str, position: int) -> tuple[object, int]:
    """Parse a value like :func:`scan_json`, ignoring repeated members.

    Of members with the same name, the first counts instead of the last.

    :param text: a text that contains the value.
    :param position: where the value begins.
    :returns: the value and the position after it.
    :raises ValueError: if no valid value begins there.
    :raises RecursionError: if it is nested too deeply.
    """
    return _scan_at(_scan_untrusted, text, position)


def _scan_at(
    scan: Callable[[str, int], tuple[object, int]], text: str, position: int
) -> tuple[object, int]:
    try:
        return scan(text, position)
    except StopIteration:
        raise ValueError('no JSON value') from None
    except SystemError:
        # The C scanner can't report an error while ``json`` is not loaded.
        raise ValueError('invalid JSON value') from None


def _load_http_parser() -> types.ModuleType:
    """Load the parser of ``httptools`` without importing ``typing``.

    ``httptools`` uses ``typing`` only for a protocol class and annotations;
    importing it would take a tenth of the startup time.
    """
    if 'typing' in sys.modules:
        import httptools

        return httptools
    search_path = None
    package_names = ('httptools', 'httptools.parser')
    for name in package_names:
        search_path = _find_package_path(name, search_path)
        sys.modules[name] = types.ModuleType(name)
        sys.modules[name].__path__ = search_path
    sys.modules['typing'] = types.SimpleNamespace(Optional=None)
    try:
        from httptools.parser import parser
    finally:
        # Later imports load the complete modules.
        for name in (*package_names, 'typing'):
            del sys.modules[name]
    return parser


def _find_package_path(name: str, parent_path: list[str] | None) -> list[str]:
    """Find the search path for the modules of a package.

    :param name: the package.
    :param parent_path: the search path of its parent package; None for a
        top-level package.
    :returns: the folders to search.
    :raises ModuleNotFoundError: if there is no such package.
    """
    for finder in sys.meta_path:
        spec = finder.find_spec(name, parent_path)
        if spec is not None:
            return spec.submodule_search_locations
    raise ModuleNotFoundError(f'no module named {name}', name=name)


http_parser = _load_http_parser()


def _load_msgpack() -> types.ModuleType:
    """Load ``msgpack`` with ``_datetime`` in place of ``datetime``.

    ``datetime`` defines its classes in Python before it replaces them by
    those of ``_datetime``; ``msgpack`` needs only the latter.
    """
    if 'datetime' in sys.modules:
        import msgpack

        return msgpack
    sys.modules['datetime'] = _datetime
    try:
        import msgpack
    finally:
        # Later imports load the complete module.
        del sys.modules['datetime']
    return msgpack


msgpack = _load_msgpack()
