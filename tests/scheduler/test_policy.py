"""Tests of policies by name."""

from testtools import TestCase

from hemlocktrestle.scheduler import (
    POLICIES,
    POLICY_DEFAULT,
    PoolScheduler,
    policy_named,
)


class PolicyTests(TestCase):
    """Named sets of registered decisions."""

    def test_every_policy_names_registered_parts(self) -> None:
        """A keeper can be made with each policy."""
        for name in POLICIES:
            scheduler = PoolScheduler("assistant", policy=policy_named(name))
            self.assertEqual(policy_named(name), scheduler.policy)

    def test_an_unknown_name_gives_the_default(self) -> None:
        """A name that this version does not know does not stop the pool."""
        self.assertEqual(policy_named(POLICY_DEFAULT), policy_named("unheard-of"))
