"""Tests of the admission queue."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import admission
from skylarkfold import request


def build_request(
    number, service='desk', priority=request.Priority.EXCHANGE, body=b''
):
    return request.Request(
        number=number,
        service=service,
        method='POST',
        target='/',
        headers=(),
        body=body,
        key='',
        idempotent=False,
        priority=priority,
        timeout_seconds=5.0,
    )


def record_turns(queue, rounds=20):
    """Record one turn of exchanges a second until 29, then empty the queue."""
    numbers = range(1000, 1000 + rounds + 1)
    for number in numbers:
        queue.offer(29.0 - rounds, build_request(number), 1e6)
    for turn in range(rounds):
        queue.take(30.0 - rounds + turn, 'desk')
    for number in numbers:
        queue.cancel(number)
    queue.expire(29.0)


class AdmissionQueueTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.queue = admission.AdmissionQueue(admission.AdmissionSettings())

    def test_takes_alerts_first_and_each_class_in_order(self):
        for number, priority in enumerate((2, 1, 0, 1, 0)):
            entry = build_request(number, priority=request.Priority(priority))
            self.queue.offer(0.0, entry, 9.0)
        taken = [self.queue.take(0.0, 'desk') for _ in range(5)]
        numbers = [entry.request.number for entry in taken]
        self.assertEqual([2, 4, 1, 3, 0], numbers)
        self.assertIsNone(self.queue.take(0.0, 'desk'))

    def test_lower_classes_get_their_share_of_turns(self):
        settings = admission.AdmissionSettings(floor_share=0.1)
        queue = admission.AdmissionQueue(settings)
        for number in range(100):
            alert = build_request(number, priority=request.Priority.ALERT)
            queue.offer(0.0, alert, 9.0)
            queue.offer(0.0, build_request(1000 + number), 9.0)
        taken = [queue.take(0.0, 'desk') for _ in range(66)]
        lower = [each for each in taken if each.request.number >= 1000]
        self.assertEqual(6, len(lower))

    def test_refusal_of_a_full_queue_has_a_retry_time(self):
        settings = admission.AdmissionSettings(class_requests=2)
        queue = admission.AdmissionQueue(settings)
        queue.offer(0.0, build_request(1), 9.0)
        queue.offer(0.0, build_request(2), 9.0)
        refusal = queue.offer(0.0, build_request(3), 9.0)
        self.assertEqual(admission.RefusalCode.QUEUE_FULL, refusal.code)
        self.assertGreater(refusal.retry_after_seconds, 0)

    def test_refuses_at_once_if_the_wait_misses_the_deadline(self):
        record_turns(self.queue)
        for number in range(5):
            self.queue.offer(30.0, build_request(number), 1e6)
        refusal = self.queue.offer(30.0, build_request(9), 33.0)
        self.assertEqual(admission.RefusalCode.DEADLINE, refusal.code)
        self.assertAlmostEqual(6.0, refusal.retry_after_seconds, delta=1.0)
        refusal = self.queue.offer(30.0, build_request(9), 41.0)
        self.assertEqual(admission.RefusalCode.DEADLINE, refusal.code)
        admitted = self.queue.offer(30.0, build_request(9), 43.0)
        self.assertIsInstance(admitted, admission.Admitted)

    def test_expires_requests_before_they_miss_the_deadline(self):
        record_turns(self.queue)
        for number in range(4):
            self.queue.offer(30.0, build_request(number), 42.0)
        self.assertEqual([], self.queue.expire(30.5))
        self.assertEqual([], self.queue.expire(32.9))
        expired = self.queue.expire(35.9)
        self.assertEqual([2, 3], [each.request.number for each in expired])
        self.assertEqual(2, self.queue.count_waiting('desk').exchanges)

    def test_a_stale_turn_interval_does_not_refuse(self):
        record_turns(self.queue)
        for number in range(5):
            self.queue.offer(60.0, build_request(number), 1e6)
        admitted = self.queue.offer(60.0, build_request(9), 63.0)
        self.assertIsInstance(admitted, admission.Admitted)

    def test_each_turn_of_a_batch_counts(self):
        for number in range(100):
            self.queue.offer(0.0, build_request(number), 1e6)
        for step in range(1, 16):
            for _ in range(4):
                self.queue.take(step * 1.0, 'desk')
        refusal = self.queue.offer(15.0, build_request(200), 16.0)
        self.assertEqual(40, self.queue.count_waiting('desk').exchanges)
        self.assertAlmostEqual(10.0, refusal.retry_after_seconds, delta=1.5)

    def test_alerts_ignore_the_wait_of_lower_classes(self):
        record_turns(self.queue)
        for number in range(5):
            self.queue.offer(30.0, build_request(number), 1e6)
        alert = build_request(9, priority=request.Priority.ALERT)
        admitted = self.queue.offer(30.0, alert, 31.0)
        self.assertIsInstance(admitted, admission.Admitted)

    def test_refuses_deadlines_below_the_service_time(self):
        self.queue.record_service_time(0.0, 'desk', 1.0)
        refusal = self.queue.offer(0.0, build_request(1), 0.5)
        self.assertEqual(admission.RefusalCode.DEADLINE, refusal.code)

    def test_a_stale_service_time_does_not_refuse(self):
        self.queue.record_service_time(0.0, 'desk', 1.0)
        admitted = self.queue.offer(60.0, build_request(1), 60.5)
        self.assertIsInstance(admitted, admission.Admitted)

    def test_take_skips_requests_past_their_deadline(self):
        self.queue.offer(0.0, build_request(1), 1.0)
        self.queue.offer(0.0, build_request(2), 9.0)
        self.assertEqual(2, self.queue.take(2.0, 'desk').request.number)
        (expired,) = self.queue.expire(2.0)
        self.assertEqual(1, expired.request.number)
        self.assertEqual(admission.RefusalCode.DEADLINE, expired.code)

    def test_expires_requests_by_age(self):
        settings = admission.AdmissionSettings(exchange_age_seconds=2.0)
        queue = admission.AdmissionQueue(settings)
        queue.offer(0.0, build_request(1), 100.0)
        self.assertEqual([], queue.expire(1.9))
        (expired,) = queue.expire(2.0)
        self.assertEqual(admission.RefusalCode.AGED, expired.code)
        self.assertEqual(0, len(queue))

    def test_a_busy_service_is_evicted_for_a_quiet_one(self):
        settings = admission.AdmissionSettings(total_requests=10)
        queue = admission.AdmissionQueue(settings)
        for number in range(10):
            queue.offer(0.0, build_request(number, 'busy'), 9.0)
        admitted = queue.offer(0.0, build_request(50, 'quiet'), 9.0)
        (evicted,) = admitted.evicted
        self.assertEqual(9, evicted.request.number)
        refusal = queue.offer(0.0, build_request(51, 'busy'), 9.0)
        self.assertEqual(admission.RefusalCode.UNFAIR_SHARE, refusal.code)

    def test_services_get_equal_shares(self):
        settings = admission.AdmissionSettings(total_requests=30)
        queue = admission.AdmissionQueue(settings)
        for number in range(300):
            name = ('a', 'a', 'a', 'a', 'b', 'c')[number % 6]
            queue.offer(0.0, build_request(number, name), 9.0)
        counts = [queue.count_waiting(name).total for name in 'abc']
        self.assertEqual([10, 10, 10], counts)

    def test_a_cancelled_request_is_removed(self):
        self.queue.offer(0.0, build_request(1), 9.0)
        self.assertTrue(self.queue.cancel(1))
        self.assertFalse(self.queue.cancel(1))
        self.assertIsNone(self.queue.take(0.0, 'desk'))
        self.assertEqual(0, self.queue.size_bytes)


class AdmissionBoundsTest(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from('abc'),
                strategies.sampled_from(list(request.Priority)),
                strategies.integers(0, 3000),
                strategies.sampled_from(('offer', 'take', 'cancel', 'expire')),
                strategies.floats(0.1, 10.0),
            ),
            max_size=80,
        )
    )
    def test_bounds_hold_and_every_request_has_one_end(self, steps):
        settings = admission.AdmissionSettings(
            class_requests=4,
            class_bytes=8000,
            total_requests=9,
            total_bytes=16000,
            alert_age_seconds=3.0,
        )
        queue = admission.AdmissionQueue(settings)
        open_numbers = set()
        for number, (name, priority, size, step, timeout) in enumerate(steps):
            now = number * 0.3
            if step == 'take':
                entry = queue.take(now, name)
                if entry is not None:
                    open_numbers.remove(entry.request.number)
                    self.assertLess(now, entry.deadline)
            elif step == 'cancel' and open_numbers:
                cancelled = min(open_numbers)
                if queue.cancel(cancelled):
                    open_numbers.remove(cancelled)
            elif step == 'offer':
                offered = build_request(number, name, priority, b'x' * size)
                result = queue.offer(now, offered, now + timeout)
                if isinstance(result, admission.Admitted):
                    open_numbers.add(number)
                    for each in result.evicted:
                        open_numbers.remove(each.request.number)
            if step == 'expire':
                for each in queue.expire(now):
                    open_numbers.remove(each.request.number)
            self.assertLessEqual(len(queue), settings.total_requests)
            self.assertLessEqual(queue.size_bytes, settings.total_bytes)
            for each in 'abc':
                waiting = queue.count_waiting(each)
                counts = [waiting.get(one) for one in request.Priority]
                self.assertLessEqual(max(counts), settings.class_requests)
        for each in queue.expire(1e9):
            open_numbers.remove(each.request.number)
        self.assertEqual(set(), open_numbers)
        self.assertEqual(0, queue.size_bytes)
