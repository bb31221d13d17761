"""Mutual TLS between instances."""

from __future__ import annotations

import ssl
from typing import NamedTuple

from skylarkfold import errors


class TlsContexts(NamedTuple):
    """TLS contexts for streams between instances.

    :param server: for accepted streams; requires the peer's certificate.
    :param client: for opened streams.
    """

    server: ssl.SSLContext
    client: ssl.SSLContext


def make_tls_contexts(
    certificate: str, key: str, authority: str
) -> TlsContexts:
    """Create the TLS contexts from certificate files.

    The receiver checks the certificate against the name in the greeting.
    There is no host name check, since peers connect by IP address.

    :param certificate: the path of this instance's certificate.
    :param key: the path of its private key.
    :param authority: the path of the CA certificate that signed the
        certificates of all peers.
    :returns: the contexts for accepted and for opened streams.
    :raises SettingsError: if a file can't be read or is invalid.
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
