"""Promise 8: accepted settings are in force everywhere, and never an older one."""

import json

import trio

from hemlocktrestle.errors import RequestError
from hemlocktrestle.ports import Put
from hemlocktrestle.treestore import HEAD_KEY, change_key, recover_tree
from tests.support import TrioTestCase
from tests.support._revisions import revision_decreases
from tests.support._tree_net import TreeNet

GOAL_S = 3.0
BOUND_S = 12.0
ZONES = {"a": ("a1", "a2", "a3", "a4"), "b": ("b1", "b2", "b3")}
OUTAGE_S = 100.0


class SettingsCase(TrioTestCase):
    """Runs two zones, and checks in the end that no revision ever fell."""

    async def started(self, nursery: trio.Nursery, *names: str) -> TreeNet:
        """Return running VMs with one change in force."""
        net = TreeNet(ZONES)
        await net.propose(weight=1.0)
        await net.start(nursery, *names)
        await net.until_in_force(1)
        return net

    def end(self, net: TreeNet, nursery: trio.Nursery) -> None:
        """Check the revisions of all VMs, and stop."""
        self.assertEqual([], revision_decreases(net.revisions))
        nursery.cancel_scope.cancel()


class SpreadTests(SettingsCase):
    """A change reaches every VM, through few watches."""

    async def test_two_vms_of_each_zone_watch(self) -> None:
        """The others hear of changes from them, within the goal."""
        async with trio.open_nursery() as nursery:
            net = await self.started(nursery)
            for zone, names in ZONES.items():
                watching = [n for n in names if net.vms[n].store.watch_count]
                self.assertEqual(2, len(watching), zone)
            for revision in range(2, 6):
                await net.propose(weight=float(revision))
                self.assertLess(await net.until_in_force(revision), GOAL_S)
            self.end(net, nursery)

    async def test_a_killed_relay(self) -> None:
        """Relays die in the moment of a change, one after the other."""
        async with trio.open_nursery() as nursery:
            net = await self.started(nursery)
            for revision in range(2, 4):
                relay = next(n for n in ZONES["a"] if n in net.vms and _watches(net, n))
                await net.propose(weight=float(revision))
                net.kill(relay)
                self.assertLess(await net.until_in_force(revision), BOUND_S)
            self.end(net, nursery)

    async def test_both_relays_killed(self) -> None:
        """A zone that loses both relays at once chooses others."""
        async with trio.open_nursery() as nursery:
            net = await self.started(nursery)
            for relay in [n for n in ZONES["a"] if _watches(net, n)]:
                net.kill(relay)
            await net.propose(weight=2.0)
            self.assertLess(await net.until_in_force(2), BOUND_S)
            self.end(net, nursery)

    async def test_a_store_that_was_down_for_long(self) -> None:
        """What was in force stays so, and the next change arrives in time."""
        async with trio.open_nursery() as nursery:
            net = await self.started(nursery)
            net.store.set_down(True)
            await trio.sleep(OUTAGE_S)
            self.assertEqual({1}, set(net.in_force().values()))
            net.store.set_down(False)
            await net.propose(weight=2.0)
            self.assertLess(await net.until_in_force(2), BOUND_S)
            self.end(net, nursery)

    async def test_a_zone_cut_from_the_store_alone(self) -> None:
        """It gets changes through a link to another zone, within the goal."""
        async with trio.open_nursery() as nursery:
            net = await self.started(nursery)
            net.cut_from_store("a")
            await trio.sleep(30)
            await net.propose(weight=2.0)
            self.assertLess(await net.until_in_force(2), GOAL_S)
            self.end(net, nursery)

    async def test_a_zone_cut_off_and_healed(self) -> None:
        """The rest goes on; the zone keeps its tree and catches up when healed."""
        async with trio.open_nursery() as nursery:
            net = await self.started(nursery)
            net.cut_zone("a")
            for revision in range(2, 5):
                await net.propose(weight=float(revision))
            self.assertLess(await net.until_in_force(4, *ZONES["b"]), GOAL_S)
            await trio.sleep(OUTAGE_S)
            self.assertEqual({1}, {net.in_force()[name] for name in ZONES["a"]})
            net.cut_zone("a", is_cut=False)
            self.assertLess(await net.until_in_force(4), BOUND_S)
            self.end(net, nursery)


class BootTests(SettingsCase):
    """A VM that starts while the store is down."""

    async def test_beside_a_stale_peer(self) -> None:
        """It waits for every VM of its zone, and takes the highest revision."""
        async with trio.open_nursery() as nursery:
            net = await self.started(nursery, "a1", "a2", "b1")
            stale, fresh = "a1", "a2"
            net.cut_zone("a")
            net.cut_links.add(frozenset((stale, fresh)))
            net.vms[fresh].store.is_cut = False
            await net.propose(weight=2.0)
            await net.until_in_force(2, fresh)
            net.vms[fresh].store.is_cut = True
            net.cut_links |= {frozenset(("a3", fresh)), frozenset(("a4", fresh))}
            booted = net.boot("a3", is_cut_from_store=True)
            net.boot("a4", is_cut_from_store=True)
            await trio.sleep(60)
            self.assertEqual(1, net.vms[stale].tree.state.revision)
            self.assertEqual(1, booted.tree.local_tree.known.revision)
            self.assertEqual(0, booted.tree.state.revision)
            net.cut_links.discard(frozenset(("a3", fresh)))
            self.assertLess(await net.until_in_force(2, "a3"), BOUND_S)
            self.end(net, nursery)

    async def test_with_no_list_and_no_store(self) -> None:
        """Without the list it does not know whom to wait for, so it waits."""
        async with trio.open_nursery() as nursery:
            net = await self.started(nursery, "a1", "a2")
            net.store.set_down(True)
            booted = net.boot("a3")
            booted.has_listing = False
            await trio.sleep(60)
            self.assertEqual(0, booted.tree.state.revision)
            self.end(net, nursery)

    async def test_with_the_store(self) -> None:
        """With the store it needs nobody."""
        async with trio.open_nursery() as nursery:
            net = await self.started(nursery, "a1")
            self.assertEqual({"a1": 1}, net.in_force())
            self.end(net, nursery)


