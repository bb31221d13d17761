"""Simulation of callers that send over a link to bulk admission."""

import collections
import heapq

from skylarkfold import room as rooms

ROUND_TRIP_SECONDS = 0.01
# Time that an upstream takes to answer an upload.
WORK_SECONDS = 0.1
PACKET_BYTES = 1200
HEAD_BYTES = 60
WINDOW_PACKETS = 16
BULK = b'bulk..'
LIVE = b'live..'


class Packet:
    """A caller's packet, with the fields that the package reads."""

    def __init__(self, number, length=0, sequence=0, **fields):
        self.address = fields.get('address', BULK)
        self.flow = number.to_bytes(6, 'big') + self.address
        self.length = length
        self.sequence = sequence
        self.acknowledged = fields.get('acknowledged', 0)
        self.is_last = fields.get('is_last', False)


class LinkSimulation:
    """Simulates uploads and live packets over one link to bulk admission.

    The link is a FIFO queue without loss. Callers keep their window in flight
    and never slow down. Without admission, all flows are opened at once.
    """

    def __init__(self, bytes_per_second, has_admission=True, settings=None):
        settings = settings or rooms.RoomSettings()
        self.rate = bytes_per_second
        self.room = rooms.InstanceHeadroom(settings, bytes_per_second)
        self.admission = rooms.BulkAdmission(settings, self.room)
        self.has_admission = has_admission
        self.link_free_at = 0.0
        self.events = []
        self.event_count = 0
        self.delays = []
        self.finished = []
        self.refused = []
        self.admitted_sizes = []
        self.max_bytes_in_flight = 0
        self.unsent_bytes = collections.Counter()

    def schedule(self, when, act, *args):
        self.event_count += 1
        heapq.heappush(self.events, (when, self.event_count, act, args))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            when, _, act, args = heapq.heappop(self.events)
            act(when, *args)

    def transmit(self, now, length):
        """Send a packet over the link; return when it arrives."""
        taken = (length + HEAD_BYTES) / self.rate
        self.link_free_at = max(self.link_free_at, now) + taken
        return self.link_free_at

    def send_live(self, now, every, until, length=300):
        arrives = self.transmit(now, length)
        self.delays.append(arrives - now)
        self.schedule(arrives, self.receive, Packet(1, length, address=LIVE))
        if now + every < until:
            self.schedule(now + every, self.send_live, every, until, length)

    def start_upload(self, now, number, size):
        self.schedule(
            self.transmit(now, 0), self.handle_first_packet, number, size, now
        )

    def handle_first_packet(self, now, number, size, begun):
        self.room.record_traffic(now, HEAD_BYTES, HEAD_BYTES)
        packet = Packet(number)
        packet.size, packet.begun = size, begun
        if self.has_admission:
            verdict = self.admission.decide(now, packet, 1.345)
            if verdict is not None:
                if verdict.outcome == verdict.REFUSED:
                    self.refused.append((number, now - begun))
                return
        self.admit(now, packet)

    def admit(self, now, packet):
        self.admission.begin(now, packet)
        self.admitted_sizes.append(packet.size)
        number = int.from_bytes(packet.flow[:6], 'big')
        self.unsent_bytes[number] = packet.size
        for _ in range(WINDOW_PACKETS):
            self.send_next(now + ROUND_TRIP_SECONDS, number, packet)

    def send_next(self, now, number, packet):
        length = min(PACKET_BYTES, self.unsent_bytes[number])
        if length <= 0:
            return
        sequence = packet.size - self.unsent_bytes[number]
        self.unsent_bytes[number] -= length
        self.schedule(
            now, self.transmit_data, number, packet, length, sequence
        )

    def transmit_data(self, now, number, packet, length, sequence):
        part = Packet(number, length, sequence, acknowledged=7)
        part.first = packet
        self.schedule(self.transmit(now, length), self.receive, part)

    def receive(self, now, packet):
        size = packet.length + HEAD_BYTES
        self.room.record_traffic(now, size, size)
        is_start = packet.address == LIVE or not packet.sequence
        self.admission.handle_packet(now, packet, packet.address, is_start)
        self.max_bytes_in_flight = max(
            self.max_bytes_in_flight, self.admission.transfers.on_way
        )
        if packet.address == LIVE:
            return
        number = int.from_bytes(packet.flow[:6], 'big')
        if not packet.length:
            first = packet.first
            self.finished.append((number, first.size, now - first.begun))
        elif packet.sequence + packet.length == packet.first.size:
            answer = Packet(number, acknowledged=900)
            answer.first = packet.first
            self.schedule(now + WORK_SECONDS, self.receive, answer)
        else:
            self.send_next(now + ROUND_TRIP_SECONDS, number, packet.first)

    def tick(self, now, until):
        while (waiter := self.admission.pop_ready(now)) is not None:
            self.admit(now, waiter.packet)
        while (waiter := self.admission.pop_late(now)) is not None:
            number = int.from_bytes(waiter.packet.flow[:6], 'big')
            self.refused.append((number, now - waiter.packet.begun))
        if now < until:
            self.schedule(now + 0.01, self.tick, until)
