"""Promise 8: accepted settings come into force everywhere and never go back."""

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
    """Runs two zones, and checks at the end that no revision ever decreased."""

    async def start_net(self, nursery: trio.Nursery, *names: str) -> TreeNet:
        """Return running VMs with one change in force."""
        net = TreeNet(ZONES)
        await net.propose(weight=1.0)
        await net.start(nursery, *names)
        await net.until_in_force(1)
        return net

    def finish(self, net: TreeNet, nursery: trio.Nursery) -> None:
        """Check the revisions of all VMs, and stop them."""
        self.assertEqual([], revision_decreases(net.revisions))
        nursery.cancel_scope.cancel()


class SpreadTests(SettingsCase):
    """A change reaches every VM with few watches of the store."""

    async def test_two_vms_of_each_zone_watch(self) -> None:
        """The other VMs get changes from the relays, within ``GOAL_S``."""
        async with trio.open_nursery() as nursery:
            net = await self.start_net(nursery)
            for zone, names in ZONES.items():
                watching = [n for n in names if net.vms[n].store.watch_count]
                self.assertEqual(2, len(watching), zone)
            for revision in range(2, 6):
                await net.propose(weight=float(revision))
                self.assertLess(await net.until_in_force(revision), GOAL_S)
            self.finish(net, nursery)

    async def test_a_killed_relay(self) -> None:
        """A change arrives although a relay is killed at that moment."""
        async with trio.open_nursery() as nursery:
            net = await self.start_net(nursery)
            for revision in range(2, 4):
                relay = next(n for n in ZONES["a"] if n in net.vms and _watches(net, n))
                await net.propose(weight=float(revision))
                net.kill(relay)
                self.assertLess(await net.until_in_force(revision), BOUND_S)
            self.finish(net, nursery)

    async def test_both_relays_killed(self) -> None:
        """A zone that loses both relays at once elects others."""
        async with trio.open_nursery() as nursery:
            net = await self.start_net(nursery)
            for relay in [n for n in ZONES["a"] if _watches(net, n)]:
                net.kill(relay)
            await net.propose(weight=2.0)
            self.assertLess(await net.until_in_force(2), BOUND_S)
            self.finish(net, nursery)

    async def test_a_store_that_was_down_for_long(self) -> None:
        """The settings stay in force in the outage, and the next change arrives."""
        async with trio.open_nursery() as nursery:
            net = await self.start_net(nursery)
            net.store.set_down(True)
            await trio.sleep(OUTAGE_S)
            self.assertEqual({1}, set(net.in_force().values()))
            net.store.set_down(False)
            await net.propose(weight=2.0)
            self.assertLess(await net.until_in_force(2), BOUND_S)
            self.finish(net, nursery)

    async def test_a_zone_cut_from_the_store_alone(self) -> None:
        """A zone without the store gets changes from another one, within ``GOAL_S``."""
        async with trio.open_nursery() as nursery:
            net = await self.start_net(nursery)
            net.cut_from_store("a")
            await trio.sleep(30)
            await net.propose(weight=2.0)
            self.assertLess(await net.until_in_force(2), GOAL_S)
            self.finish(net, nursery)

    async def test_a_zone_cut_off_and_healed(self) -> None:
        """A zone that is cut off keeps its tree, and catches up after the cut."""
        async with trio.open_nursery() as nursery:
            net = await self.start_net(nursery)
            net.cut_zone("a")
            for revision in range(2, 5):
                await net.propose(weight=float(revision))
            self.assertLess(await net.until_in_force(4, *ZONES["b"]), GOAL_S)
            await trio.sleep(OUTAGE_S)
            self.assertEqual({1}, {net.in_force()[name] for name in ZONES["a"]})
            net.cut_zone("a", is_cut=False)
            self.assertLess(await net.until_in_force(4), BOUND_S)
            self.finish(net, nursery)


class BootTests(SettingsCase):
    """A VM that starts while the store is down."""

    async def test_beside_a_stale_peer(self) -> None:
        """A starting VM waits for every VM of its zone, and uses the newest tree."""
        async with trio.open_nursery() as nursery:
            net = await self.start_net(nursery, "a1", "a2", "b1")
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
            self.finish(net, nursery)

    async def test_with_no_list_and_no_store(self) -> None:
        """Without the list a VM does not know its peers, and puts no tree in force."""
        async with trio.open_nursery() as nursery:
            net = await self.start_net(nursery, "a1", "a2")
            net.store.set_down(True)
            booted = net.boot("a3")
            booted.has_listing = False
            await trio.sleep(60)
            self.assertEqual(0, booted.tree.state.revision)
            self.finish(net, nursery)

    async def test_with_the_store(self) -> None:
        """With the store a VM needs no peers."""
        async with trio.open_nursery() as nursery:
            net = await self.start_net(nursery, "a1")
            self.assertEqual({"a1": 1}, net.in_force())
            self.finish(net, nursery)


class OlderStoreTests(SettingsCase):
    """The store is restored from an older copy."""

    async def _restored(self, nursery: trio.Nursery) -> TreeNet:
        net = await self.start_net(nursery)
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
        """The newer tree stays in force, and relays report that the store is older."""
        async with trio.open_nursery() as nursery:
            net = await self._restored(nursery)
            await trio.sleep(30)
            self.assertEqual({4}, set(net.in_force().values()))
            self.assertEqual({"older"}, self._problems(net))
            self.finish(net, nursery)

    async def test_recovery_goes_on_from_the_newest(self) -> None:
        """After recovery the store has the newest tree, and changes arrive again."""
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
            self.finish(net, nursery)

    async def test_writes_on_top_of_it_are_not_taken_for_newer(self) -> None:
        """A history that forks before the revision in force is refused."""
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
            self.finish(net, nursery)


class InvalidChangeTests(SettingsCase):
    """The store contains a value that no tool would have written."""

    async def test_it_is_passed_over_and_ends_nothing(self) -> None:
        """VMs keep their tree, and apply the next valid one."""
        async with trio.open_nursery() as nursery:
            net = await self.start_net(nursery)
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
            self.finish(net, nursery)

    async def test_an_invalid_change_is_not_accepted(self) -> None:
        """The writer refuses an invalid change, and the store is unchanged."""
        net = TreeNet(ZONES)
        await net.propose(weight=1.0)
        before = dict(net.store.items)
        with self.assertRaises(RequestError):  # type: ignore[no-untyped-call]
            await net.propose(weight=-1.0)
        self.assertEqual(before, net.store.items)


def _watches(net: TreeNet, name: str) -> bool:
    return bool(net.vms[name].store.watch_count)
