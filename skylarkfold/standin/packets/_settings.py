"""The settings file that the platform gives a process."""

from __future__ import annotations

from collections.abc import Iterable
import pathlib

from skylarkfold.standin.packets import _template

# The term that asks for callers' shares.
SHARES_TERM = 'pressure'
# The repository's template, which the platform fills in as well.
TEMPLATE_PATH = pathlib.Path('deploy') / 'settings.template'
_ROOT = pathlib.Path(__file__).parent.parent.parent.parent


def write_settings(
    path: pathlib.Path,
    name: str,
    zone: str,
    host: str,
    base_port: int,
    seeds: list[str],
    store: tuple[str, int],
    zones: Iterable[str] = (),
    terms: Iterable[str] = (),
) -> None:
    """Write an instance's settings file.

    :param path: the file.
    :param name: the instance's name.
    :param zone: its availability zone.
    :param host: its address.
    :param base_port: the first of ten ports that all instances use.
    :param seeds: hosts of other instances.
    :param store: the store's address.
    :param zones: all availability zones.
    :param terms: the terms in force, by the platform's names.
    """
    fields = build_fields(name, zone, host, base_port, seeds, store, zones)
    if terms:
        fields['contracts'] = list(terms)
    template = (_ROOT / TEMPLATE_PATH).read_text()
    path.write_text(_template.fill(template, fields))


def build_fields(
    name: str,
    zone: str,
    host: str,
    base_port: int,
    seeds: list[str],
    store: tuple[str, int],
    zones: Iterable[str] = (),
) -> dict[str, object]:
    """Build what the platform fills a template from.

    Parameters are those of :func:`write_settings`.

    :returns: the fields under the platform's names.
    """
    return {
        'node_name': name,
        'role': 'forwarder',
        'machine_class': 'edge',
        'ip': host,
        'zone': zone,
        'region': 'loopback',
        'internal_ports': [base_port + 3, base_port + 8],
        'seeds': [f'{each}:{base_port + 2}' for each in seeds],
        'listen_addrs': {
            'datagram_addr': f'{host}:{base_port}',
            'ready_addr': f'{host}:{base_port + 1}',
            'control_addr': f'{host}:{base_port + 2}',
        },
        'limits': {'cpu_share': 1.0, 'cores': 1, 'link_mbps': 1000.0},
        'zones': dict.fromkeys(zones, 'loopback'),
        'bounds': {'grace_s': 6, 'max_flow_s': 60, 'evacuate_ms': 5000},
        'platform': {'address': f'{store[0]}:{store[1]}'},
    }
