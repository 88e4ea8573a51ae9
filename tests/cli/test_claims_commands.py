"""Tests of the commands on claims."""

import json

from hemlocktrestle.claims import ClaimRegistry, OpenClaim, claim_key
from hemlocktrestle.cli.__main__ import build_parser
from hemlocktrestle.cli._context import Context
from hemlocktrestle.errors import ErrorKind, RequestError
from tests.support import FakeStore, TrioTestCase


class ClaimsCommandsTests(TrioTestCase):
    """Operators list claims of unknown outcome, and settle them."""

    def setUp(self) -> None:
        """Create an empty store, and collect the tool's output."""
        super().setUp()
        self.store = FakeStore()
        self.printed: list[str] = []

    async def run_tool(self, *words: str) -> int:
        """Run a command line against the store."""
        options = build_parser().parse_args(["--json", *words])
        context = Context(
            options,
            self.store,  # type: ignore[arg-type]
            self.printed.append,
        )
        code: int = await options.command.run(context)
        return code

    async def create_unknown_claim(self) -> str:
        """Create a claim of unknown outcome, and return its digest."""
        registry = ClaimRegistry(
            self.store, writer="v1/b1", new_id=lambda: "a1", wall_ms=lambda: 1_000
        )
        open_claim = await registry.open(
            "clinics", "k", fingerprint="f", request_id="r1", run_ms=1_000
        )
        assert isinstance(open_claim, OpenClaim)
        await registry.mark_unknown(open_claim)
        return open_claim.key.rpartition("/")[2]

    async def test_an_unknown_claim_is_listed_until_it_is_settled(self) -> None:
        """After it is settled by the caller's key, only ``--all`` lists it."""
        digest = await self.create_unknown_claim()
        await self.run_tool("claims", "list", "clinics")
        (listed,) = json.loads(self.printed[-1])
        self.assertEqual((digest, "unknown"), (listed["digest"], listed["state"]))
        code = await self.run_tool("claims", "settle", "clinics", "k", "--as", "run")
        self.assertEqual(0, code)
        await self.run_tool("claims", "list", "clinics")
        self.assertEqual([], json.loads(self.printed[-1]))
        await self.run_tool("claims", "list", "clinics", "--all")
        self.assertEqual("settled-run", json.loads(self.printed[-1])[0]["state"])

    async def test_a_claim_is_settled_by_its_digest(self) -> None:
        """A claim can be settled by its digest; as not run, it frees the key."""
        digest = await self.create_unknown_claim()
        await self.run_tool("claims", "settle", "clinics", digest, "--as", "not-run")
        self.assertNotIn(claim_key("clinics", "k"), self.store.items)

    async def test_settling_a_key_without_a_claim_fails(self) -> None:
        """Settling a key that has no claim is an error."""
        try:
            await self.run_tool("claims", "settle", "clinics", "no", "--as", "run")
        except RequestError as error:
            self.assertIs(ErrorKind.SETTINGS_INVALID, error.kind)
        else:
            self.fail("nothing was raised")
