"""A link, callers that send over it, and a gate behind it."""

import collections
import heapq

from skylarkfold import room as rooms

ROUND_TRIP_SECONDS = 0.01
# What a request of bulk takes its upstream.
WORK_SECONDS = 0.1
PACKET_BYTES = 1200
HEAD_BYTES = 60
WINDOW_PACKETS = 16
BULK = b'bulk..'
LIVE = b'live..'


class Packet:
    """What is read of a caller's packet."""

    def __init__(self, number, length=0, sequence=0, **fields):
        self.address = fields.get('address', BULK)
        self.flow = number.to_bytes(6, 'big') + self.address
        self.length = length
        self.sequence = sequence
        self.acknowledged = fields.get('acknowledged', 0)
        self.is_last = fields.get('is_last', False)


class Play:
    """Plays uploads and live packets on one link into a gate.

    A first in, first out link without loss; callers keep their window in
    flight and never slow down. Without a gate, all is let in.
    """

    def __init__(self, bytes_per_second, is_gated=True, settings=None):
        settings = settings or rooms.RoomSettings()
        self.rate = bytes_per_second
        self.room = rooms.InstanceHeadroom(settings, bytes_per_second)
        self.gate = rooms.BulkAdmission(settings, self.room)
        self.is_gated = is_gated
        self.free_at = 0.0
        self.events = []
        self.count = 0
        self.delays = []
        self.finished = []
        self.refused = []
        self.opened = []
        self.most_on_way = 0
        self.left = collections.Counter()

    def at(self, when, act, *args):
        self.count += 1
        heapq.heappush(self.events, (when, self.count, act, args))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            when, _, act, args = heapq.heappop(self.events)
            act(when, *args)

    def cross(self, now, length):
        """Send through the link: when it has arrived."""
        taken = (length + HEAD_BYTES) / self.rate
        self.free_at = max(self.free_at, now) + taken
        return self.free_at

    def live(self, now, every, until, length=300):
        arrives = self.cross(now, length)
        self.delays.append(arrives - now)
        self.at(arrives, self.take, Packet(1, length, address=LIVE))
        if now + every < until:
            self.at(now + every, self.live, every, until, length)

    def upload(self, now, number, size):
        self.at(self.cross(now, 0), self.open, number, size, now)

    def open(self, now, number, size, begun):
        self.room.record_traffic(now, HEAD_BYTES, HEAD_BYTES)
        packet = Packet(number)
        packet.size, packet.begun = size, begun
        if self.is_gated:
            verdict = self.gate.decide(now, packet, 1.345)
            if verdict is not None:
                if verdict.outcome == verdict.REFUSED:
                    self.refused.append((number, now - begun))
                return
        self.start(now, packet)

    def start(self, now, packet):
        self.gate.begin(now, packet)
        self.opened.append(packet.size)
        number = int.from_bytes(packet.flow[:6], 'big')
        self.left[number] = packet.size
        for _ in range(WINDOW_PACKETS):
            self.send(now + ROUND_TRIP_SECONDS, number, packet)

    def send(self, now, number, packet):
        length = min(PACKET_BYTES, self.left[number])
        if length <= 0:
            return
        sequence = packet.size - self.left[number]
        self.left[number] -= length
        self.at(now, self.put, number, packet, length, sequence)

    def put(self, now, number, packet, length, sequence):
        part = Packet(number, length, sequence, acknowledged=7)
        part.first = packet
        self.at(self.cross(now, length), self.take, part)

    def take(self, now, packet):
        size = packet.length + HEAD_BYTES
        self.room.record_traffic(now, size, size)
        is_start = packet.address == LIVE or not packet.sequence
        self.gate.handle_packet(now, packet, packet.address, is_start)
        self.most_on_way = max(self.most_on_way, self.gate.transfers.on_way)
        if packet.address == LIVE:
            return
        number = int.from_bytes(packet.flow[:6], 'big')
        if not packet.length:
            first = packet.first
            self.finished.append((number, first.size, now - first.begun))
        elif packet.sequence + packet.length == packet.first.size:
            answer = Packet(number, acknowledged=900)
            answer.first = packet.first
            self.at(now + WORK_SECONDS, self.take, answer)
        else:
            self.send(now + ROUND_TRIP_SECONDS, number, packet.first)

    def tick(self, now, until):
        while (waiter := self.gate.pop_ready(now)) is not None:
            self.start(now, waiter.packet)
        while (waiter := self.gate.pop_late(now)) is not None:
            number = int.from_bytes(waiter.packet.flow[:6], 'big')
            self.refused.append((number, now - waiter.packet.begun))
        if now < until:
            self.at(now + 0.01, self.tick, until)
