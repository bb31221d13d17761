"""Sample values for the tests of requests."""

from skylarkfold import configuration
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import instance
from skylarkfold import request
from skylarkfold import requests
from skylarkfold import service
from skylarkfold import verdict

SERVICE = 'press-desk'


def make_instance(name='entry-1', zone='hall-a'):
    return instance.InstanceSettings(
        name=name,
        zone=zone,
        region='sierra-norte',
        peer_address=endpoint.Endpoint('127.0.0.1', 1),
    )


def make_upstream(name, **options):
    return service.Upstream(
        name=name,
        address=endpoint.Endpoint('127.0.0.1', 2),
        zone='hall-a',
        request_port=3,
        **options,
    )


def make_configuration(*upstreams, revision=1):
    made = service.Service(
        name=SERVICE,
        team='desk',
        address=endpoint.Endpoint('127.0.0.1', 4),
        upstreams=upstreams,
    )
    return configuration.Configuration(revision, {SERVICE: made})


def make_request(number, **options):
    chosen = {
        'service': SERVICE,
        'method': 'POST',
        'target': '/tonnage',
        'headers': (),
        'body': b'12 kN',
        'key': '',
        'idempotent': False,
        'priority': request.Priority.EXCHANGE,
        'timeout_seconds': 5.0,
    }
    return request.Request(number=number, **(chosen | options))


def make_core(*upstreams, name='entry-1', seed=1, **options):
    settings = requests.RequestSettings(**options)
    core = requests.RequestCore(make_instance(name), settings, seed)
    chosen = upstreams or (make_upstream('u-1'), make_upstream('u-2'))
    changed = event.ConfigurationChanged(make_configuration(*chosen))
    core.handle(0.0, changed)
    return core


def make_answer(body=b'done', **options):
    return request.Answer(verdict.Verdict.RAN, 200, body=body, **options)


def select(effects, kind):
    return [each for each in effects if isinstance(each, kind)]


def list_dispatches(effects):
    return select(effects, effect.DispatchAttempt)


def list_answers(effects):
    return select(effects, effect.SendAnswer)
