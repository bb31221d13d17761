"""Parts of large libraries, without importing the rest.

After a restart of everything callers wait for each millisecond of
processor time that an instance takes until it is ready. ``socket``,
``signal``, ``json`` and ``httptools`` are loaded for little that is written
in C, and bring ``enum``, ``re``, ``selectors`` and ``typing`` with them: 53
of the 169 million instructions of all imports. What an instance needs until
it is ready comes from here in their place; this is the one module that
knows how they are made up inside. What is needed only later is imported
where it is used, and loaded then.
"""

from __future__ import annotations

import _datetime
import _json
import _signal
import _socket
import sys
import types

# Type checkers take it for true.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol
else:
    # Nothing here asks at run time whether an object fits.
    Protocol = object

# What ``socket`` names as members of enumerations, as bare numbers.
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

# The same of ``signal``.
SIGHUP = _signal.SIGHUP
SIGINT = _signal.SIGINT
SIGTERM = _signal.SIGTERM
set_signal_handler = _signal.signal
set_wakeup_fd = _signal.set_wakeup_fd

_BLANKS = ' \t\n\r'


def accept(listener: Socket) -> Socket:
    """Accept a connection.

    :param listener: a TCP socket that listens and never blocks.
    :returns: the connection; whether it blocks is to be set.
    :raises OSError: if there is none.
    """
    number, _ = listener._accept()
    return Socket(AF_INET, SOCK_STREAM, 0, number)


class _Scanning:
    """How the standard library's scanner is to read JSON: as it does."""

    strict = True
    object_hook = None
    object_pairs_hook = None
    parse_float = float
    parse_int = int
    parse_constant = float


_scan = _json.make_scanner(_Scanning)


def parse_json(data: str | bytes) -> object:
    """Read JSON, as ``json.loads`` does.

    :param data: a text or its bytes.
    :returns: what it holds.
    :raises ValueError: if it is no JSON.
    :raises RecursionError: if it is nested too deeply.
    """
    try:
        text = data if isinstance(data, str) else data.decode()
        text = text.strip(_BLANKS)
        value, end = _scan(text, 0)
        if end == len(text):
            return value
    except (StopIteration, SystemError, ValueError):
        # What is odd is for the library itself to read or to complain of;
        # while that is not loaded, the scanner fails without saying how.
        pass
    import json

    return json.loads(data)


def _load_http() -> types.ModuleType:
    """Load the parser of ``httptools`` without what only describes it.

    Its packages import ``typing`` for a class that describes callbacks, the
    parser itself for annotations: a tenth of a start, for nothing.
    """
    if 'typing' in sys.modules:
        import httptools

        return httptools
    found = None
    packages = ('httptools', 'httptools.parser')
    for name in packages:
        found = _find_package(name, found)
        sys.modules[name] = types.ModuleType(name)
        sys.modules[name].__path__ = found
    sys.modules['typing'] = types.SimpleNamespace(Optional=None)
    try:
        from httptools.parser import parser
    finally:
        # Whoever imports these later gets all of them.
        for name in (*packages, 'typing'):
            del sys.modules[name]
    return parser


def _find_package(name: str, inside: list[str] | None) -> list[str]:
    """Find where a package's modules are.

    :param name: the package.
    :param inside: where the modules of the one around it are.
    :returns: the places.
    :raises ModuleNotFoundError: if it is not there.
    """
    for finder in sys.meta_path:
        spec = finder.find_spec(name, inside)
        if spec is not None:
            return spec.submodule_search_locations
    raise ModuleNotFoundError(f'no module named {name}', name=name)


http_parser = _load_http()


def _load_msgpack() -> types.ModuleType:
    """Load ``msgpack`` without all of ``datetime``.

    That defines its classes in Python and then takes those written in C,
    which are all that is asked of it here.
    """
    if 'datetime' in sys.modules:
        import msgpack

        return msgpack
    sys.modules['datetime'] = _datetime
    try:
        import msgpack
    finally:
        # Whoever imports it later gets all of it.
        del sys.modules['datetime']
    return msgpack


msgpack = _load_msgpack()
