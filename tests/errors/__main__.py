"""Writes the table of error kinds into the callers' page.

Run ``python -m tests.errors`` after a change to the table.
"""

from pathlib import Path

from hemlocktrestle.errors import ANSWERS, MEANINGS, Outcome

PAGE = Path(__file__).parent.parent.parent / "docs" / "callers.md"
START = "<!-- kinds: made by `python -m tests.errors` -->\n"
END = "<!-- end of kinds -->\n"

SEND_AGAIN = {
    Outcome.NOT_RUN: "yes",
    Outcome.UNKNOWN: "only under the same key",
    Outcome.COMPLETE: "no",
}


def table_text() -> str:
    """Return the table of error kinds in Markdown."""
    lines = [
        "| kind | status | outcome | Retry-After | safe to send again | meaning |",
        "|---|---|---|---|---|---|",
    ]
    for kind, answer in ANSWERS.items():
        retry = "" if answer.retry_after_s is None else f"{answer.retry_after_s} s"
        lines.append(
            f"| `{kind.value}` | {answer.status} | {answer.outcome.value} | {retry} "
            f"| {SEND_AGAIN[answer.outcome]} | {MEANINGS[kind]} |"
        )
    return "\n".join(lines) + "\n"


def page_text(page: str) -> str:
    """Return the page with its table replaced by the current one."""
    before, _, rest = page.partition(START)
    after = rest.partition(END)[2]
    return before + START + table_text() + END + after


if __name__ == "__main__":
    PAGE.write_text(page_text(PAGE.read_text()))
