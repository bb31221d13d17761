"""Builder of log lines for tests of explain."""

import json


def build_line(time, instance, message, **fields):
    """Return a log line as an instance writes it."""
    line = {
        'time': time,
        'level': 'info',
        'instance': instance,
        'message': message,
        **fields,
    }
    return json.dumps(line, separators=(',', ':'))
