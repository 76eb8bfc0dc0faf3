"""Slots: no target or region gets more requests than its limit, whatever happens to entries."""

import typing as t
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from parameterized import parameterized

from tests.fleet import TARGETS, Node, World

OFFSET_BY_NAME = {"a": 0.0, "b": 5000.0, "c": -300.0, "d": 12.5}
SEEDS = range(12)
names = st.sampled_from(sorted(OFFSET_BY_NAME))


class FleetMachine(RuleBasedStateMachine):
    """Four entries that dispatch and lend as much as allowed, under random faults."""

    @initialize(seed=st.integers(0, 999), first=st.sets(names, min_size=1))
    def begin(self, seed: int, first: "set[str]") -> None:
        self.world = World(seed)
        for name in sorted(first):
            self.start(name)
        self.world.run(25)

    def start(self, name: str) -> None:
        Node(self.world, name, OFFSET_BY_NAME[name])

    @rule(rounds=st.integers(1, 30))
    def run(self, rounds: int) -> None:
        self.world.run(rounds)

    @rule(name=names)
    def start_or_continue(self, name: str) -> None:
        """Starts a new process, on the old VM while it is still listed, or resumes a paused one."""
        node = self.world.nodes.get(name)
        if node is None or node.dead:
            self.start(name)
        else:
            node.paused = False

    @rule(name=names, fault=st.sampled_from(["paused", "dead", "cut_off", "slow", "hesitant"]))
    def break_or_mend(self, name: str, fault: str) -> None:
        node = self.world.nodes.get(name)
        if node is not None and not node.dead:
            setattr(node, fault, not getattr(node, fault))

    @rule(name=names, rounds=st.integers(1, 60))
    def pause(self, name: str, rounds: int) -> None:
        node = self.world.nodes.get(name)
        if node is not None and not node.dead:
            node.paused = True
            self.world.run(rounds)
            node.paused = False
            self.world.run(2)

    @rule(name=names)
    def leave(self, name: str) -> None:
        node = self.world.nodes.get(name)
        if node is not None and node.runs():
            node.leave()

    @rule(name=names, busy=st.booleans())
    def load(self, name: str, busy: bool) -> None:
        if name in self.world.nodes:
            self.world.nodes[name].busy = busy

    @rule()
    def submit(self) -> None:
        self.world.staged = self.world.staged or self.world.accepted + 1

    @rule(down=st.booleans())
    def platform(self, down: bool) -> None:
        for node in self.world.nodes.values():
            node.cut_off = down

    @rule(first=names, second=names)
    def part_or_join(self, first: str, second: str) -> None:
        self.world.apart ^= {frozenset((first, second))}

    def teardown(self) -> None:
        """Checks that all slots are usable again after all faults have ended."""
        world = getattr(self, "world", None)
        if world is None:
            return
        world.mend()
        world.run(60)
        assert not world.nodes or world.idle_for_good() == 0

    @invariant()
    def naive_allocator_agrees(self) -> None:
        world = getattr(self, "world", None)
        assert world is None or not world.wrong, world.wrong


FleetTest = FleetMachine.TestCase
FleetTest.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)


def suspended(world: World) -> None:
    """A VM is suspended, reported as gone, removed from the roster, and resumes."""
    world.nodes["a"].slow = True
    world.run(3)
    world.nodes["a"].paused = True
    world.run(60)
    world.nodes["a"].paused = False


def split(world: World) -> None:
    """Two entries reach each other, but neither the platform nor the third entry."""
    Node(world, "d")
    world.run(40)
    for name in "ad":
        world.nodes[name].cut_off = True
        world.apart |= {frozenset((name, other)) for other in "bc"}
    world.run(60)


def newcomer_beyond_a_split(world: World) -> None:
    """An entry joins while others are partitioned and never learn of it."""
    split(world)
    Node(world, "c")


