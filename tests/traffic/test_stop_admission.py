"""Tests of which requests a stopping entry sends to targets, by tables and by random histories."""

import typing as t
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from coralfall import defaults
from coralfall.exceptions import RefusedError
from coralfall.ids import ServiceId
from coralfall.placement.stop_admission import STOPPING, AcceptTimes, StopAdmission
from coralfall.process.clock import ManualClock
from coralfall.process.shutdown import Shutdown
from coralfall.traffic.node import accept_times_of
from coralfall.traffic.settings import BoundSettings
from tests.traffic.makers import make_settings

SERVICE = ServiceId("s1")
#: Seconds after the signal until which targets have to answer, with a grace of 6 s.
ANSWERS_S = 5.25
ACCEPT_TIMES = AcceptTimes(once_s=1.0, repeatable_s=3.0)


def make_admission(grace_s: float = 6.0) -> t.Tuple[ManualClock, StopAdmission]:
    clock = ManualClock(100.0)
    return clock, StopAdmission(Shutdown(grace_s, clock, lambda: 0.0), ACCEPT_TIMES, clock)


class StopAdmissionTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("unsafe, in time", 1.0, 4.0, False, 0.1, 5.0),
            ("unsafe, just in time", 1.0, 4.2, False, 0.1, 5.2),
            ("unsafe, too long", 1.1, 4.5, False, 0.1, None),
            ("unsafe, of a fast service", 0.9, 9.0, False, 0.5, ANSWERS_S),
            ("unsafe, of a slow service", 0.9, 9.0, False, 4.6, None),
            ("unsafe, too long, of a service without answers", 0.9, 9.0, False, None, None),
            ("safe, in time", 1.0, 4.0, True, 5.0, 5.0),
            ("safe, of a fast service", 3.0, 4.6, True, 0.5, ANSWERS_S),
            ("safe, once callers know of the stop", 3.1, 4.6, True, 0.5, None),
            ("safe, in time, once callers know of the stop", 3.1, 2.1, True, 0.5, 5.2),
            ("safe, of a slow service", 3.0, 4.6, True, 2.5, None),
            ("safe, of a service without answers", 3.0, 4.6, True, None, None),
            ("after requests were cut off", 5.6, 0.1, True, 0.1, None),
        ]
    )
    def test_time_that_a_target_is_given(
        self,
        _name: str,
        age_s: float,
        limit_s: float,
        may_repeat: bool,
        longest_s: t.Optional[float],
        expected: t.Optional[float],
    ) -> None:
        clock, admission = make_admission()
        if longest_s is not None:
            admission.record(SERVICE, longest_s)
        admission.shutdown.begin()
        clock.advance(age_s)
        found = admission.target_deadline(SERVICE, clock.monotonic() + limit_s, may_repeat)
        if expected is None:
            self.assertIsNone(found)
        else:
            assert found is not None
            self.assertAlmostEqual(100.0 + expected, found)

    @parameterized.expand([(6.0, 1.0, 3.0), (3.0, 0.5, 1.5)])
    def test_time_for_which_callers_may_not_know_of_the_stop(
        self, grace_s: float, once_s: float, repeatable_s: float
    ) -> None:
        bounds = BoundSettings(grace_s=grace_s)
        settings = msgspec.structs.replace(make_settings(), bounds=bounds)
        self.assertEqual(AcceptTimes(once_s, repeatable_s), accept_times_of(settings))

    def test_all_is_sent_before_the_signal(self) -> None:
        clock, admission = make_admission()
        clock.advance(1000.0)
        self.assertEqual(9999.0, admission.target_deadline(SERVICE, 9999.0, False))

    def test_a_refusal_says_why_and_when_to_come_back(self) -> None:
        clock, admission = make_admission()
        admission.shutdown.begin()
        clock.advance(2.0)
        with self.assertRaises(RefusedError) as caught:
            admission.check(SERVICE, clock.monotonic() + 4.6, False)
        self.assertEqual(STOPPING, caught.exception.fields["reason"])
        self.assertEqual(defaults.STEER_RETRY_AFTER_S, caught.exception.retry_after)

    def test_long_answers_are_forgotten_after_two_windows(self) -> None:
        clock, admission = make_admission(grace_s=3600.0)
        admission.record(SERVICE, 9.0)
        for _ in range(2):
            clock.advance(defaults.LONGEST_ANSWER_WINDOW_S + 1.0)
            admission.record(SERVICE, 0.5)
        admission.accept_times = AcceptTimes(0.0, 3600.0)
        admission.shutdown.begin_now()
        clock.advance(3590.0)
        self.assertIsNotNone(admission.target_deadline(SERVICE, clock.monotonic() + 99.0, True))


