"""Starts the project's processes as the deploy file says, before stand-ins."""

import asyncio
import json
import os
import random
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.rig2.store import Store

ROOT = Path(__file__).resolve().parents[2]
"""The repository."""

READY_S = 20.0
"""Time in which a process has to be ready, in seconds."""

ROLE = "edge"
"""The role of the deploy file that carries the traffic."""

BOUNDS: dict[str, Any] = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "downgradeSlackMs": 250,
    "maxStretchMs": 6000,
    "revokeStrict": False,
    "revokeMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 52,
    "quotaWindowS": 8,
    "quotaOver": 0.1,
    "quotaSlack": 140000,
    "recoveryS": 12,
    "passMs": 300,
    "reuseWindowS": 7.2,
}
"""The bounds of the sheet of the small deployment pbr-fleet."""

MEMORY_MB = 150
"""Memory of a machine of pbr-fleet, in megabytes."""

IN_TOUCH_S = BOUNDS["contactMs"] / 1000 + 1.0
"""Time after which a machine that has started is in touch, in seconds."""

CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "quota",
    "platform",
]


EXIT_NOT_RUN = 2
"""Exit code of a case that could not be played."""


class CannotRunError(Exception):
    """The case could not be run."""


class Machine:
    """One machine with one process of the project.

    Args:
        name: its name.
        ip: its loopback address.
    """

    def __init__(self, name: str, ip: str, directory: Path) -> None:
        self.name = name
        self.ip = ip
        self.settings = directory / f"{name}.toml"
        self.log = directory / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Where it takes requests of callers."""
        return self.ip, 8221

    @property
    def ready(self) -> tuple[str, int]:
        """Where it says whether it is ready."""
        return self.ip, 8224

    @property
    def pid(self) -> int:
        """The process id."""
        assert self.process is not None
        return self.process.pid

    def resident_bytes(self) -> int:
        """Return the memory that the process holds, 0 once it has ended."""
        try:
            text = Path(f"/proc/{self.pid}/statm").read_text(encoding="ascii")
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Scene:
    """Machines, the store, and the record of what was seen.

    Args:
        case: the folder of the case.
    """

    def __init__(self, case: Path) -> None:
        self.bounds = dict(BOUNDS)
        self.contracts = list(CONTRACTS)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.machines: list[Machine] = []
        self._begun = time.monotonic()
        self._record = (case / "record.txt").open("w", encoding="utf-8")
        self._directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.store = Store(self.note)
        self._store_address = ""
        self._helpers: list[asyncio.subprocess.Process] = []

    def note(self, event: str, **fields: Any) -> None:
        """Write one line to the record."""
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        at = time.monotonic() - self._begun
        self._record.write(f"{at:8.3f} {event} {shown}\n")
        self._record.flush()

    async def start_store(self) -> None:
        """Start the store."""
        self._store_address = await self.store.start(f"{self.net}.200")

    def add_machine(self, name: str) -> Machine:
        """Add a machine, whose process is not started yet."""
        ip = f"{self.net}.{10 + len(self.machines)}"
        machine = Machine(name, ip, self._directory)
        self.machines.append(machine)
        self.write_settings(machine)
        return machine

    def write_settings(self, machine: Machine) -> None:
        """Write the settings file of a machine."""
        text = _toml(
            {
                "nodeName": machine.name,
                "role": ROLE,
                "machineClass": "front",
                "serves": ["front"],
                "ipAddr": machine.ip,
                "zone": "nw-a",
                "region": "north-west",
                "internalPorts": [7600, 7615],
                "seeds": [],
                "bootstrap": True,
                "faultCounted": False,
                "discovery": "platform",
                "entry": "vip",
                "heartbeatMs": 1200,
                "contracts": self.contracts,
                "zones": {"nw-a": "north-west"},
                "listen": {
                    "front": f"{machine.ip}:8221",
                    "readyAddr": f"{machine.ip}:8224",
                },
                "limits": {
                    "cpuShare": 0.537,
                    "cores": 2,
                    "memoryMb": MEMORY_MB,
                    "maxFds": 4200,
                    "linkMbps": 1000.0,
                    "diskMb": 0,
                },
                "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
                "contractBounds": self.bounds,
                "platformSettings": {
                    "address": self._store_address,
                    "form": "kv",
                    "writesPerS": 400,
                    "readsPerS": 2000,
                    "historyS": 20,
                    "valueBytes": 1048576,
                    "ttlMinMs": 1000,
                },
            }
        )
        machine.settings.write_text(text, encoding="utf-8")

    async def start(self, machine: Machine) -> None:
        """Start the process of a machine with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        words = deploy["roles"][ROLE]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "HEMLOCKTRESTLE_SETTINGS": str(machine.settings),
        }
        with machine.log.open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.note("started", machine=machine.name, pid=machine.pid)

    async def start_helper(self, *words: str) -> asyncio.StreamReader:
        """Start a stand-in in a process of its own; return what it prints."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *words, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        self._helpers.append(process)
        assert process.stdout is not None
        return process.stdout

    async def is_ready(self, machine: Machine) -> bool:
        """Ask a machine whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*machine.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.startswith(b"HTTP/1.1 200")

    async def await_ready(self, *machines: Machine) -> None:
        """Wait until machines are ready, and then until they are in touch.

        Raises:
            CannotRunError: one is not ready in time.
        """
        until = time.monotonic() + READY_S
        for machine in machines:
            while not await self.is_ready(machine):
                if time.monotonic() >= until:
                    raise CannotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
            self.note("ready", machine=machine.name)
        await asyncio.sleep(IN_TOUCH_S)

    async def end(self) -> None:
        """End all processes that were started, and keep their logs."""
        started = [machine.process for machine in self.machines]
        for process in [*self._helpers, *started]:
            if process is not None and process.returncode is None:
                process.kill()
            if process is not None:
                await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self._directory)
        else:
            for path in self._directory.iterdir():
                path.unlink()
            self._directory.rmdir()
        self._record.close()


def run_case(play: Callable[[Scene], Awaitable[bool]]) -> None:
    """Play a case, whose folder is the first argument, and exit.

    The code is 0 if the rule held, 1 if it was broken, 2 if it could not be played.
    """
    code = EXIT_NOT_RUN
    try:
        code = asyncio.run(_run(Path(sys.argv[1]), play))
    except Exception:
        # Python would exit with 1, which means that the rule was broken.
        traceback.print_exc()
    sys.exit(code)


async def _run(case: Path, play: Callable[[Scene], Awaitable[bool]]) -> int:
    scene = Scene(case)
    try:
        async with asyncio.timeout(110):
            await scene.start_store()
            has_held = await play(scene)
        scene.note("verdict", held=has_held)
    except (CannotRunError, OSError, TimeoutError) as error:
        scene.note("could not run", reason=repr(error))
        return EXIT_NOT_RUN
    finally:
        await scene.end()
    return 0 if has_held else 1


def _toml(document: dict[str, Any]) -> str:
    tables = [(name, found) for name, found in document.items() if _is_table(found)]
    plain = [item for item in document.items() if not _is_table(item[1])]
    lines = [f"{name} = {json.dumps(found)}" for name, found in plain]
    for name, table in tables:
        lines += ["", f"[{name}]"]
        lines += [f"{key} = {json.dumps(found)}" for key, found in table.items()]
    return "\n".join([*lines, ""])


def _is_table(found: Any) -> bool:
    return isinstance(found, dict)
