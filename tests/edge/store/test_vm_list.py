"""Tests of the list of VMs, and of when a relay confirms it."""

import trio

from hemlocktrestle.edge.store._registration import VmEntry
from hemlocktrestle.edge.store._vm_list import CONFIRMED_VMS_MIN, VmList
from hemlocktrestle.wire import Heartbeat
from tests.support import TrioTestCase

HERE = VmEntry("vm-1", "z1", "north", "10.0.0.1:7600", "b1", 0.5, 10.0)
RELAYS = ("vm-2", "vm-3")


def entries(count: int) -> list[VmEntry]:
    """Return the entries of a fleet of this size, with this VM."""
    return [
        HERE._replace(vm=f"vm-{number}", boot_id=f"b{number}")
        for number in range(1, count + 1)
    ]


def heartbeat(digest: int, *, age_ms: int = 0) -> Heartbeat:
    """Return the heartbeat of a VM with a list of this digest."""
    return Heartbeat(40, "", age_ms, False, vms_digest=digest)


class VmListTests(TrioTestCase):
    """A list is confirmed while a relay that the store answers has the same one."""

    def vm_list(self, count: int = CONFIRMED_VMS_MIN) -> VmList:
        """Return a list whose relays have the same entries."""
        found = VmList(HERE)
        found.replace(entries(count))
        for vm in RELAYS:
            found.on_heartbeat(vm, heartbeat(found.digest))
        return found

    async def test_the_same_list_is_confirmed(self) -> None:
        """The order in which the store lists the entries does not matter."""
        found = self.vm_list()
        self.assertTrue(found.is_confirmed(RELAYS))
        self.assertFalse(found.replace(entries(CONFIRMED_VMS_MIN)[::-1]))
        self.assertTrue(found.is_confirmed(RELAYS))

    async def test_another_list_is_not_confirmed(self) -> None:
        """A VM that joined, left or started again changes the list."""
        full = entries(CONFIRMED_VMS_MIN + 1)
        restarted = [*full[:-2], full[-2]._replace(boot_id="b")]
        for changed in (full, full[:-2], restarted):
            found = self.vm_list()
            other = VmList(HERE)
            self.assertTrue(other.replace(changed))
            for vm in RELAYS:
                found.on_heartbeat(vm, heartbeat(other.digest))
            self.assertFalse(found.is_confirmed(RELAYS))

    async def test_a_relay_that_is_cut_off_confirms_nothing(self) -> None:
        """Neither does one that is no longer heard, nor a VM that is no relay."""
        found = self.vm_list()
        for vm in RELAYS:
            found.on_heartbeat(vm, heartbeat(found.digest, age_ms=1_900))
        self.assertFalse(found.is_confirmed(RELAYS))
        found = self.vm_list()
        self.assertFalse(found.is_confirmed(("vm-4", "vm-5")))
        await trio.sleep(1.9)
        self.assertFalse(found.is_confirmed(RELAYS))

    async def test_relays_and_small_fleets_read_for_themselves(self) -> None:
        """Somebody has to read the list, and a short one costs little."""
        self.assertFalse(self.vm_list().is_confirmed(("vm-1", "vm-2")))
        self.assertFalse(self.vm_list(CONFIRMED_VMS_MIN - 1).is_confirmed(RELAYS))
