"""One story of a key and its resends, repeated with a fault at each of its steps.

The caller sends through v1, at once again through v2 of the same zone, later through
v3 of another zone, and at last through v2.
"""

import json
import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import trio

from hemlocktrestle.membership import UpstreamRecord
from hemlocktrestle.wire import Message
from tests.support import Answer, World
from tests.support._case import run_virtual
from tests.support._store import StoreFault
from tests.support._world import LINK_S

KEY = "lamp-7"
DEADLINE_MS = 4_000
OUTAGE_S = 8.0
SENDINGS = ((0.0, "v1"), (0.004, "v2"), (6.0, "v3"), (16.0, "v2"))
"""When and through which VM the caller sends, in seconds."""

ENGINES = tuple(
    UpstreamRecord(
        name, zone, "region", f"{name}:1", "engine", ("assistant",), "g", False
    )
    for name, zone in (("e1", "z1"), ("e2", "z1"), ("e3", "z2"))
)
LEDGERS = tuple(
    UpstreamRecord(name, zone, "region", f"{name}:1", "plain", ("ledger",), "g", False)
    for name, zone in (("l1", "z1"), ("l2", "z1"), ("l3", "z2"))
)


class Work(NamedTuple):
    """What the caller asks for; ``key`` makes its key before the first sending."""

    target: str
    body: bytes
    pool: str
    key: Callable[[World], str | None]


def chat_body(text: str, *, is_stream: bool = False) -> bytes:
    """Return the body of a model call."""
    message = {"role": "user", "content": text}
    fields = {"model": "assistant", "messages": [message], "max_tokens": 4}
    return json.dumps({**fields, "stream": is_stream}).encode()


def ticket_of(vm: str) -> Callable[[World], str]:
    """Return a maker of keys that are tickets of a VM."""
    return lambda world: world.vms[vm].tickets.issue("clinics", 1)[0]


WIPE = Work("/services/ledger/w", b'{"lamp": 7}', "ledger", lambda world: KEY)
KEYED_CHAT = Work(
    "/v1/chat/completions", chat_body("one"), "assistant", lambda world: KEY
)
TICKETED_CHAT = KEYED_CHAT._replace(key=ticket_of("v2"))
STREAMED_CHAT = KEYED_CHAT._replace(body=chat_body("one", is_stream=True))
PLAIN_CHAT = KEYED_CHAT._replace(key=lambda world: None)


class Story:
    """One run: the world, what each sending got, and the fault's description."""

    def __init__(self, work: Work, fault: str) -> None:
        self.work = work
        self.fault = fault
        self.world = World(
            vms={"v1": "z1", "v2": "z1", "v3": "z2"}, upstreams=ENGINES + LEDGERS
        )
        self.answers: list[Answer] = []
        self.first_scope = trio.CancelScope()
        self.key: str | None = None

    async def tell(self, inject: "Inject") -> None:
        """Run the story once."""
        async with trio.open_nursery() as nursery:
            await self.world.start(nursery)
            self.key = self.work.key(self.world)
            inject(self)
            async with trio.open_nursery() as callers:
                for at_s, vm in SENDINGS:
                    scope = self.first_scope if not at_s else trio.CancelScope()
                    callers.start_soon(self._send, at_s, vm, scope)
            nursery.cancel_scope.cancel()

    async def send(self, vm: str, *, caller: str = "wiper") -> Answer:
        """Send once through a VM."""
        headers = {"x_request_deadline_ms": str(DEADLINE_MS)}
        if self.key is not None:
            headers["idempotency_key"] = self.key
        answer = await self.world.call(
            vm, self.work.target, self.work.body, caller=caller, **headers
        )
        self.answers.append(answer)
        return answer

    async def _send(self, at_s: float, vm: str, scope: trio.CancelScope) -> None:
        with scope:
            await trio.sleep(at_s)
            await self.send(vm)

    @property
    def dispatch_count(self) -> int:
        """How often the work reached an upstream."""
        return len(self.world.upstreams.dispatches)

    def kill(self, *names: str) -> None:
        """Kill VMs that are still there."""
        for name in names:
            if name in self.world.vms:
                self.world.vms[name].kill()

    def scheduler(self) -> str:
        """Return the VM of zone z1 that keeps the work's pool."""
        membership = self.world.vms["v3"].membership
        scheduler = membership.scheduler_of(self.work.pool, "z1", self.world.now_ms())
        assert scheduler is not None
        return scheduler

    def broken(self) -> list[str]:
        """Return what of the promises this run broke."""
        dispatches = self.world.upstreams.dispatches
        ids = [dispatch.request_id for dispatch in dispatches]
        found = []
        if len(set(ids)) != len(ids):
            found.append("a request was dispatched twice")
        if self.key is not None and len(dispatches) > 1:
            found.append(f"{len(dispatches)} dispatches under one key")
        for answer in self.answers:
            request_id = answer.headers.get("x-request-id", "")
            if answer.outcome == "not-run" and request_id in ids:
                found.append(f"{request_id}: told not-run, but it was dispatched")
            if answer.outcome == "complete" and not dispatches:
                found.append("told complete, but nothing ran")
        return [f"{self.fault}: {text}" for text in found]


