"""Machine settings for tests."""

from skylarkfold import machine


def build_settings(name='n', zone='z', **limits):
    """Build settings for an instance that opens no sockets.

    :param name: the instance's name.
    :param zone: its availability zone.
    :param limits: settings that differ from the defaults.
    :returns: the settings.
    """
    return machine.MachineSettings(
        name=name,
        zone=zone,
        packet_address=('127.0.0.1', 1),
        ready_address=('127.0.0.1', 2),
        peer_address=('127.0.0.1', 3),
        seeds=(),
        store_address=('127.0.0.1', 4),
        cores=1.0,
        link_mbps=100.0,
        grace_seconds=6.0,
        flow_seconds=60.0,
        **limits,
    )
