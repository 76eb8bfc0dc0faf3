"""Look-up over HTTP: ``GET /lookup?partner=..&address=..`` with a JSON answer to cache."""

import typing as t
import urllib.parse

import msgspec

from ..exceptions import RefusedError, RequestError
from ..forwarding.answer import Answer, Headers, answer_of
from ..forwarding.callers import LookupSource
from ..ids import Outcome, PartnerId
from .blocks import ClientAddress, parse_address
from .lookup import Lookup

_MAX_FIELDS = 8
_MAX_SHOWN = 64


class LookupHttp(LookupSource):
    """Answers the query strings of look-ups.

    :param lookup: what is in force.
    """

    def __init__(self, lookup: Lookup) -> None:
        self._lookup = lookup
        self._encoder = msgspec.json.Encoder()
        max_age = f"max-age={int(lookup.ttl_s)}".encode()
        self._shared: Headers = [
            (b"content-type", b"application/json"),
            (b"cache-control", b"public, " + max_age),
        ]
        # The same URL means something else to a caller elsewhere.
        self._private: Headers = [
            (b"content-type", b"application/json"),
            (b"cache-control", b"private, " + max_age),
        ]

    def answer(self, query: bytes, peer: t.Optional[str] = None) -> Answer:
        """The answer to a look-up, errors included.

        :param query: the raw query string; ``partner`` is required, ``address`` is not.
        :param peer: the caller's own address, which counts if the query names none.
        """
        try:
            fields = _parse_query(query)
            partner = PartnerId(_required(fields, "partner"))
            named = _single(fields, "address")
            address = _parse_address(named or peer)
            found = self._lookup.answer(partner, address)
        except (RequestError, RefusedError) as error:
            return answer_of(error, Outcome.NOT_RUN)
        body = self._encoder.encode(found)
        headers = self._shared if named else self._private
        length = (b"content-length", b"%d" % len(body))
        return Answer(200, [*headers, length], body, Outcome.DONE, found.version)


def _parse_query(query: bytes) -> t.Dict[str, t.List[str]]:
    try:
        return urllib.parse.parse_qs(query.decode("ascii"), max_num_fields=_MAX_FIELDS)
    except ValueError as error:
        raise _bad_query("query", f"the query can't be read: {error}") from None


def _required(fields: t.Mapping[str, t.List[str]], name: str) -> str:
    value = _single(fields, name)
    if value is None:
        raise _bad_query(name, f"{name} is missing")
    return value


def _single(fields: t.Mapping[str, t.List[str]], name: str) -> t.Optional[str]:
    values = fields.get(name)
    if values is None:
        return None
    if len(values) > 1:
        raise _bad_query(name, f"{name} is given {len(values)} times")
    return values[0]


def _parse_address(text: t.Optional[str]) -> ClientAddress:
    if text is None:
        raise _bad_query("address", "address is missing and the connection has none")
    try:
        return parse_address(text)
    except ValueError:
        shown = text[:_MAX_SHOWN]
        raise _bad_query("address", f"{shown!r} is not an IP address") from None


def _bad_query(field: str, message: str) -> RequestError:
    remedy = "ask for /lookup?partner=NAME&address=IP, each once; address may be left out"
    return RequestError("lookup", 400, message, field=field, remedy=remedy)
