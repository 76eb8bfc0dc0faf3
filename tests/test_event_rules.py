"""Tests of :mod:`tests.event_rules`: each rule sees what breaks it, and nothing else."""

import unittest

from parameterized import parameterized

from coralfall.ids import Outcome

from .event_rules import ALWAYS, Event, Kind, nothing_cut_off, violations

INVOKE_1 = Event(Kind.INVOKE, "r1", "k")
INVOKE_2 = Event(Kind.INVOKE, "r2", "k")
DISPATCH_1 = Event(Kind.DISPATCH, "r1", "k")
DISPATCH_2 = Event(Kind.DISPATCH, "r2", "k")
SHED_1 = Event(Kind.SHED, "r1", "k")
EFFECT_1 = Event(Kind.EFFECT, "r1", "k", value="a")
EFFECT_2 = Event(Kind.EFFECT, "r2", "k", value="b")
DONE_1 = Event(Kind.ANSWER, "r1", "k", Outcome.DONE, "a")
DONE_2 = Event(Kind.ANSWER, "r2", "k", Outcome.DONE, "a")
NOT_RUN_1 = Event(Kind.ANSWER, "r1", "k", Outcome.NOT_RUN)
UNKNOWN_1 = Event(Kind.ANSWER, "r1", "k", Outcome.UNKNOWN)


class TestViolations(unittest.TestCase):
    @parameterized.expand(
        [
            ("done", [INVOKE_1, DISPATCH_1, EFFECT_1, DONE_1], set()),
            ("kept", [INVOKE_1, DISPATCH_1, EFFECT_1, INVOKE_2, DONE_2], set()),
            ("shed, then run", [DISPATCH_1, SHED_1, DISPATCH_2, EFFECT_2], set()),
            ("late effect", [INVOKE_1, DISPATCH_1, UNKNOWN_1, EFFECT_1], set()),
            ("keyless", [EFFECT_1._replace(key=""), EFFECT_2._replace(key="")], set()),
            ("two effects", [EFFECT_1, EFFECT_2], {"one_effect_per_key"}),
            ("two dispatches", [DISPATCH_1, DISPATCH_2], {"one_open_dispatch_per_key"}),
            ("effect, not run", [EFFECT_1, INVOKE_1, NOT_RUN_1], {"no_effect_when_not_run"}),
            ("not run, effect", [INVOKE_1, NOT_RUN_1, EFFECT_1], {"no_effect_when_not_run"}),
            ("late dispatch", [INVOKE_1, NOT_RUN_1, DISPATCH_1], {"no_dispatch_after_answer"}),
            ("two answers", [INVOKE_1, NOT_RUN_1, UNKNOWN_1], {"one_answer_per_request"}),
            ("not invoked", [NOT_RUN_1], {"one_answer_per_request"}),
            ("no effect", [INVOKE_1, DONE_1], {"done_as_the_effect_said"}),
            ("other", [EFFECT_2, INVOKE_1, DONE_1], {"done_as_the_effect_said"}),
        ]
    )
    def test_rules(self, _name: str, events: list, broken: set) -> None:
        self.assertEqual({violation.rule for violation in violations(events)}, broken)


#: Requests of two entries, answered under versions.
ASK_A, ASK_B = INVOKE_1._replace(entry="e1"), INVOKE_2._replace(entry="e1")
ASK_OTHER = INVOKE_2._replace(entry="e2")


def answer(request: Event, version: int) -> Event:
    return request._replace(kind=Kind.ANSWER, outcome=Outcome.DONE, version=version)


class TestProcessRules(unittest.TestCase):
    @parameterized.expand(
        [
            ("versions rise", [ASK_A, answer(ASK_A, 1), ASK_B, answer(ASK_B, 2)], set()),
            ("overtaken", [ASK_A, ASK_B, answer(ASK_B, 2), answer(ASK_A, 1)], set()),
            ("other entry", [ASK_A, answer(ASK_A, 2), ASK_OTHER, answer(ASK_OTHER, 1)], set()),
            ("run after another try", [EFFECT_1, INVOKE_1, NOT_RUN_1, INVOKE_2], set()),
            (
                "falls",
                [ASK_A, answer(ASK_A, 2), ASK_B, answer(ASK_B, 1)],
                {"version_never_falls"},
            ),
            (
                "older than everywhere",
                [Event(Kind.IN_FORCE, "", version=3), ASK_A, answer(ASK_A, 2)],
                {"version_never_falls"},
            ),
            ("none run", [EFFECT_1, INVOKE_1, NOT_RUN_1], {"no_effect_when_all_not_run"}),
            (
                "keyless, twice",
                [EFFECT_1._replace(key=""), EFFECT_1._replace(key="")],
                {"one_effect_per_keyless_request"},
            ),
            ("with a key, twice", [EFFECT_1, INVOKE_1, EFFECT_1], {"one_effect_per_key"}),
            ("cut off", [INVOKE_1, INVOKE_1._replace(kind=Kind.CUT_OFF)], {"nothing_cut_off"}),
        ]
    )
    def test_rules(self, _name: str, events: list, broken: set) -> None:
        found = violations(events, (*ALWAYS, nothing_cut_off))
        self.assertEqual({violation.rule for violation in found}, broken)
