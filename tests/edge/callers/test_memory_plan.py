"""Tests of the division of a process's memory."""

from testtools import TestCase

from hemlocktrestle.edge.callers._memory_plan import (
    CONNECTION_BYTES,
    PROCESS_BYTES,
    MemoryPlan,
)


class MemoryPlanTests(TestCase):
    """The parts fit into the whole."""

    def test_the_parts_fit_into_the_limit(self) -> None:
        """Process, bodies, input and connections take no more than there is."""
        for memory_mb in (100, 150, 300, 1_000):
            plan = MemoryPlan.of(memory_mb * 1_000_000)
            whole = PROCESS_BYTES + 2 * plan.body_bytes + plan.input_bytes
            whole += plan.connections_max * CONNECTION_BYTES
            self.assertTrue(whole <= memory_mb * 1_000_000, memory_mb)

    def test_little_memory_leaves_something(self) -> None:
        """A limit below what the process uses still serves some callers."""
        plan = MemoryPlan.of(40_000_000)
        self.assertTrue(plan.connections_max >= 10, plan)
        self.assertTrue(plan.input_bytes >= 100_000, plan)
