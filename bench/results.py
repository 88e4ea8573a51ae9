"""Makes docs/RESULTS.md from the entries of the users' bench in journal/."""

import json
import sys
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).parent.parent

HEAD = """# Results on the users' bench

Made by `make results` from `journal/`.
`worth` is what the bench reports before it is cut at 1; a change under 0.03 is noise.
`zero` and `one` are the marks of the site file.
Trials on scratch copies are among the scores; each line names its reason.
"""


class Score(NamedTuple):
    """One score of a site.

    Args:
        at: when it was played.
        site: the site.
        why: its reason.
        days: worth, marks and broken rules by day.
    """

    at: str
    site: str
    why: str
    days: dict[str, dict[str, Any]]

    @property
    def mean(self) -> float:
        """Mean worth over the standard days."""
        total: float = sum(day["G"] for day in self.days.values())
        return total / len(self.days)


def read_scores(folder: Path) -> list[Score]:
    """Return the whole scores among the entries of a folder, in order of time."""
    scores = []
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        if entry["cmd"] != "score" or not entry["ok"]:
            continue
        days = {
            day["name"]: day
            for day in entry["days"]
            if not day["name"].startswith("fresh")
        }
        if days:
            scores.append(Score(entry["at"][0], entry["site"], entry["why"], days))
    return scores


def page(scores: list[Score]) -> str:
    """Return the page for some scores."""
    parts = [HEAD]
    for site in sorted({score.site for score in scores}):
        rounds = [score for score in scores if score.site == site]
        names = list(rounds[0].days)
        parts.append(f"\n## {site}\n\n| round | {' | '.join(names)} | mean |")
        parts.append("|---" * (len(names) + 2) + "|")
        for mark, label in (("naive", "zero"), ("top", "one")):
            values = [rounds[0].days[name][mark] for name in names]
            parts.append(_row(label, values, [""] * len(names)))
        for score in rounds:
            days = [score.days[name] for name in names if name in score.days]
            broken = [" ".join(day["rules"]) for day in days]
            parts.append(_row(score.why, [day["G"] for day in days], broken))
    return "\n".join(parts) + "\n"


def _row(label: str, values: list[float], notes: list[str]) -> str:
    cells = [
        f"{value:.3f} {note}".strip() for value, note in zip(values, notes, strict=True)
    ]
    mean = sum(values) / len(values)
    return f"| {label} | {' | '.join(cells)} | {mean:.3f} |"


def main() -> int:
    """Write the page."""
    scores = read_scores(ROOT / "journal")
    (ROOT / "docs" / "RESULTS.md").write_text(page(scores), encoding="utf-8")
    print(f"{len(scores)} scores")
    return 0


if __name__ == "__main__":
    sys.exit(main())
