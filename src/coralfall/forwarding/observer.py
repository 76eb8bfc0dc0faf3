"""What is seen of requests that are over: for service levels, outcomes and metrics."""

import abc
import typing as t

if t.TYPE_CHECKING:
    from ..bundles.bundle import Service
    from ..ids import Outcome, PartnerId, ServiceId


class RequestObserver(abc.ABC):
    """Is told of each request to a known service, once, when its answer has passed.

    A read whose caller left is not told of: nobody waited for its answer. Write your own::

        class Counter(RequestObserver):
            def ended(self, partner, service, rules, outcome, well, seconds):
                self.count += 1
    """

    @abc.abstractmethod
    def ended(
        self,
        partner: "PartnerId",
        service: "ServiceId",
        rules: "Service",
        outcome: "Outcome",
        well: bool,
        seconds: float,
    ) -> None:
        """Take in one request.

        :param rules: the service's rules when the request came.
        :param outcome: what the caller was told.
        :param well: whether the caller got a whole answer with a status below 500.
        :param seconds: from the request's head to the last byte of its answer.
        """
