"""Reads the names that operators and peers rely on out of the program: `python -m tests.names.inventory [FOLDER]`.

One file for each kind of name, a name a line. The files beside this module were written by the program as it stood
before its own names were changed; `tests/test_names.py` compares.
"""

import ast
import contextlib
import io
import re
import sys
from collections.abc import Iterator
from pathlib import Path

import click

ROOT = Path(__file__).parent.parent.parent
LEVELS = {"debug", "info", "warning", "error", "exception", "critical"}
HTTP_PATH = re.compile(r"/(v\d+|internal|pb|[a-z]+)/[\w/{}.-]*")
ENVIRONMENT = re.compile(r"(RELAY|IRONFALL)_[A-Z_]+")


def program_trees() -> Iterator[ast.Module]:
    """Of all modules but the generated ones and the lab."""
    for path in sorted((ROOT / "ironfall").rglob("*.py")):
        if "generated" not in path.parts and "lab" not in path.parts:
            yield ast.parse(path.read_text())


def calls() -> Iterator[ast.Call]:
    for tree in program_trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.Call):
                yield node


def strings() -> Iterator[str]:
    for tree in program_trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                yield node.value


def event_names(argument: ast.expr) -> Iterator[str]:
    """The literal first argument of a log call; both where it depends on a condition."""
    if isinstance(argument, ast.Constant):
        yield str(argument.value)
    elif isinstance(argument, ast.IfExp):
        yield from event_names(argument.body)
        yield from event_names(argument.orelse)


def log_events() -> set[str]:
    """Each event with the fields that it is logged with."""
    found = set()
    for call in calls():
        func = call.func
        if not (isinstance(func, ast.Attribute) and func.attr in LEVELS and call.args):
            continue
        fields = " ".join(sorted(keyword.arg or "**" for keyword in call.keywords))
        for name in event_names(call.args[0]):
            found.add(f"{func.attr} {name}: {fields}")
    return found


def http_paths() -> set[str]:
    return {text for text in strings() if HTTP_PATH.fullmatch(text)}


def environment() -> set[str]:
    return {text for text in strings() if ENVIRONMENT.fullmatch(text)}


def commands() -> set[str]:
    """Each command of the command line with its arguments and options."""
    from ironfall.cli import main

    found = set()

    def walk(command: click.Command, path: str) -> None:
        words = sorted(" ".join(parameter.opts) for parameter in command.params)
        found.add(f"{path}: {', '.join(words)}")
        if isinstance(command, click.Group):
            for name, inner in command.commands.items():
                walk(inner, f"{path} {name}")

    walk(main, "ironfall")
    return found


def settings() -> set[str]:
    """What `ironfall terms show` prints of the examples: every key of theirs as it is understood."""
    from click.testing import CliRunner

    from ironfall.cli import main

    found = set()
    for path in sorted((ROOT / "deploy" / "terms").glob("*.sexp")):
        with contextlib.redirect_stdout(io.StringIO()):
            result = CliRunner().invoke(main, ["terms", "show", str(path)])
        found |= {f"{path.name}: {line}" for line in result.output.splitlines()}
    return found


KINDS = {
    "log_events": log_events,
    "http_paths": http_paths,
    "environment": environment,
    "commands": commands,
    "settings": settings,
}


def write(folder: Path) -> None:
    for kind, read in KINDS.items():
        (folder / f"{kind}.txt").write_text("\n".join(sorted(read())) + "\n")


if __name__ == "__main__":
    write(Path(sys.argv[1]) if len(sys.argv) > 1 else Path(__file__).parent)
