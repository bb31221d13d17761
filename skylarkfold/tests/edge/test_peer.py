"""Tests of message streams between instances over real sockets."""

import asyncio
import datetime
import ipaddress
import pathlib
import tempfile

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid
import testtools

from skylarkfold import codec
from skylarkfold import edge
from skylarkfold.edge import _peer
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import message
from skylarkfold import metric
from skylarkfold.tests.edge import fixture


class TextMessage(message.PeerMessage, tag=1):
    text: str


class CertificateAuthority:
    """Certificate authority that writes PEM files into a directory."""

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name(
            [x509.NameAttribute(oid.NameOID.COMMON_NAME, 'authority')]
        )
        self.path = self.write('authority', self.sign('authority', self.key))

    def sign(self, name, key):
        now = datetime.datetime.now(datetime.timezone.utc)
        subject = x509.Name(
            [x509.NameAttribute(oid.NameOID.COMMON_NAME, name)]
        )
        alternatives = [
            x509.DNSName(name),
            x509.IPAddress(ipaddress.ip_address(fixture.HOST)),
        ]
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(
                x509.BasicConstraints(name == 'authority', None), True
            )
            .add_extension(x509.SubjectAlternativeName(alternatives), False)
        )
        certificate = builder.sign(self.key, hashes.SHA256())
        return certificate.public_bytes(serialization.Encoding.PEM)

    def write(self, name, data):
        path = self.directory / f'{name}.pem'
        path.write_bytes(data)
        return str(path)

    def make_contexts(self, name):
        key = ec.generate_private_key(ec.SECP256R1())
        encoded = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        return edge.make_tls_contexts(
            self.write(name, self.sign(name, key)),
            self.write(f'{name}-key', encoded),
            self.path,
        )


class Instance:
    """The peer streams of one instance, with recorded events."""

    def __init__(self, name, addresses, contexts=(None, None), **settings):
        self.recorder = fixture.EventRecorder()
        self.runtime = fixture.make_runtime(self.recorder, name)
        self.address = endpoint.Endpoint(fixture.HOST, fixture.find_port())
        addresses[name] = self.address
        self.streams = edge.PeerStreams(
            self.runtime,
            edge.EdgeSettings(**settings),
            name,
            TextMessage,
            addresses.get,
            *contexts,
        )

    def send(self, peer, text):
        self.streams.send(effect.SendToPeer(peer, TextMessage(text)))

    def count(self, name):
        return self.runtime.counters.totals[name]


class PeerTest(testtools.TestCase):
    def test_messages_arrive_in_order_under_the_sender_s_name(self):
        async def check():
            addresses = {}
            a, b = Instance('a', addresses), Instance('b', addresses)
            await b.streams.listen(b.address)
            for number in range(100):
                a.send('b', str(number))
            await a.recorder.wait_for(event.PeerConnected)
            while len(b.recorder.events) < 100:
                b.recorder.event_arrived.clear()
                await b.recorder.event_arrived.wait()
            self.assertEqual(
                [('a', str(number)) for number in range(100)],
                [(e.sender, e.message.text) for e in b.recorder.events],
            )

        fixture.run(check())

    def test_unreachable_and_unknown_peers_are_lost(self):
        async def check():
            addresses = {}
            a = Instance('a', addresses)
            Instance('b', addresses)
            a.send('b', 'x')
            lost = await a.recorder.wait_for(event.PeerLost)
            self.assertEqual('b', lost.peer)
            a.recorder.events.clear()
            a.send('stranger', 'x')
            lost = await a.recorder.wait_for(event.PeerLost)
            self.assertEqual('stranger', lost.peer)

        fixture.run(check())

    def test_queue_for_a_peer_is_bounded(self):
        async def check():
            addresses = {}
            a = Instance('a', addresses, peer_queue_bytes=1000)
            b = Instance('b', addresses)
            await b.streams.listen(b.address)
            for _ in range(50):
                a.send('b', 'x' * 100)
            self.assertEqual(41, a.count(metric.PEER_MESSAGES_DROPPED))

        fixture.run(check())

    def test_restarted_peer_is_reached_again(self):
        async def check():
            addresses = {}
            a, b = Instance('a', addresses), Instance('b', addresses)
            await b.streams.listen(b.address)
            a.send('b', 'one')
            await b.recorder.wait_for(event.PeerMessageReceived)
            await b.streams.close()
            await a.recorder.wait_for(event.PeerLost)
            restarted = Instance('c', {})
            await restarted.streams.listen(b.address)
            while not restarted.recorder.events:
                a.send('b', 'two')
                await asyncio.sleep(0.05)
            self.assertEqual('two', restarted.recorder.events[0].message.text)

        fixture.run(check())

    def test_malformed_stream_is_closed_and_counted(self):
        async def check():
            addresses = {}
            b = Instance('b', addresses)
            await b.streams.listen(b.address)
            for data in (b'\xc1', codec.encode(TextMessage('no greeting'))):
                reader, writer = await asyncio.open_connection(*b.address)
                writer.write(data)
                self.assertEqual(b'', await reader.read())
            self.assertEqual(2, b.count(metric.PEER_MESSAGES_MALFORMED))
            self.assertEqual([], b.recorder.events)

        fixture.run(check())

    def test_only_names_in_certificates_are_accepted(self):
        async def check(directory, other):
            addresses = {}
            authority = CertificateAuthority(directory)
            a = Instance('a', addresses, authority.make_contexts('a'))
            b = Instance('b', addresses, authority.make_contexts('b'))
            impostor = Instance('liar', {'b': b.address})
            impostor.streams._client_context = authority.make_contexts(
                'x'
            ).client
            untrusted = Instance(
                's',
                {'b': b.address},
                CertificateAuthority(other).make_contexts('a'),
            )
            await b.streams.listen(b.address)
            impostor.send('b', 'forged name')
            untrusted.send('b', 'other authority')
            await impostor.recorder.wait_for(event.PeerLost)
            await untrusted.recorder.wait_for(event.PeerLost)
            a.send('b', 'proved')
            received = await b.recorder.wait_for(event.PeerMessageReceived)
            self.assertEqual('a', received.sender)
            self.assertEqual(1, b.count(metric.PEERS_REFUSED))
            self.assertEqual(1, len(b.recorder.events))

        with tempfile.TemporaryDirectory() as directory:
            with tempfile.TemporaryDirectory() as other:
                fixture.run(check(directory, other))

    def test_names_come_from_the_certificate(self):
        class Writer:
            def get_extra_info(self, name):
                names = (('DNS', 'a'), ('IP Address', '127.0.0.1'))
                return {'subjectAltName': names}

        self.assertEqual(
            frozenset({'a'}), _peer.list_certificate_names(Writer())
        )
