"""Reservation: one request that counts as in flight at a target."""

import typing as t

if t.TYPE_CHECKING:
    from .admission import Admission
    from .targets import TargetState


class TargetReservation:
    """Counts one request as in flight at a target until it is released.

    :param state: the target.
    :param key: identifies the object that the request concerns.
    :param known: whether the target has the object cached.
    :param near: whether the target is in the entry's own region.
    :param is_speed_sample: whether the latency of the request is a sample of the target's speed.
    :param admission: estimates, updated with the latency of the request.
    :param expected_s: predicted duration of the request, if a dispatcher has predicted it.
    :param is_counted: whether the request counts as in flight by this reservation. It does not if
        the entry itself dispatches the target: then the assignment counts it already.
    """

    __slots__ = (
        "_admission",
        "_is_speed_sample",
        "_key",
        "_request_number",
        "known",
        "load",
        "near",
        "state",
    )

    def __init__(
        self,
        state: "TargetState",
        key: bytes,
        known: bool,
        near: bool,
        is_speed_sample: bool,
        admission: "Admission",
        expected_s: float = 0.0,
        *,
        is_counted: bool = True,
    ) -> None:
        self.state = state
        self.known = known
        self.near = near
        #: Requests that were running or queued at the target before this one.
        self.load = state.load()
        self._key = key
        self._is_speed_sample = is_speed_sample
        self._admission = admission
        self._request_number: t.Optional[int] = None
        if is_counted:
            overdue_after_s = admission.overdue_after_s(state, known, expected_s)
            self._request_number = state.start_request(overdue_after_s)

    def record_answer(self, now: float, seconds: float) -> None:
        """Records how long the target took to answer."""
        self._admission.record_duration(self.state.target.service, seconds, self.known)
        self.record_latency(now, seconds)

    def record_latency(self, now: float, seconds: float) -> None:
        """Records how long the target took, or has taken so far without an answer."""
        if self._is_speed_sample:
            self.state.latencies.record(now, seconds)

    def release(self) -> None:
        """Ends the reservation; idempotent."""
        if self._request_number is not None:
            self.state.end_request(self._request_number)

    def cancel(self) -> None:
        """Ends the reservation of a request that was not sent.

        Its object no longer counts as cached by the target, unless it did before.
        """
        self.release()
        if not self.known:
            self.state.forget_object(self._key)