def newcomer_and_slow_dispatch(world: World) -> None:
    """An owner acquires slots, loses them to an entry that joins, and only then dispatches."""
    world.nodes["a"].hesitant = True
    world.run(2)
    Node(world, "c")


def restarted_alone(world: World) -> None:
    """The only entry is killed while it has requests, and starts again on its VM."""
    world.nodes["b"].dead = True
    world.run(60)
    world.nodes["a"].dead = True
    Node(world, "a")


def lender_left(world: World) -> None:
    """An owner leaves while its slots are on loan."""
    world.nodes["a"].busy = False
    world.run(20)
    for _ in range(20):
        world.run(1)
        world.nodes["a"].leave()


def bundles_change(world: World) -> None:
    """Bundles are staged and accepted one after another, and an entry learns of them late."""
    world.nodes["a"].slow = True
    Node(world, "c")
    for _ in range(25):
        world.staged = world.staged or world.accepted + 1
        world.run(6)


def target_stopped_beyond_loans(world: World) -> None:
    """A target is stopped while requests on borrowed slots run there, for longer than any loan."""
    Node(world, "c")
    world.run(20)
    for node in world.nodes.values():
        node.busy = node.name == "c"
    world.run(10)
    world.stopped = set(TARGETS)
    world.run(5)
    for node in world.nodes.values():
        node.busy = True
    world.run(30)
    world.stopped = set()


def target_stopped_beyond_a_removal(world: World) -> None:
    """An owner is killed and removed while a target with its requests is stopped."""
    world.stopped = set(TARGETS)
    world.run(2)
    world.nodes["b"].dead = True
    world.run(80)
    world.stopped = set()


def bundles_change_while_targets_are_stopped(world: World) -> None:
    """Bundles move slots from targets that are stopped to others of their region."""
    Node(world, "c")
    for number in range(25):
        world.staged = world.staged or world.accepted + 1
        if number % 5 == 1:
            world.stopped = set(world.rng.sample(TARGETS, 2))
        world.run(8)
    world.stopped = set()


Scenario = t.Callable[[World], None]
SCENARIOS = (
    suspended,
    split,
    newcomer_beyond_a_split,
    newcomer_and_slow_dispatch,
    restarted_alone,
    lender_left,
    bundles_change,
    target_stopped_beyond_loans,
    target_stopped_beyond_a_removal,
    bundles_change_while_targets_are_stopped,
)


class ScenarioTest(unittest.TestCase):
    """Faults that the state machine above finds only in many more runs."""

    @parameterized.expand([(scenario.__name__, scenario) for scenario in SCENARIOS])
    def test_naive_allocator_agrees(self, _name: str, scenario: Scenario) -> None:
        for seed in SEEDS:
            world = self._settled(seed)
            scenario(world)
            world.run(60)
            self.assertEqual(world.wrong, [])

    def test_platform_down(self) -> None:
        """Owners go on without interruption, and a new entry serves with slots that they lend."""
        world = self._settled(1)
        for node in world.nodes.values():
            node.cut_off = True
        newcomer = Node(world, "c")
        newcomer.cut_off = True
        world.nodes["a"].busy = False
        served = 0
        for _ in range(100):
            world.run(1)
            self.assertTrue(world.nodes["b"].lease.may_dispatch())
            served += any(request.node is newcomer for request in world.requests)
        self.assertGreater(served, 50)
        self.assertEqual(world.wrong, [])

    def test_hole_that_is_left(self) -> None:
        """A running entry that is partitioned and wrongly reported as gone: only this overloads."""
        world = self._settled(1)
        split(world)
        self.assertEqual(world.wrong, [])
        world.vms_gone_wrongly = {"a"}
        world.run(60)
        self.assertNotEqual(world.wrong, [])

    def _settled(self, seed: int) -> World:
        world = World(seed)
        Node(world, "a")
        Node(world, "b", 77.0)
        world.run(40)
        self.assertEqual(world.idle_for_good(), 0)
        return world
