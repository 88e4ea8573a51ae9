"""Processes of the system, started with the command of the deploy file."""

import json
import os
import signal
import subprocess
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio

ROOT = Path(__file__).resolve().parents[2]

READY_TIMEOUT_S = 20.0

BOUNDS = {
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
"""The bounds of the site pbr-fleet."""


def own_ip(number: int) -> str:
    """Return a loopback address that only this run uses, so that its ports are free."""
    high, low = divmod(os.getpid() % 60_000, 250)
    return f"127.{high + 1}.{low + 1}.{number + 1}"


def _toml(document: dict[str, Any]) -> str:
    plain = {k: v for k, v in document.items() if not isinstance(v, dict)}
    lines = [f"{name} = {json.dumps(value)}" for name, value in plain.items()]
    for name, table in document.items():
        if isinstance(table, dict):
            lines.append(f"[{name}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
    return "\n".join(lines) + "\n"


class Vm:
    """One machine with the process of the role ``edge``.

    Args:
        name: its name.
        number: its number, from which its address follows.
        zone: its zone.
        zones: region by zone.
        store: address of the store, as this machine reaches it.
        folder: temporary folder of the run.
        write: records what happened.
    """

    def __init__(
        self,
        name: str,
        number: int,
        zone: str,
        *,
        zones: dict[str, str],
        store: str,
        folder: Path,
        write: Callable[..., None],
    ) -> None:
        self.name = name
        self.ip = own_ip(number)
        self.zone = zone
        self.front = f"{self.ip}:8221"
        self.ready = f"{self.ip}:8224"
        self.process: trio.Process | None = None
        self.started_s = 0.0
        self._folder = folder
        self._write = write
        self._path = folder / f"{name}.toml"
        document = {
            "nodeName": name,
            "role": "edge",
            "machineClass": "front",
            "serves": ["front"],
            "ipAddr": self.ip,
            "zone": zone,
            "region": zones[zone],
            "internalPorts": [7600, 7615],
            "seeds": [],
            "bootstrap": True,
            "faultCounted": False,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "zones": zones,
            "listen": {"front": self.front, "readyAddr": self.ready},
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 150,
                "maxFds": 4200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "contractBounds": BOUNDS,
            "platformSettings": {
                "address": store,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
        self._path.write_text(_toml(document), encoding="utf-8")

    async def start(self) -> None:
        """Start the process and wait until it says that it is ready."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await trio.lowlevel.open_process(
            deploy["roles"]["edge"]["run"].split(),
            cwd=ROOT,
            env={
                **environment,
                "PYTHONPATH": str(ROOT / "target/deps"),
                "HEMLOCKTRESTLE_SETTINGS": str(self._path),
            },
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.started_s = trio.current_time()
        self._write("process_started", vm=self.name)
        with trio.fail_after(READY_TIMEOUT_S):
            while await self.asks_ready() != 200:
                await trio.sleep(0.1)
        self._write("process_ready", vm=self.name)

    async def asks_ready(self) -> int:
        """Ask as the platform does; return the status, 0 if there is no answer."""
        host, port = self.ready.split(":")
        try:
            with trio.fail_after(1.0):
                stream = await trio.open_tcp_stream(host, int(port))
                async with stream:
                    await stream.send_all(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
                    answer = bytes(await stream.receive_some(4096))
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            return 0
        words = answer.split()
        return int(words[1]) if len(words) > 1 else 0

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._write("signal", vm=self.name, signal=number.name)
        self.process.send_signal(number)

    async def restart(self, number: signal.Signals) -> None:
        """End the process with a signal, and start it again after a short delay."""
        assert self.process is not None
        self.send(number)
        await self.process.wait()
        self._write("process_ended", vm=self.name)
        await trio.sleep(0.5)
        await self.start()

    async def end(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