Inject = Callable[[Story], None]


def no_fault(story: Story) -> None:
    """Inject nothing."""


def tell(work: Work, inject: Inject, fault: str) -> Story:
    """Run one story in virtual time."""
    story = Story(work, fault)
    run_virtual(partial(story.tell, inject))
    return story


def kill_holder(story: Story) -> None:
    """Kill the VM that took the first sending."""
    story.kill("v1")


def pause_holder(story: Story, *, pause_s: float) -> None:
    """Stop the VM that took the first sending, and wake it late."""
    story.world.steps.pause("v1", pause_s)


def reboot(story: Story, *, vm: str) -> None:
    """Kill a VM and start it again under the same name."""
    story.kill(vm)
    story.world.boot(vm)


def cut_zones(story: Story) -> None:
    """Cut the zones off from each other."""
    story.world.cut_links |= {frozenset(("v1", "v3")), frozenset(("v2", "v3"))}


def outage(story: Story) -> None:
    """Take the store down for a while."""
    story.world.store.set_down(True)
    trio.lowlevel.spawn_system_task(_end_outage, story)


async def _end_outage(story: Story) -> None:
    await trio.sleep(OUTAGE_S)
    story.world.store.set_down(False)


FAULTS: dict[str, Inject] = {
    "holder killed": kill_holder,
    "holder reboots": partial(reboot, vm="v1"),
    "second VM reboots": partial(reboot, vm="v2"),
    "second VM killed": lambda story: story.kill("v2"),
    "holder paused past its permit": partial(pause_holder, pause_s=2.0),
    "holder paused past its deadline": partial(pause_holder, pause_s=5.0),
    "zones cut": cut_zones,
    "outage": outage,
    "caller gone": lambda story: story.first_scope.cancel(),
}
"""What can happen at a step, by name."""


def with_faults_at_random(work: Work, *, seed: int, runs: int) -> list[Story]:
    """Run the story with three faults at random steps and unsafe links and store."""
    print(f"seed {seed}")
    step_count = len(tell(work, no_fault, "none").world.steps.names)
    stories = []
    for run in range(runs):
        chance = random.Random(f"{seed}/{run}")
        chosen = {
            chance.randint(1, step_count): chance.choice(list(FAULTS)) for _ in range(3)
        }
        inject = partial(_inject_at_random, chosen=chosen, chance=chance)
        stories.append(tell(work, inject, f"seed {seed} run {run}: {chosen}"))
    return stories


def _inject_at_random(
    story: Story, *, chosen: dict[int, str], chance: random.Random
) -> None:
    for number, name in chosen.items():
        story.world.steps.arm(number, partial(FAULTS[name], story))
    story.world.link_fault = lambda number, message: chance.choice(
        ((LINK_S,), (LINK_S,), (LINK_S,), (), (LINK_S, 3 * LINK_S), (1.5,))
    )
    story.world.store.fault = lambda call, number: chance.choice(
        (StoreFault.NONE,) * 3 + (StoreFault.LOST_CALL, StoreFault.LOST_ANSWER)
    )


def at_each_step(work: Work, name: str, act: Inject) -> list[Story]:
    """Run the story once for each of its steps, with an action at that step."""
    step_count = len(tell(work, no_fault, "none").world.steps.names)
    stories = []
    for number in range(1, step_count + 1):

        def inject(story: Story, number: int = number) -> None:
            story.world.steps.arm(number, partial(act, story))

        stories.append(tell(work, inject, f"{name} at step {number}"))
    return stories


def at_each_message(work: Work, name: str, delays_s: tuple[float, ...]) -> list[Story]:
    """Run the story once for each message between VMs, which is lost or late."""
    message_count = tell(work, no_fault, "none").world.message_count
    stories = []
    for number in range(1, message_count + 1):

        def fault(
            count: int, message: Message, number: int = number
        ) -> tuple[float, ...]:
            return delays_s if count == number else (LINK_S,)

        def inject(
            story: Story, fault: Callable[[int, Message], tuple[float, ...]] = fault
        ) -> None:
            story.world.link_fault = fault

        stories.append(tell(work, inject, f"{name} message {number}"))
    return stories


def at_each_store_call(work: Work, faults: tuple[StoreFault, ...]) -> list[Story]:
    """Run the story once for each call of the store, from which faults follow."""
    call_count = len(tell(work, no_fault, "none").world.store.calls)
    stories = []
    for number in range(1, call_count + 1):

        def fault(call: str, count: int, number: int = number) -> StoreFault:
            index = count - number
            return faults[index] if 0 <= index < len(faults) else StoreFault.NONE

        def inject(
            story: Story, fault: Callable[[str, int], StoreFault] = fault
        ) -> None:
            story.world.store.fault = fault

        names = ", ".join(item.value for item in faults)
        stories.append(tell(work, inject, f"{names} from store call {number}"))
    return stories
