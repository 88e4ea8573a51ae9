"""Tests of the memory of engines as a limit beside their slots.

The load is a run of long prompts: their requests fit the slots of an engine, but
together exceed its memory, at which it crashes with all of them.
"""

from testtools import TestCase

from hemlocktrestle.scheduler import PoolScheduler, policy_named
from tests.scheduler.naive import upstream
from tests.scheduler.test_core import ask_of, granted, release_of

MEMORY_TOKENS = 1_000


class MemoryLimitTests(TestCase):
    """What an engine holds stays within its memory."""

    def scheduler(self, memory_tokens: int = MEMORY_TOKENS) -> PoolScheduler:
        """Return a scheduler of one engine with ten slots."""
        pool = PoolScheduler("assistant", policy=policy_named("time_left"))
        record = upstream("u1")._replace(slots=10, memory_tokens=memory_tokens)
        pool.set_upstreams([record], 0.0)
        return pool

    def ask(self, pool: PoolScheduler, name: str, tokens: int) -> list[str]:
        """Ask for a permit; return the requests that got one."""
        ask = ask_of(name, prompt_tokens=tokens - 10, output_tokens=10)
        return granted(pool.enqueue("v1", ask, 0.0))

    def test_long_prompts_wait_for_memory(self) -> None:
        pool = self.scheduler()
        self.assertEqual(["1"], self.ask(pool, "1", 600))
        self.assertEqual([], self.ask(pool, "2", 600))
        self.assertEqual(["2"], granted(pool.release(release_of("1"), 1.0)))

    def test_a_short_prompt_passes_a_long_one(self) -> None:
        """Guards against free slots that nobody may use."""
        pool = self.scheduler()
        self.ask(pool, "1", 600)
        self.ask(pool, "2", 600)
        self.assertEqual(["3"], self.ask(pool, "3", 400))

    def test_a_request_larger_than_the_memory_runs_alone(self) -> None:
        """The engine refuses it, so it must not wait for ever."""
        pool = self.scheduler()
        self.assertEqual(["1"], self.ask(pool, "1", 2_000))
        self.assertEqual([], self.ask(pool, "2", 20))

    def test_without_a_stated_memory_only_slots_count(self) -> None:
        pool = self.scheduler(memory_tokens=0)
        found = [self.ask(pool, str(number), 600) for number in range(11)]
        self.assertEqual(10, sum(map(len, found)))
