"""Tests that compare each session with its golden file."""

from collections.abc import Awaitable, Callable

from tests.golden.sessions import FOLDER, SESSIONS, run_session
from tests.support import TrioTestCase


class SessionTests(TrioTestCase):
    """Each session equals its file; one test per session is added below."""

    def test_every_file_has_its_session(self) -> None:
        """Every session has a file, and every file has a session."""
        names = {path.stem for path in FOLDER.glob("*.txt")}
        self.assertEqual(set(SESSIONS), names)


def _test_of(name: str) -> Callable[[SessionTests], Awaitable[None]]:
    async def test(self: SessionTests) -> None:
        self.assertEqual((FOLDER / f"{name}.txt").read_bytes(), await run_session(name))

    test.__doc__ = f"The session {name} equals its file."
    return test


for _name in SESSIONS:
    setattr(SessionTests, f"test_{_name}", _test_of(_name))
