import testtools

from skylarkfold import requests
from skylarkfold.requests import _key_memory
from skylarkfold.requests import _key_record
from skylarkfold.tests.requests import samples
from skylarkfold import verdict

Verdict = verdict.Verdict


class KeyMemoryTest(testtools.TestCase):
    """Key records and their limits."""

    def setUp(self):
        super().setUp()
        self.settings = requests.RequestSettings(
            maximum_keys=3, maximum_answer_bytes=10, maximum_waiting_bytes=10
        )
        self.memory = _key_memory.KeyMemory(self.settings)

    def add(self, number, body=b'1234'):
        made = samples.make_request(number, key=f'k-{number}', body=body)
        key = _key_record.digest_key(made)
        record = _key_record.KeyRecord(
            key, _key_record.digest_request(made), made
        )
        self.memory.add(record)
        return record

    def end(self, number, body=b'1234', now=0.0):
        record = self.add(number)
        self.memory.store_answer(now, record, samples.make_answer(body))
        return record

    def has_room(self, body):
        return self.memory.has_room(samples.make_request(9, body=body))

    def test_waiting_bytes_are_limited(self):
        first = self.add(1)
        self.assertTrue(self.has_room(b'123456'))
        self.assertFalse(self.has_room(b'1234567'))
        self.memory.drop(first)
        self.memory.drop(first)
        self.assertTrue(self.has_room(b'1234567890'))
        self.assertFalse(self.has_room(b'12345678901'))

    def test_key_count_is_limited(self):
        for number in range(3):
            self.end(number)
        self.assertFalse(self.has_room(b''))

    def test_oldest_body_is_dropped_and_its_key_is_kept(self):
        records = [self.end(number) for number in range(3)]
        verdicts = [each.answer.verdict for each in records]
        expected = [Verdict.MAY_HAVE_RUN, Verdict.RAN, Verdict.RAN]
        self.assertEqual(expected, verdicts)
        self.assertEqual(8, self.memory.total_answer_bytes)
        self.assertIs(records[0], self.memory.find(records[0].key))

    def test_keys_expire_by_age(self):
        self.end(1)
        second = self.end(2, now=5.0)
        seconds = self.settings.key_memory_seconds
        self.memory.expire(seconds + 1.0)
        self.assertEqual([second], list(self.memory.list_ended()))
        self.assertEqual(4, self.memory.total_answer_bytes)
        self.memory.expire(seconds + 5.0)
        self.assertEqual(
            (0, 0), (len(self.memory), self.memory.total_answer_bytes)
        )
