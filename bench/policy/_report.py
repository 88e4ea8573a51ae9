"""Renders the tables of figures, the ablations and the goals as text."""

from collections.abc import Callable, Mapping
from statistics import mean, stdev

from bench.policy._front import FRONTS
from bench.policy._run import ABLATIONS, ORACLE, OWN, Figures, ForecastErrors, Run
from bench.policy._trace import SCENARIOS

Results = Mapping[Run, Figures]
Pick = Callable[[Figures], float]

COLUMNS: tuple[tuple[str, Pick, int], ...] = (
    ("high", lambda f: f.goodput[0], 3),
    ("normal", lambda f: f.goodput[1], 3),
    ("low", lambda f: f.goodput[2], 3),
    ("wasted tokens", lambda f: f.wasted_tokens, 0),
    ("wasted share", lambda f: f.wasted_share, 3),
    ("crest", lambda f: f.peak, 3),
    ("first p50 ms", lambda f: f.first_ms[0], 0),
    ("first p95 ms", lambda f: f.first_ms[1], 0),
    ("first p99 ms", lambda f: f.first_ms[2], 0),
    ("polite", lambda f: f.polite, 3),
)


class Report:
    """The figures of all runs, by user, scenario, policy and seed."""

    def __init__(self, results: Results, seeds: tuple[int, ...]) -> None:
        self._results = results
        self._seeds = seeds

    def values(self, user: str, scenario: str, policy: str, pick: Pick) -> list[float]:
        """Return one figure for each seed."""
        runs = [Run(user, scenario, policy, seed) for seed in self._seeds]
        return [pick(self._results[run]) for run in runs]

    def line(self, user: str, scenario: str, policy: str) -> str:
        """Return one line of the table: mean and standard deviation of each column."""
        cells = []
        for _, pick, digits in COLUMNS:
            values = self.values(user, scenario, policy, pick)
            spread = stdev(values) if len(values) > 1 else 0.0
            cells.append(f"{mean(values):.{digits}f}±{spread:.{digits}f}".rjust(14))
        return f"{policy:<27}" + "".join(cells)

    def table(self, user: str, policies: list[str], scenarios: list[str]) -> list[str]:
        """Return the lines of the table of one user."""
        head = " " * 27 + "".join(name.rjust(14) for name, _, _ in COLUMNS)
        lines = []
        for scenario in scenarios:
            lines += ["", f"{user}, {scenario}", head]
            lines += [self.line(user, scenario, policy) for policy in policies]
        return lines

    def forecasts(self, user: str, scenarios: list[str]) -> list[str]:
        """Return the relative errors of the scheduler's forecasts, as table lines."""
        names = ForecastErrors._fields
        lines = [
            "",
            f"{user}: errors of forecasts",
            " " * 27 + "".join(name.rjust(14) for name in names),
        ]
        for scenario in scenarios:
            found = [
                self._results[Run(user, scenario, OWN, seed)].forecast
                for seed in self._seeds
            ]
            cells = [
                f"{mean(getattr(errors, name) for errors in found if errors):.2f}"
                for name in names
            ]
            lines.append(f"{scenario:<27}" + "".join(c.rjust(14) for c in cells))
        return lines

    def goals(self, user: str) -> list[str]:
        """Return a line for each goal: whether it is met, with the figures."""
        wasted_own = self._mean(user, "swing", OWN, lambda f: f.wasted_tokens)
        wasted_best = min(
            self._mean(user, "swing", name, lambda f: f.wasted_tokens)
            for name in FRONTS
        )
        slow = self._mean(user, "straggler", OWN, lambda f: f.first_ms[2])
        calm = self._mean(user, "calm", OWN, lambda f: f.first_ms[2])
        polite = self._mean(user, "polite", OWN, lambda f: f.polite)
        flooded = self._mean(user, "flood", OWN, lambda f: f.polite)
        lines = [
            self._oracle_goal(user, scenario.name)
            for scenario in SCENARIOS
            if scenario.name in ("swing", "overload", "calm", "straggler")
        ]
        overload = self._mean(user, "overload", OWN, lambda f: f.goodput[0])
        lines.append(
            _goal(
                user,
                "high tier within its deadline at 1.5 times capacity",
                overload,
                0.98,
                is_least=True,
            )
        )
        lines.append(
            _goal(
                user,
                "wasted prefill against the best baseline's, swing",
                wasted_own / max(1.0, wasted_best),
                0.25,
            )
        )
        lines.append(
            _goal(
                user,
                "p99 of first token with a straggler against without",
                slow / calm,
                1.5,
            )
        )
        lines.append(
            _goal(
                user,
                "share of useful answers that a polite customer loses to a flood",
                1 - flooded / polite,
                0.05,
            )
        )
        return lines

    def _oracle_goal(self, user: str, scenario: str) -> str:
        own = self._mean(user, scenario, OWN, lambda f: f.useful_count[0])
        oracle = self._mean(user, scenario, ORACLE, lambda f: f.useful_count[0])
        what = f"high-tier goodput against the oracle's, {scenario}"
        return _goal(user, what, own / oracle, 0.99, is_least=True)

    def _mean(self, user: str, scenario: str, policy: str, pick: Pick) -> float:
        return mean(self.values(user, scenario, policy, pick))


def _goal(
    user: str, what: str, value: float, bound: float, *, is_least: bool = False
) -> str:
    is_met = value >= bound if is_least else value <= bound
    sign = ">=" if is_least else "<="
    verdict = "MET" if is_met else "MISSED"
    return f"{verdict:<7}{user}: {what}: {value:.3f} (goal {sign} {bound})"


def policy_names(*, with_ablation: bool) -> list[str]:
    """Return the names of all policies to run."""
    return [OWN, ORACLE, *FRONTS, *(ABLATIONS if with_ablation else ())]
