"""Mutants: each disables one mechanism, to show that the tests of it then fail.

The modules of this package register mutants with the decorator; :func:`load`
imports all of them.
The variable ``TRESTLE_MUTANT`` names the mutant to apply to a test run.
"""

import importlib
import os
import pkgutil
from collections.abc import Callable

MUTANT_VARIABLE = "TRESTLE_MUTANT"

Apply = Callable[[], None]
MUTANTS: dict[str, Apply] = {}


def mutant(name: str) -> Callable[[Apply], Apply]:
    """Register a function that disables one mechanism in this process."""

    def register(apply: Apply) -> Apply:
        MUTANTS[name] = apply
        return apply

    return register


def load() -> dict[str, Apply]:
    """Import every module of the package and return all mutants by name."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f"{__name__}.{module.name}")
    return MUTANTS


def apply_from_environment() -> None:
    """Apply the mutant that the environment names, if any."""
    name = os.environ.get(MUTANT_VARIABLE)
    if name:
        load()[name]()
