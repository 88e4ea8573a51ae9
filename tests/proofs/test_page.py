"""Tests of the generated page docs/PROOFS.md."""

from testtools import TestCase

from tests.mutants import load
from tests.proofs.__main__ import PAGE, page_text, read_proofs


class ProofsPageTests(TestCase):
    """The page matches the proofs' files."""

    def test_the_page_is_made_from_the_files(self) -> None:
        """The committed page equals the generated one."""
        self.assertEqual(page_text(), PAGE.read_text())

    def test_every_named_mutant_exists(self) -> None:
        """No proof names a mutant that is not registered."""
        named = {name for proof in read_proofs() for name in proof["mutants"]}
        self.assertEqual(set(), named - set(load()))
