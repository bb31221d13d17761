"""Mutual TLS between instances."""

from __future__ import annotations

import ssl
from typing import NamedTuple

from skylarkfold import errors


class TlsContexts(NamedTuple):
    """The two ends of a peer's stream.

    :param server: for accepted streams; the peer must have a certificate.
    :param client: for opened streams.
    """

    server: ssl.SSLContext
    client: ssl.SSLContext


def make_tls_contexts(
    certificate: str, key: str, authority: str
) -> TlsContexts:
    """Read the certificates that peers prove themselves with.

    Names are checked against the greeting by the receiver, not against
    host names: peers are reached by IP numbers.

    :param certificate: the path of this instance's certificate.
    :param key: the path of its private key.
    :param authority: the path of the authority that signed all peers'.
    :returns: the contexts of both ends.
    :raises SettingsError: if a file can't be read or used.
    """
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    for context in (server, client):
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        try:
            context.load_cert_chain(certificate, key)
            context.load_verify_locations(authority)
        except (OSError, ssl.SSLError) as error:
            raise errors.SettingsError(
                str(error), certificate, '$.peers.tls'
            ) from error
    return TlsContexts(server, client)
