"""A scenario of a request and its resends, repeated with a fault at each step.

The caller sends through v1, at once again through v2 of the same zone, later through
v3 of another zone, and finally through v2.
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
SEND_TIMES = ((0.0, "v1"), (0.004, "v2"), (6.0, "v3"), (16.0, "v2"))
"""Times at which the caller sends, in seconds, and the VMs that it sends through."""

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


class RequestSpec(NamedTuple):
    """The request of a scenario; ``key`` creates its key before it is first sent."""

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
    """Return a function that creates a key by issuing a ticket of a VM."""
    return lambda world: world.vms[vm].tickets.issue("clinics", 1)[0]


WIPE = RequestSpec("/services/ledger/w", b'{"lamp": 7}', "ledger", lambda world: KEY)
KEYED_CHAT = RequestSpec(
    "/v1/chat/completions", chat_body("one"), "assistant", lambda world: KEY
)
TICKETED_CHAT = KEYED_CHAT._replace(key=ticket_of("v2"))
STREAMED_CHAT = KEYED_CHAT._replace(body=chat_body("one", is_stream=True))
PLAIN_CHAT = KEYED_CHAT._replace(key=lambda world: None)


class Scenario:
    """One run: the world, the answers in order, and a description of the fault."""

    def __init__(self, spec: RequestSpec, fault: str) -> None:
        self.spec = spec
        self.fault = fault
        self.world = World(
            vms={"v1": "z1", "v2": "z1", "v3": "z2"}, upstreams=ENGINES + LEDGERS
        )
        self.answers: list[Answer] = []
        self.first_call_scope = trio.CancelScope()
        self.key: str | None = None

    async def run(self, inject: "Inject") -> None:
        """Run the scenario once."""
        async with trio.open_nursery() as nursery:
            await self.world.start(nursery)
            self.key = self.spec.key(self.world)
            inject(self)
            async with trio.open_nursery() as callers:
                for at_s, vm in SEND_TIMES:
                    scope = self.first_call_scope if not at_s else trio.CancelScope()
                    callers.start_soon(self._send, at_s, vm, scope)
            nursery.cancel_scope.cancel()

    async def send(self, vm: str, *, caller: str = "wiper") -> Answer:
        """Send once through a VM."""
        headers = {"x_request_deadline_ms": str(DEADLINE_MS)}
        if self.key is not None:
            headers["idempotency_key"] = self.key
        answer = await self.world.call(
            vm, self.spec.target, self.spec.body, caller=caller, **headers
        )
        self.answers.append(answer)
        return answer

    async def _send(self, at_s: float, vm: str, scope: trio.CancelScope) -> None:
        with scope:
            await trio.sleep(at_s)
            await self.send(vm)

    @property
    def dispatch_count(self) -> int:
        """How often the request reached an upstream."""
        return len(self.world.upstreams.dispatches)

    def kill(self, *names: str) -> None:
        """Kill those VMs that are still running."""
        for name in names:
            if name in self.world.vms:
                self.world.vms[name].kill()

    def scheduler(self) -> str:
        """Return the VM of zone z1 that schedules the request's pool."""
        membership = self.world.vms["v3"].membership
        scheduler = membership.scheduler_of(self.spec.pool, "z1", self.world.now_ms())
        assert scheduler is not None
        return scheduler

    def violations(self) -> list[str]:
        """Return the violations of the promises in this run."""
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


Inject = Callable[[Scenario], None]


def no_fault(scenario: Scenario) -> None:
    """Inject nothing."""


def run_scenario(spec: RequestSpec, inject: Inject, fault: str) -> Scenario:
    """Run one scenario in virtual time."""
    scenario = Scenario(spec, fault)
    run_virtual(partial(scenario.run, inject))
    return scenario


def kill_requester(scenario: Scenario) -> None:
    """Kill the VM that received the first request."""
    scenario.kill("v1")


def pause_requester(scenario: Scenario, *, pause_s: float) -> None:
    """Pause the VM that received the first request."""
    scenario.world.steps.pause("v1", pause_s)


def reboot(scenario: Scenario, *, vm: str) -> None:
    """Kill a VM and start it again under the same name."""
    scenario.kill(vm)
    scenario.world.boot(vm)


def cut_zones(scenario: Scenario) -> None:
    """Cut all links between the zones."""
    scenario.world.cut_links |= {frozenset(("v1", "v3")), frozenset(("v2", "v3"))}


