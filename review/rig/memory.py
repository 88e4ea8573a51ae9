"""The platform's limit on the memory of a process."""

from pathlib import Path
from signal import SIGKILL

import trio

from review.rig.scene import Scene
from review.rig.vm import Vm

MEMORY_BYTES = 150 * 1024 * 1024
"""``memoryMb`` of the settings, read as the larger unit."""

CHECK_S = 0.02


async def limit_memory(scene: Scene, vm: Vm) -> None:
    """Kill the process when its private memory exceeds the limit, as the platform."""
    while True:
        used = private_bytes(vm)
        if used > MEMORY_BYTES:
            scene.write("over_memory", vm=vm.name, private_memory_kb=used // 1024)
            vm.send(SIGKILL)
            return
        await trio.sleep(CHECK_S)


def private_bytes(vm: Vm) -> int:
    """Return the memory of the process without files that it maps."""
    assert vm.process is not None
    try:
        text = Path(f"/proc/{vm.process.pid}/status").read_text("utf-8")
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024
    return 0
