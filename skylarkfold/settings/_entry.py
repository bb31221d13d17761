"""Settings of one instance."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import logging
import pathlib

from skylarkfold import distribution as distribution_package
from skylarkfold import edge as edge_package
from skylarkfold import endpoint
from skylarkfold import errors
from skylarkfold import files
from skylarkfold import flows as flows_package
from skylarkfold import instance as instance_module
from skylarkfold import log as log_module
from skylarkfold import membership as membership_package
from skylarkfold import requests as requests_package
from skylarkfold.settings import _conversion
from skylarkfold.settings import _document
from skylarkfold.settings import _validation
from skylarkfold import store as store_package


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Access to the platform's object API.

    :param url: the base URL, ``http`` or ``https``.
    :param token: the bearer token; empty for none.
    """

    url: str
    token: str = ''

    def __post_init__(self) -> None:
        if not self.url.startswith(('http://', 'https://')):
            raise ValueError('url must begin with http:// or https://')


@dataclasses.dataclass(frozen=True, slots=True)
class TlsSettings:
    """PEM files for mutual TLS between instances.

    :param certificate: this instance's certificate; its DNS names must
        include the instance's name.
    :param key: its private key.
    :param authority: the CA certificate that signed all peers'
        certificates.
    """

    certificate: str
    key: str
    authority: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Settings of the streams between instances.

    :param tls: None for unauthenticated streams, for tests only.
    """

    tls: TlsSettings | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """All settings of one instance.

    :param instance: the instance's identity and addresses.
    :param platform: access to the platform's object API.
    :param admin_address: the address that serves ``/ready`` and
        ``/status``; None for no such server.
    :param statsd: the address of the StatsD server; None for none.
    :param peers: streams between instances.
    :param log: logging.
    :param edge: sockets, deadlines and body sizes.
    :param flows: routing of flows to upstreams.
    :param requests: retries, deadlines, queues and upstream selection.
    :param membership: heartbeats and seeds.
    :param distribution: distribution of objects to this instance.
    :param store: calls to the platform's store.
    """

    instance: instance_module.InstanceSettings
    platform: PlatformSettings
    admin_address: endpoint.Endpoint | None = None
    statsd: endpoint.Endpoint | None = None
    peers: PeerSettings = PeerSettings()
    log: log_module.LogSettings = log_module.LogSettings()
    edge: edge_package.EdgeSettings = edge_package.EdgeSettings()
    flows: flows_package.FlowSettings = flows_package.FlowSettings()
    requests: requests_package.RequestSettings = (
        requests_package.RequestSettings()
    )
    membership: membership_package.MembershipSettings = (
        membership_package.MembershipSettings()
    )
    distribution: distribution_package.DistributionSettings = (
        distribution_package.DistributionSettings()
    )
    store: store_package.StoreSettings = store_package.StoreSettings()


def read_entry_settings(path: str | pathlib.Path) -> EntrySettings:
    """Read an instance's settings file.

    :param path: the file, in JSON with comments.
    :returns: the settings.
    :raises SettingsError: with the path and the reason, if the file can't
        be read or is invalid; its subclasses tell why.
    """
    source = str(path)
    return parse_entry_settings(files.read_bytes(path), source)


def parse_entry_settings(text: str | bytes, source: str) -> EntrySettings:
    """Parse an instance's settings.

    :param text: JSON with comments, or its bytes in UTF-8.
    :param source: the text's file, for error messages.
    :returns: the settings.
    :raises SettingsError: as :func:`read_entry_settings` does.
    """
    value = _document.parse_document(text, source)
    entry = _conversion.convert_section(value, EntrySettings, source)
    for path, check, text in _list_checks(entry):
        try:
            check(text)
        except ValueError as error:
            raise errors.SettingsError(str(error), source, path) from None
    return entry


def _list_checks(
    entry: EntrySettings,
) -> Iterator[tuple[str, Callable[[str], object], str]]:
    for field in ('name', 'zone', 'region'):
        text = getattr(entry.instance, field)
        yield f'$.instance.{field}', _validation.check_name, text
    for number, seed in enumerate(entry.membership.seeds):
        seed_path = f'$.membership.seeds[{number}]'
        yield seed_path, endpoint.parse_endpoint, seed
    yield '$.log.level', _check_log_level, entry.log.level


def _check_log_level(level: str) -> None:
    known = logging.getLevelNamesMapping()
    if level not in known:
        raise ValueError(f'{level!a} is not one of {", ".join(sorted(known))}')