class _Request(t.NamedTuple):
    """A request of a history; all times in seconds."""

    #: From the end of the request before to its arrival.
    pause_s: float
    limit_s: float
    may_repeat: bool
    #: Waits within the entry: for its body, a permit, a dispatcher or a retry.
    waits_s: t.List[float]
    work_s: float


_SECONDS = st.floats(0.0, 3.0)
_REQUESTS = st.builds(
    _Request,
    st.floats(0.0, 0.5),
    st.floats(0.05, 12.0),
    st.booleans(),
    st.lists(_SECONDS, max_size=3),
    st.floats(0.001, 8.0),
)


class _Entry:
    """An entry on virtual time whose loop sees the signal late.

    :param signal_at: seconds from the beginning.
    :param late_s: seconds in which the process does not run after the signal.
    """

    def __init__(self, grace_s: float, signal_at: float, late_s: float) -> None:
        self.clock, self.admission = make_admission(grace_s)
        self.shutdown = self.admission.shutdown
        self._signal_at = self.clock.monotonic() + signal_at
        self._seen_at = self._signal_at + late_s
        self.killed_at = self._signal_at + grace_s

    def wait(self, seconds: float) -> None:
        until = self.clock.monotonic() + seconds
        self.clock.now = max(self.clock.now, min(until, self._signal_at))
        if self.clock.now < self._signal_at:
            self.shutdown.beat()
        elif not self.shutdown.is_begun:
            until = max(until, self._seen_at)
            self.clock.now = self._seen_at
            self.shutdown.begin()
        self.clock.now = max(self.clock.now, until)

    def take(self, request: _Request) -> t.Optional[float]:
        """Takes a request through the entry; returns by when its target has answered it."""
        deadline = self.clock.monotonic() + request.limit_s
        for wait_s in (*request.waits_s, 0.0):
            until = self.admission.target_deadline(SERVICE, deadline, request.may_repeat)
            if until is None:
                return None
            self.wait(wait_s)
        until = self.admission.target_deadline(SERVICE, deadline, request.may_repeat)
        now = self.clock.monotonic()
        if until is None or until <= now:
            return None
        self.admission.record(SERVICE, min(request.work_s, until - now))
        # A target stops at the time that it was given, and answers that it did.
        return min(now + request.work_s, until)


class StopHistoryTest(unittest.TestCase):
    @given(
        st.floats(0.5, 40.0),
        st.floats(0.0, 5.0),
        st.floats(0.0, 1.0),
        st.lists(_REQUESTS, max_size=40),
    )
    def test_what_is_sent_after_the_signal_is_answered_before_the_end(
        self, grace_s: float, signal_at: float, late_s: float, requests: t.List[_Request]
    ) -> None:
        """Requests were sent to targets though their time reached past the end of the process."""
        entry = _Entry(grace_s, signal_at, late_s)
        for request in requests:
            entry.wait(request.pause_s)
            answered_at = entry.take(request)
            if answered_at is None or not entry.shutdown.is_begun:
                continue
            self.assertLess(answered_at, entry.shutdown.serves_until())
            self.assertLess(answered_at, entry.killed_at)
