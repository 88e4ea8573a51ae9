"""The settings reference, generated from the types that validate the settings."""

from collections.abc import Iterator
from typing import Any

from pydantic import TypeAdapter

from hemlocktrestle.cli._context import Context
from hemlocktrestle.cli._edge_limits import limit_lines
from hemlocktrestle.cli._registry import command
from hemlocktrestle.daemon import VM_SETTINGS_ADAPTER
from hemlocktrestle.tree import CUSTOMER_ADAPTER, DEFAULT_RULES, ROOT_ADAPTER

PARTS: tuple[tuple[str, str, TypeAdapter[Any]], ...] = (
    ("Settings of a VM", "TOML, read at start", VM_SETTINGS_ADAPTER),
    ("The root of the tree", "JSON, in the store", ROOT_ADAPTER),
    ("A customer of the tree", "JSON, in the store", CUSTOMER_ADAPTER),
)
"""Heading, format and type adapter of each part of the settings."""

CONSTRAINTS = (
    "minimum",
    "exclusiveMinimum",
    "maximum",
    "exclusiveMaximum",
    "pattern",
    "enum",
)
"""JSON schema keywords that constrain a value."""


@command(
    "settings",
    "reference",
    help="print the reference of all settings",
    example="hemlocktrestle settings reference",
)
async def settings_reference(context: Context) -> int:
    """Print the reference, as Markdown or as JSON schemas."""
    schemas = {heading: adapter.json_schema() for heading, _, adapter in PARTS}
    context.show(schemas, reference_lines())
    return 0


def reference_lines() -> list[str]:
    """Return the lines of the settings reference, in Markdown."""
    lines = ["# Settings reference", "", "Made by `hemlocktrestle settings reference`."]
    for heading, form, adapter in PARTS:
        schema = adapter.json_schema()
        lines += ["", f"## {heading}", "", f"{form}."]
        lines += _table(schema)
        for name, part in sorted(schema.get("$defs", {}).items()):
            if "properties" in part:
                lines += ["", f"### {name}", *_description(part), *_table(part)]
    lines += ["", "## Rules in force where no node says otherwise", ""]
    lines += [f"- `{name}`: `{value}`" for name, value in DEFAULT_RULES.items()]
    return lines + limit_lines()


def _description(part: dict[str, Any]) -> Iterator[str]:
    text = part.get("description", "")
    if text:
        yield ""
        yield from text.splitlines()


def _table(part: dict[str, Any]) -> list[str]:
    required = set(part.get("required", ()))
    lines = ["", "| field | type | needed | limits |", "|---|---|---|---|"]
    for name, field in sorted(part.get("properties", {}).items()):
        needed = "yes" if name in required else "no"
        lines.append(f"| `{name}` | {_type(field)} | {needed} | {_limits(field)} |")
    return lines


def _type(field: dict[str, Any]) -> str:
    if "$ref" in field:
        return str(field["$ref"]).rpartition("/")[2]
    if "items" in field:
        return f"list of {_type(field['items'])}"
    if field.get("additionalProperties"):
        return f"table of {_type(field['additionalProperties'])}"
    if "patternProperties" in field:
        (inner,) = field["patternProperties"].values()
        return f"table of {_type(inner)}"
    return str(field.get("type", "any"))


def _limits(field: dict[str, Any]) -> str:
    found = [f"{name} `{field[name]}`" for name in CONSTRAINTS if name in field]
    return ", ".join(found).replace("|", "\\|")
