"""Rewrites the golden files; see the package docstring."""

from functools import partial

import trio.testing

from tests.golden.sessions import FOLDER, SESSIONS, run_session


def main() -> None:
    """Play every session and write its file."""
    for path in FOLDER.glob("*.txt"):
        path.unlink()
    for name in SESSIONS:
        clock = trio.testing.MockClock(autojump_threshold=0)
        text = trio.run(partial(run_session, name), clock=clock)
        (FOLDER / f"{name}.txt").write_bytes(text)


if __name__ == "__main__":
    main()
