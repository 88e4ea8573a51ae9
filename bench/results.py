"""Generates docs/RESULTS.md and its plots from the benchmark entries in journal/."""

import json
import sys
from pathlib import Path
from typing import Any, NamedTuple

import matplotlib as mpl
from matplotlib.figure import Figure

ROOT = Path(__file__).parent.parent

HEAD = """# Results on the users' bench

Made by `make results` from `journal/`.
`worth` is what the bench reports before it is cut at 1; a change under 0.03 is noise.
`zero` and `one` are the marks of the site file.
Trials on scratch copies are among the scores; each line names its reason.
"""


REFERENCE_RELAY_WORTH = {
    "taa-safi": {
        "quiet-1": 0.644,
        "trouble-1": 0.420,
        "scale-1": 0.056,
        "trouble-2": 0.516,
        "scale-2": 0.057,
        "trouble-3": 0.269,
    },
    "pbr-fleet": {
        "quiet-1": 0.481,
        "trouble-1": 0.487,
        "scale-1": 0.222,
        "trouble-2": 0.455,
        "scale-2": 0.166,
        "trouble-3": 0.256,
    },
    "pbr-fleet-grown": {"quiet-1": 0.335},
    "taa-safi-grown": {"quiet-1": 0.342},
}
"""Worth of the reference relay by site and day, from the users' notes."""

DAY_PLAYS_MAX = 3
"""Latest plays of a day that the page shows."""

PLOT_SIZE_INCHES = (9.0, 4.0)
"""Width and height of a plot, in inches."""


class Score(NamedTuple):
    """One complete benchmark score of a site.

    Args:
        at: time of the run.
        site: name of the site.
        why: reason of the run, as the journal states it.
        days: worth, marks and broken rules by name of the day.
    """

    at: str
    site: str
    why: str
    days: dict[str, dict[str, Any]]

    @property
    def mean(self) -> float:
        """Mean worth over the score's days."""
        total: float = sum(day["G"] for day in self.days.values())
        return total / len(self.days)


def read_scores(folder: Path) -> list[Score]:
    """Return the complete scores among a folder's entries, ordered by file name.

    Days whose names begin with ``fresh`` are left out.
    """
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


class Play(NamedTuple):
    """One day that was played in full, by a score or alone.

    Args:
        entry_id: id of the journal's entry.
        site: name of the site.
        day: the day's figures.
    """

    entry_id: str
    site: str
    day: dict[str, Any]


PARTIAL_OPTIONS = frozenset({"--until", "--small", "--vary", "--seed", "--no-cpu"})
"""Options of a play that make its figures differ from those of a standard day."""


def read_plays(folder: Path) -> list[Play]:
    """Return the plays of standard days among a folder's entries, by file name."""
    plays = []
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        is_standard = entry["cmd"] in {"score", "run"} and entry["site"]
        if not is_standard or PARTIAL_OPTIONS & set(entry["argv"]):
            continue
        plays += [
            Play(entry["id"], entry["site"], day)
            for day in entry["days"]
            if day["name"].startswith(("quiet-", "trouble-", "scale-"))
        ]
    return plays


class FailedDay(NamedTuple):
    """A day of a score or hunt that fell short of the gate or broke a rule.

    Args:
        entry_id: id of the journal's entry.
        site: name of the site.
        commit: commit that was played.
        name: the day, with its seed.
        reasons: each broken rule and each missed figure beside its floor.
    """

    entry_id: str
    site: str
    commit: str
    name: str
    reasons: tuple[str, ...]


def read_failed_days(folder: Path) -> list[FailedDay]:
    """Return the failed days of a folder's scores and hunts, by file name."""
    failed = []
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        if entry["cmd"] not in {"score", "hunt"}:
            continue
        for day in entry["days"]:
            reasons = (*day["rules"], *day["short"])
            if reasons:
                commit = (entry.get("head") or "")[:7]
                failed.append(
                    FailedDay(entry["id"], entry["site"], commit, day["name"], reasons)
                )
    return failed


def failed_days_table(failed: list[FailedDay]) -> str:
    """Return a table of failed days."""
    rows = ["| entry | site | commit | day | failed by |", "|---|---|---|---|---|"]
    for day in failed:
        reasons = "; ".join(day.reasons)
        rows.append(
            f"| {day.entry_id} | {day.site} | {day.commit} | {day.name} | {reasons} |"
        )
    return "\n".join(rows)


def day_table(plays: list[Play]) -> str:
    """Return a table of the latest plays of each day of a site."""
    rows = [
        "| day | entry | worth | served | refused | failed | short of the gate |",
        "|---|---|---|---|---|---|---|",
    ]
    for name in sorted({play.day["name"] for play in plays}):
        latest = [play for play in plays if play.day["name"] == name]
        for play in latest[-DAY_PLAYS_MAX:]:
            figures = (play.day[key] for key in ("G", "served", "refused", "failed"))
            cells = " | ".join(f"{figure:.3f}" for figure in figures)
            short = "; ".join((*play.day["rules"], *play.day["short"]))
            rows.append(f"| {name} | {play.entry_id} | {cells} | {short} |")
    return "\n".join(rows)


