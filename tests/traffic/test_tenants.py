"""Tests of finding a request's tenant: keys, the tenant's header, regions, and secrecy of keys."""

import asyncio
import typing as t
import unittest

import msgspec
from parameterized import parameterized

from coralfall.exceptions import CoralfallError, RefusedError, RequestError
from coralfall.ids import RegionId
from coralfall.platform.names import HEADERS
from coralfall.traffic.settings import BoundSettings
from coralfall.traffic.steered_request import SteeredRequest
from coralfall.traffic.tenants import TenantAuthenticator, TenantTable, allowed_regions_for
from tests.traffic.entry_fixture import EntryFixture
from tests.traffic.makers import COSTA, SIERRA, make_route, make_state, make_tenant
from tests.traffic.scripted_target import ReceivedRequest, ScriptedTarget
from tests.traffic.test_forwarder import ForwarderHarness

CREDENTIAL = HEADERS.credential
TENANTS = (make_tenant("acme", keys=(b"a1", b"a2", b"k\xc3\xa9")), make_tenant("bolt"))
Fields = t.List[t.Tuple[bytes, bytes]]


def identification(fixture: EntryFixture) -> TenantAuthenticator:
    return TenantAuthenticator(HEADERS, fixture.state_view, BoundSettings(config_s=2.0))


def state_with(version: int, *tenants: t.Any) -> t.Any:
    return msgspec.structs.replace(make_state(version), tenants=tenants)


def found(fixture: EntryFixture, *keys: bytes, public: bool = False) -> str:
    """Returns the tenant of a request with these keys, or how the request is rejected."""
    fields = [(CREDENTIAL, key) for key in keys]
    try:
        tenant = identification(fixture).authenticate(fields, make_route(public=public))
    except RequestError as error:
        return f"{error.status} {error.code}"
    except RefusedError as error:
        return f"503 {error.fields['reason']}"
    return tenant.tenant_id if tenant is not None else "nobody"


class IdentificationTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("a key", (b"a1",), False, "acme"),
            ("another key of the same", (b"a2",), False, "acme"),
            ("a key of another", (b"key-bolt",), False, "bolt"),
            ("a key with odd bytes", (b"k\xc3\xa9",), False, "acme"),
            ("the same key twice", (b"a1", b"a1"), False, "acme"),
            ("two keys of one tenant", (b"a1", b"a2"), False, "401 no-key"),
            ("no key", (), False, "401 no-key"),
            ("an empty key", (b"",), False, "401 unknown-key"),
            ("a key in another spelling", (b"A1",), False, "401 unknown-key"),
            ("the tenant's name", (b"acme",), False, "401 unknown-key"),
            ("a public route", (), True, "nobody"),
            ("a public route with a key", (b"a1",), True, "nobody"),
        ]
    )
    def test_whose_a_request_is(
        self, _name: str, keys: t.Tuple[bytes, ...], public: bool, expected: str
    ) -> None:
        fixture = EntryFixture()
        fixture.learn_state(1, "state/a", state_with(1, *TENANTS))
        self.assertEqual(expected, found(fixture, *keys, public=public))

    @parameterized.expand(
        [
            ("no tenants in the state", None, "nobody"),
            ("an empty list", (), "401 unknown-key"),
        ]
    )
    def test_without_tenants(self, _name: str, tenants: t.Any, expected: str) -> None:
        fixture = EntryFixture()
        state = msgspec.structs.replace(make_state(1), tenants=tenants)
        fixture.learn_state(1, "state/a", state)
        self.assertEqual(expected, found(fixture, b"a1"))

    def test_keys_follow_the_newest_state(self) -> None:
        fixture = EntryFixture()
        fixture.learn_state(1, "state/a", state_with(1, make_tenant(keys=(b"old",))))
        fixture.learn_state(2, "state/a", state_with(2, make_tenant(keys=(b"old", b"new"))))
        self.assertEqual(("acme", "acme"), (found(fixture, b"old"), found(fixture, b"new")))
        fixture.learn_state(3, "state/a", state_with(3, make_tenant(keys=(b"new",))))
        self.assertEqual(
            ("401 unknown-key", "acme"), (found(fixture, b"old"), found(fixture, b"new"))
        )
        fixture.learn_state(4, "state/a", state_with(4, make_tenant(keys=())))
        self.assertEqual("401 unknown-key", found(fixture, b"new"))

    @parameterized.expand(
        [
            ("just heard of", 1.9, "401 unknown-key"),
            ("a little too old", 2.1, "503 state-old"),
            ("store away for long", 600.0, "503 state-old"),
        ]
    )
    def test_an_unknown_key_may_be_new_where_the_state_is_old(
        self, _name: str, age_s: float, expected: str
    ) -> None:
        fixture = EntryFixture()
        fixture.learn_state(1, "state/a", state_with(1, *TENANTS))
        t.cast(t.Any, fixture.clock).advance(age_s)
        self.assertEqual(expected, found(fixture, b"perhaps-new"))
        self.assertEqual("acme", found(fixture, b"a1"))

    def test_no_error_or_table_tells_a_key(self) -> None:
        fixture = EntryFixture()
        fixture.learn_state(1, "state/a", state_with(1, make_tenant(keys=(b"sesame",))))
        fields = [(CREDENTIAL, b"sesame-2")]
        with self.assertRaises(CoralfallError) as caught:
            identification(fixture).authenticate(fields, make_route())
        told = str(caught.exception.as_dict()) + repr(fixture.state_view.state)
        self.assertNotIn("sesame", told + repr(TenantTable(TENANTS)))


class RegionsTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("neither has any", (), (), ()),
            ("the route's", (SIERRA,), (), (SIERRA,)),
            ("the tenant's", (), (COSTA,), (COSTA,)),
            ("both", (SIERRA, COSTA), (COSTA, RegionId("austro")), (COSTA,)),
        ]
    )
    def test_both_hold(
        self, _name: str, of_route: t.Any, of_tenant: t.Any, expected: t.Any
    ) -> None:
        route = make_route(allowed_regions=frozenset(of_route))
        tenant = make_tenant(allowed_regions=frozenset(of_tenant))
        self.assertEqual(frozenset(expected), allowed_regions_for(route, tenant))

    def test_a_request_of_nobody_is_held_to_the_route_s(self) -> None:
        route = make_route(allowed_regions=frozenset((SIERRA,)))
        self.assertEqual(frozenset((SIERRA,)), allowed_regions_for(route, None))

    def test_none_in_common_is_refused(self) -> None:
        route = make_route(allowed_regions=frozenset((SIERRA,)))
        tenant = make_tenant(allowed_regions=frozenset((COSTA,)))
        with self.assertRaises(RefusedError) as caught:
            allowed_regions_for(route, tenant)
        self.assertEqual("no-region", caught.exception.fields["reason"])


class ForwardedTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("a tenant's", "acme", [], ["acme"]),
            ("one that says that it is another's", "acme", [(b"x-tenant", b"bolt")], ["acme"]),
            ("says so twice", "acme", [(b"x-tenant", b"a"), (b"x-tenant", b"b")], ["acme"]),
            ("nobody's that says it is somebody's", None, [(b"x-tenant", b"bolt")], []),
        ]
    )
    def test_what_a_target_is_told(
        self, _name: str, tenant: t.Optional[str], fields: Fields, expected: t.List[str]
    ) -> None:
        heads: t.List[str] = []

        async def answer(received: ReceivedRequest) -> None:
            heads.append(received.head.decode("latin-1"))
            await received.answer()

        async def main() -> None:
            async with ScriptedTarget(answer) as target:
                harness = ForwarderHarness([target.address])
                request = harness.request("unsafe", body=b"x")
                request.headers = [*request.headers, (CREDENTIAL, b"sesame"), *fields]
                request.tenant = make_tenant(tenant) if tenant is not None else None
                await harness.forward(request)

        asyncio.run(main())
        lines = [line.partition(": ") for line in heads[0].split("\r\n")]
        told = [value for name, _, value in lines if name.lower() == "x-tenant"]
        self.assertEqual(expected, told)
        self.assertNotIn("sesame", heads[0])

    def test_only_targets_in_its_regions_get_it(self) -> None:
        async def main() -> t.List[str]:
            async with ScriptedTarget(lambda received: received.answer()) as target:
                harness = ForwarderHarness([target.address])
                request = harness.request("unsafe", body=b"x")
                other = SteeredRequest(
                    *("POST", "/p/1", "a.example", request.headers, None, request.route),
                    *(request.service, "id2", b"object", request.deadline),
                    allowed_regions=frozenset((COSTA,)),
                )
                replies = [await harness.forward(request), await harness.forward(other)]
                return [reply.reason for reply in replies]

        self.assertEqual(["answered", "no-target"], asyncio.run(main()))