class OlderStoreTests(SettingsCase):
    """The store comes back from an older copy."""

    async def _restored(self, nursery: trio.Nursery) -> TreeNet:
        net = await self.started(nursery)
        old = (net.store.revision, dict(net.store.items))
        for revision in range(2, 5):
            await net.propose(weight=float(revision))
        await net.until_in_force(4)
        net.store.restore(*old)
        return net

    def _problems(self, net: TreeNet) -> set[str]:
        return {
            vm.tree.status()["store_problem"]
            for vm in net.vms.values()
            if vm.tree.is_relay
        }

    async def test_nobody_falls_and_status_shows_it(self) -> None:
        """What was in force stays so; relays say that the store is older."""
        async with trio.open_nursery() as nursery:
            net = await self._restored(nursery)
            await trio.sleep(30)
            self.assertEqual({4}, set(net.in_force().values()))
            self.assertEqual({"older"}, self._problems(net))
            self.end(net, nursery)

    async def test_recovery_goes_on_from_the_newest(self) -> None:
        """After it the store holds the newest tree, and changes spread again."""
        async with trio.open_nursery() as nursery:
            net = await self._restored(nursery)
            await trio.sleep(30)
            newest = net.vms["a1"].tree.state
            change = await recover_tree(
                net.store, newest, author="op", new_id=net.new_id, wall_ms=0
            )
            self.assertEqual(5, change.revision)
            self.assertLess(await net.until_in_force(5), BOUND_S)
            self.assertEqual(4.0, net.vms["b1"].tree.state.root["rules"]["weight"])
            self.assertEqual({""}, self._problems(net))
            await net.propose(weight=6.0)
            self.assertLess(await net.until_in_force(6), GOAL_S)
            self.end(net, nursery)

    async def test_writes_on_top_of_it_are_not_taken_for_newer(self) -> None:
        """A history that forks below what is in force is refused."""
        async with trio.open_nursery() as nursery:
            net = await self._restored(nursery)
            for weight in (7.0, 8.0, 9.0, 10.0):
                await net.propose(weight=weight)
            await trio.sleep(30)
            self.assertEqual({4}, set(net.in_force().values()))
            self.assertEqual({"forked"}, self._problems(net))
            newest = net.vms["a1"].tree.state
            change = await recover_tree(
                net.store, newest, author="op", new_id=net.new_id, wall_ms=0
            )
            self.assertLess(await net.until_in_force(change.revision), BOUND_S)
            self.assertEqual(4.0, net.vms["b1"].tree.state.root["rules"]["weight"])
            await net.propose(weight=6.0)
            self.assertLess(await net.until_in_force(change.revision + 1), BOUND_S)
            self.end(net, nursery)


class InvalidChangeTests(SettingsCase):
    """Something stands in the store that no tool would have written."""

    async def test_it_is_passed_over_and_ends_nothing(self) -> None:
        """VMs keep what they have, and reach the next valid tree."""
        async with trio.open_nursery() as nursery:
            net = await self.started(nursery)
            head = {"revision": 2, "lineage": "x", "change_id": "bad"}
            garbage = (b"\xff", b"[]", b'{"revision": 2}', json.dumps(head).encode())
            for value in garbage:
                puts = [Put(change_key(2), value), Put(HEAD_KEY, value)]
                await net.store.write([], puts)
                await trio.sleep(8)
                self.assertEqual({1}, set(net.in_force().values()))
            state = net.vms["a1"].tree.state
            head = {"revision": 1, "lineage": state.lineage, "change_id": "id2"}
            puts = [Put(change_key(2), None), Put(HEAD_KEY, json.dumps(head).encode())]
            await net.store.write([], puts)
            await net.propose(weight=3.0)
            self.assertLess(await net.until_in_force(2), BOUND_S)
            self.end(net, nursery)

    async def test_an_invalid_change_is_not_accepted(self) -> None:
        """The writer refuses it, and the store stays as it was."""
        net = TreeNet(ZONES)
        await net.propose(weight=1.0)
        before = dict(net.store.items)
        with self.assertRaises(RequestError):  # type: ignore[no-untyped-call]
            await net.propose(weight=-1.0)
        self.assertEqual(before, net.store.items)


def _watches(net: TreeNet, name: str) -> bool:
    return bool(net.vms[name].store.watch_count)