def page(scores: list[Score], plays: list[Play], failed: list[FailedDay]) -> str:
    """Return the page of scores, the latest plays of each day, and failed days."""
    parts = [HEAD]
    for site in sorted({score.site for score in scores}):
        rounds = [score for score in scores if score.site == site]
        names = list(rounds[0].days)
        parts.append(f"\n## {site}\n")
        parts.append(f"![worth by day](plots/{site}-days.svg)\n")
        parts.append(f"![mean by round](plots/{site}-rounds.svg)\n")
        parts.append(f"| round | {' | '.join(names)} | mean |")
        parts.append("|---" * (len(names) + 2) + "|")
        for mark, label in (("naive", "zero"), ("top", "one")):
            values = [rounds[0].days[name][mark] for name in names]
            parts.append(_row(label, values, [""] * len(names)))
        for score in rounds:
            days = [score.days[name] for name in names if name in score.days]
            broken = [" ".join(day["rules"]) for day in days]
            parts.append(_row(score.why, [day["G"] for day in days], broken))
    parts.append("\n# Latest plays of each day\n")
    parts.append("The last three, by a score or alone; a play says what it missed.")
    for site in sorted({play.site for play in plays}):
        parts.append(f"\n## Days of {site}\n")
        parts.append(day_table([play for play in plays if play.site == site]))
    parts.append("\n# Failed days of scores and hunts\n")
    parts.append(
        "A day that falls short of the gate fails like one that breaks a rule.\n"
    )
    parts.append(failed_days_table(failed))
    return "\n".join(parts) + "\n"


def _row(label: str, values: list[float], notes: list[str]) -> str:
    cells = [
        f"{value:.3f} {note}".strip() for value, note in zip(values, notes, strict=True)
    ]
    mean = sum(values) / len(values)
    return f"| {label} | {' | '.join(cells)} | {mean:.3f} |"


def draw(site: str, rounds: list[Score], folder: Path) -> None:
    """Plot the worth by day, and the mean worth by round, of one site."""
    names = list(rounds[0].days)
    ones = [rounds[0].days[name]["top"] for name in names]
    relay = [
        REFERENCE_RELAY_WORTH.get(site, {}).get(name, float("nan")) for name in names
    ]
    figure = Figure(figsize=PLOT_SIZE_INCHES, layout="constrained")
    axes = figure.add_subplot()
    lines = (
        ("reference relay", relay, "s:"),
        ("mark one", ones, "k--"),
        ("first score", _worth(rounds[0], names), "o-"),
        ("last score", _worth(rounds[-1], names), "D-"),
    )
    for label, values, style in lines:
        axes.plot(names, values, style, label=label)
    _save_plot(figure, f"{site}: worth by day", folder / f"{site}-days.svg")
    figure = Figure(figsize=PLOT_SIZE_INCHES, layout="constrained")
    axes = figure.add_subplot()
    numbers = range(1, len(rounds) + 1)
    axes.plot(numbers, [score.mean for score in rounds], "o-", label="mean worth")
    axes.axhline(sum(ones) / len(ones), color="k", ls="--", label="mean of marks one")
    axes.set_xlabel("score, trials among them")
    _save_plot(figure, f"{site}: mean worth by round", folder / f"{site}-rounds.svg")


def _worth(score: Score, names: list[str]) -> list[float]:
    return [score.days[name]["G"] if name in score.days else 0.0 for name in names]


def _save_plot(figure: Figure, title: str, path: Path) -> None:
    axes = figure.axes[0]
    axes.set_title(title)
    axes.set_ylim(bottom=0)
    axes.grid(visible=True, alpha=0.3)
    axes.legend()
    # No date here, and the fixed hash salt, make the file reproducible.
    figure.savefig(path, metadata={"Date": None})


def main() -> int:
    """Write the page and its plots."""
    mpl.rcParams["svg.hashsalt"] = "hemlocktrestle"
    scores = read_scores(ROOT / "journal")
    plots = ROOT / "docs" / "plots"
    plots.mkdir(exist_ok=True)
    for site in sorted({score.site for score in scores}):
        draw(site, [score for score in scores if score.site == site], plots)
    journal = ROOT / "journal"
    (ROOT / "docs" / "RESULTS.md").write_text(
        page(scores, read_plays(journal), read_failed_days(journal)), encoding="utf-8"
    )
    print(f"{len(scores)} scores")
    return 0


if __name__ == "__main__":
    sys.exit(main())