def take_store_down(scenario: Scenario) -> None:
    """Take the store down for ``OUTAGE_S``."""
    scenario.world.store.set_down(True)
    trio.lowlevel.spawn_system_task(_end_outage, scenario)


async def _end_outage(scenario: Scenario) -> None:
    await trio.sleep(OUTAGE_S)
    scenario.world.store.set_down(False)


FAULTS: dict[str, Inject] = {
    "requester killed": kill_requester,
    "requester reboots": partial(reboot, vm="v1"),
    "second VM reboots": partial(reboot, vm="v2"),
    "second VM killed": lambda scenario: scenario.kill("v2"),
    "requester paused past its permit": partial(pause_requester, pause_s=2.0),
    "requester paused past its deadline": partial(pause_requester, pause_s=5.0),
    "zones cut": cut_zones,
    "outage": take_store_down,
    "caller gone": lambda scenario: scenario.first_call_scope.cancel(),
}
"""Faults that can be injected at a step, by name."""


def with_faults_at_random(spec: RequestSpec, *, seed: int, runs: int) -> list[Scenario]:
    """Run with three faults at random steps and unreliable links and store."""
    print(f"seed {seed}")
    step_count = len(run_scenario(spec, no_fault, "none").world.steps.names)
    scenarios = []
    for run in range(runs):
        rng = random.Random(f"{seed}/{run}")
        chosen = {
            rng.randint(1, step_count): rng.choice(list(FAULTS)) for _ in range(3)
        }
        inject = partial(_inject_at_random, chosen=chosen, rng=rng)
        scenarios.append(run_scenario(spec, inject, f"seed {seed} run {run}: {chosen}"))
    return scenarios


def _inject_at_random(
    scenario: Scenario, *, chosen: dict[int, str], rng: random.Random
) -> None:
    for number, name in chosen.items():
        scenario.world.steps.arm(number, partial(FAULTS[name], scenario))
    scenario.world.link_fault = lambda number, message: rng.choice(
        ((LINK_S,), (LINK_S,), (LINK_S,), (), (LINK_S, 3 * LINK_S), (1.5,))
    )
    scenario.world.store.fault = lambda call, number: rng.choice(
        (StoreFault.NONE,) * 3 + (StoreFault.LOST_CALL, StoreFault.LOST_ANSWER)
    )


def at_each_step(spec: RequestSpec, name: str, act: Inject) -> list[Scenario]:
    """Run the scenario once for each of its steps, with an action at that step."""
    step_count = len(run_scenario(spec, no_fault, "none").world.steps.names)
    scenarios = []
    for number in range(1, step_count + 1):

        def inject(scenario: Scenario, number: int = number) -> None:
            scenario.world.steps.arm(number, partial(act, scenario))

        scenarios.append(run_scenario(spec, inject, f"{name} at step {number}"))
    return scenarios


def at_each_message(
    spec: RequestSpec, name: str, delays_s: tuple[float, ...]
) -> list[Scenario]:
    """Run once for each message between VMs; it is delivered with these delays."""
    message_count = run_scenario(spec, no_fault, "none").world.message_count
    scenarios = []
    for number in range(1, message_count + 1):

        def fault(
            count: int, message: Message, number: int = number
        ) -> tuple[float, ...]:
            return delays_s if count == number else (LINK_S,)

        def inject(
            scenario: Scenario,
            fault: Callable[[int, Message], tuple[float, ...]] = fault,
        ) -> None:
            scenario.world.link_fault = fault

        scenarios.append(run_scenario(spec, inject, f"{name} message {number}"))
    return scenarios


def at_each_store_call(
    spec: RequestSpec, faults: tuple[StoreFault, ...]
) -> list[Scenario]:
    """Run once for each call of the store; the faults apply from that call on."""
    call_count = len(run_scenario(spec, no_fault, "none").world.store.calls)
    scenarios = []
    for number in range(1, call_count + 1):

        def fault(call: str, count: int, number: int = number) -> StoreFault:
            index = count - number
            return faults[index] if 0 <= index < len(faults) else StoreFault.NONE

        def inject(
            scenario: Scenario, fault: Callable[[str, int], StoreFault] = fault
        ) -> None:
            scenario.world.store.fault = fault

        names = ", ".join(item.value for item in faults)
        scenarios.append(
            run_scenario(spec, inject, f"{names} from store call {number}")
        )
    return scenarios
