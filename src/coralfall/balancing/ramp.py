"""Slow start of targets, and the exponential backoff between probes."""

from .. import defaults


def ramped_slots(slots: int, since: float, now: float, ramp_s: float) -> int:
    """Returns the slots of a target usable ``now``, rising linearly from 1 to all of them.

    If every entry uses only slots with an index below the result, the whole fleet uses at most that
    many, whoever owns them.

    :param slots: all slots of the target.
    :param since: time at which the target joined or recovered, on the same clock as ``now``.
    :param ramp_s: seconds until all slots may be used.
    """
    if ramp_s <= 0 or now >= since + ramp_s:
        return slots
    fraction = max(0.0, now - since) / ramp_s
    return max(min(1, slots), int(slots * fraction))


def probe_backoff_s(failures: int) -> float:
    """Returns the seconds until the next probe, doubling with each failed one up to a maximum."""
    seconds = defaults.PROBE_BACKOFF_S * 2.0 ** min(failures, 10)
    return min(seconds, defaults.PROBE_BACKOFF_MAX_S)
