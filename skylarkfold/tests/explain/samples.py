"""Log lines for tests."""

import json


def write(time, instance, message, **fields):
    """Write a log line as an instance does."""
    line = {
        'time': time,
        'level': 'info',
        'instance': instance,
        'message': message,
        **fields,
    }
    return json.dumps(line, separators=(',', ':'))
