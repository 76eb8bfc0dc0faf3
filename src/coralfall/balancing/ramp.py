"""Ramps: how many slots of a target that comes back may be used while it is cold."""

from .. import defaults


def ramped_slots(slots: int, since: float, now: float, ramp_s: float) -> int:
    """Slots of a target that may be used ``now``, rising evenly from 1 to all of them.

    Every entry that keeps to slots with an index below the result keeps the whole fleet to
    that many, whoever owns them.

    :param slots: all slots of the target.
    :param since: monotonic time at which the target came back.
    :param ramp_s: seconds until all slots may be used.
    """
    if ramp_s <= 0 or now >= since + ramp_s:
        return slots
    part = max(0.0, now - since) / ramp_s
    return max(min(1, slots), int(slots * part))


def probe_backoff_s(failures: int) -> float:
    """Seconds to leave a target alone after so many failed probes, doubling up to a bound."""
    seconds = defaults.PROBE_BACKOFF_S * 2.0 ** min(failures, 10)
    return min(seconds, defaults.PROBE_BACKOFF_MAX_S)
