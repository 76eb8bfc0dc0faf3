"""Slots: no target or region ever gets more than it bears, whatever happens to the entries."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.fleet import Node, World

OFFSET_BY_NAME = {"a": 0.0, "b": 5000.0, "c": -300.0, "d": 12.5}
names = st.sampled_from(sorted(OFFSET_BY_NAME))


class FleetMachine(RuleBasedStateMachine):
    """Four entries that dispatch and lend all they may, while everything happens to them."""

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
        """A new process, on the old VM while the list has it, or the paused one."""
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

    @rule(down=st.booleans())
    def platform(self, down: bool) -> None:
        for node in self.world.nodes.values():
            node.cut_off = down

    @rule(first=names, second=names)
    def part_or_join(self, first: str, second: str) -> None:
        self.world.apart ^= {frozenset((first, second))}

    @invariant()
    def naive_allocator_agrees(self) -> None:
        world = getattr(self, "world", None)
        assert world is None or not world.wrong, world.wrong


FleetTest = FleetMachine.TestCase
FleetTest.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)
