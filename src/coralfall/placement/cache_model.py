"""Cache model: which objects a target has cached, by the order of their use (LRU).

The size of the target's cache is not known. It is estimated from evidence: requests for
objects that were expected to be cached either take as long as those for uncached ones, or do not
(slow multiplicative increase, fast multiplicative decrease).
"""

import collections
import typing as t

if t.TYPE_CHECKING:
    from .dispatch import ObjectCode

#: Number of objects that a target is assumed to cache at first and at most, and at least.
_MAX_OBJECTS = 128
_MIN_OBJECTS = 4
#: Factors of the estimate after an expected object was found and was not found. They balance when
#: 6% of the expected objects are not found: 3% of all requests take very long for other reasons.
_RAISE = 1.01
_LOWER = 0.85
#: Time of a request as a multiple of that of uncached ones from which on the object was not
#: cached, as cached ones take about 0.3, and beyond which the time has some other reason.
_MISSING_FROM = 0.65
_MISSING_UP_TO = 1.75


class CacheModel:
    """Objects that one target has cached."""

    __slots__ = ("_objects", "cached_objects_max")

    def __init__(self) -> None:
        self._objects: "collections.OrderedDict[ObjectCode, None]" = collections.OrderedDict()
        #: Estimated number of objects that the target caches.
        self.cached_objects_max = float(_MAX_OBJECTS)

    def __contains__(self, code: "ObjectCode") -> bool:
        return code in self._objects

    def use(self, code: "ObjectCode") -> None:
        """Records that a request for an object is sent to the target."""
        self._objects[code] = None
        self._objects.move_to_end(code)
        self._evict()

    def forget(self, code: "ObjectCode") -> None:
        """Undoes :meth:`use` for a request that did not run."""
        self._objects.pop(code, None)

    def record_expected(self, seconds: float, uncached_s: float) -> None:
        """Records the time of a request for an object that was expected to be cached.

        :param seconds: time of the request, without a queue and at usual pace.
        :param uncached_s: typical time of a request for an uncached object.
        """
        ratio = seconds / uncached_s
        if ratio > _MISSING_UP_TO:
            return
        factor = _LOWER if ratio >= _MISSING_FROM else _RAISE
        estimate = self.cached_objects_max * factor
        self.cached_objects_max = min(float(_MAX_OBJECTS), max(float(_MIN_OBJECTS), estimate))
        self._evict()

    def _evict(self) -> None:
        while len(self._objects) > int(self.cached_objects_max):
            self._objects.popitem(last=False)
