"""`ironfall files`: checks operators' servers and weights, shows adopted sets, restores one."""

import json
import sys
from pathlib import Path
from typing import Any

import click

from ironfall.cli.common import ADDRESS, FILE, main, terms_from


@main.group()
def files() -> None:
    """Check files with servers and weights, preview their effect, and restore earlier ones."""


FILE_OR_FOLDER = click.Path(path_type=Path)


def _read_servers(path: Path) -> Any:
    from ironfall.files.reader import read
    from ironfall.files.servers import ServerSet

    result = read(str(path), 1 << 30)
    if "set" not in result:
        for fault in result.get("faults", [f"{path}: {result.get('cause')}"]):
            click.echo(fault, err=True)
        sys.exit(2)
    return ServerSet.from_json(result["set"])


def _read_registry(path: Path | None) -> Any:
    """Returns the hosts of a registry's answer saved in a file; none without a file."""
    try:
        answer = json.loads(path.read_text()) if path else []
        return answer["hosts"] if isinstance(answer, dict) else answer
    except (ValueError, KeyError) as error:
        click.echo(
            f"{path}: not an answer of the registry: {type(error).__name__} {error}", err=True
        )
        sys.exit(2)


def _compare(terms_file: Path, old: Path | None, new: Path, registry: Path | None) -> Any:
    import time

    from ironfall.files.checks import ChangeLimits, check, difference
    from ironfall.files.merge import InvalidRowsError, Merge

    terms, now = terms_from(terms_file), time.time()
    try:
        before = Merge().with_registry_rows(_read_registry(registry), True)
    except InvalidRowsError as error:
        click.echo(f"{registry}: {error}", err=True)
        sys.exit(2)
    if old:
        before = before.adopt(_read_servers(old), now, True)
    after = before.adopt(_read_servers(new), now, old is None)
    limits = ChangeLimits(terms.files.remove, terms.files.cold)
    result = check(
        before,
        after,
        now,
        terms.name,
        terms.zones,
        terms.classes,
        terms.service.slow_start_time,
        limits,
        old is None and not before.rows,
    )
    return result, difference(before, after, now, terms.service, terms.entries_per_second), terms


def _print_findings(result: Any) -> None:
    for note in result.notes:
        click.echo(f"note: {note}", err=True)
    for problem in result.problems:
        click.echo(f"refused: {problem}", err=True)


REGISTRY = click.option(
    "--registry",
    "registry_answer",
    type=FILE,
    help="An answer of the registry, as JSON, to check against.",
)


@files.command("check")
@click.argument("file", type=FILE)
@click.argument("new", type=FILE_OR_FOLDER)
@click.option(
    "--standing", type=FILE_OR_FOLDER, help="The set now in use, to check what the change removes."
)
@REGISTRY
def files_check(file: Path, new: Path, standing: Path | None, registry_answer: Path | None) -> None:
    """Check whether a director with the settings in FILE would adopt NEW.

    NEW is a file or a folder of fragments. Each fault is shown with its place. Exit 1 if NEW would
    be refused, 2 if it can't be read.

    \b
    Example:
      ironfall files check deploy/terms/resale.sexp servers.sexp --standing servers.sexp.old
    """
    result, _, _ = _compare(file, standing, new, registry_answer)
    _print_findings(result)
    if result.problems:
        sys.exit(1)
    click.echo(f"{new}: valid")


@files.command("diff")
@click.argument("file", type=FILE)
@click.argument("old", type=FILE_OR_FOLDER)
@click.argument("new", type=FILE_OR_FOLDER)
@REGISTRY
def files_diff(file: Path, old: Path, new: Path, registry_answer: Path | None) -> None:
    """Show the hosts that differ between OLD and NEW, and the load that the change would cause."""
    result, change, _ = _compare(file, old, new, registry_answer)
    _print_findings(result)
    for action, hosts in (("leaves", change.leaving), ("comes", change.joining)):
        for host in hosts:
            click.echo(f"{action:7} {host}")
    for host, before, after in change.reweighted:
        click.echo(f"weighs  {host} {before:g} -> {after:g}")
    click.echo(
        f"about {change.lines:g} lines in {change.messages:g} messages, "
        f"{change.seconds:.2f}s of the channel"
    )
    sys.exit(1 if result.problems else 0)


@files.command("plan")
@click.argument("file", type=FILE)
@click.argument("old", type=FILE_OR_FOLDER)
@click.argument("new", type=FILE_OR_FOLDER)
@REGISTRY
def files_plan(file: Path, old: Path, new: Path, registry_answer: Path | None) -> None:
    """Show in how many portions the change from OLD to NEW would be sent, and how long it takes."""
    result, change, terms = _compare(file, old, new, registry_answer)
    _print_findings(result)
    click.echo(
        f"{change.portions} portions over {change.seconds:.2f}s "
        f"at {terms.entries_per_second:g} lines a second"
    )
    if change.leaving:
        click.echo(f"first: {len(change.leaving)} withdrawals, all at once")
    if change.joining or change.reweighted:
        click.echo(
            f"then: {len(change.joining)} new hosts and {len(change.reweighted)} weights, "
            "as the channel has room"
        )
    sys.exit(1 if result.problems else 0)


def _request_files(director: Any, number: int = 0) -> Any:
    from ironfall.api.http import HttpClient

    try:
        answer = HttpClient(director).call("GET", f"/v1/files?number={number}", 10)
    except OSError as cause:
        click.echo(f"no director answers at {director[0]}:{director[1]}: {cause}", err=True)
        sys.exit(2)
    if answer.status != 200:
        click.echo(bytes(answer.body).decode("utf-8", "replace").strip(), err=True)
        sys.exit(2)
    return json.loads(answer.body)


DIRECTOR = click.option(
    "--director", type=ADDRESS, required=True, help="Address of a running director."
)


@files.command("status")
@DIRECTOR
def files_status(director: Any) -> None:
    """Show what a director adopted, what it refused and why.

    Exit 1 if the current content of its file was refused.
    """
    status = _request_files(director)["status"]
    click.echo(json.dumps(status, indent=1))
    sys.exit(1 if status["refused"] else 0)


@files.command("history")
@DIRECTOR
@click.option("--json", "as_json", is_flag=True)
def files_history(director: Any, as_json: bool) -> None:
    """Show each adoption: its author, time, changes and effect."""
    import time

    history = _request_files(director)["history"]
    if as_json:
        click.echo(json.dumps(history))
        return
    for adoption in history:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(adoption["at"]))
        click.echo(
            f"{adoption['number']:>4}  {when}  {adoption['by']}  "
            f"{adoption['digest']}  {adoption['summary']}"
        )
        if adoption["effect"]:
            click.echo(f"      {adoption['effect']}")


@files.command("revert")
@click.argument("number", type=int)
@DIRECTOR
@click.option(
    "--to",
    type=FILE_OR_FOLDER,
    help="Where to write it; the path that the director watches if left out.",
)
def files_revert(number: int, director: Any, to: Path | None) -> None:
    """Write adoption NUMBER back to the watched file.

    The director then checks and adopts it as any other change.
    """
    from ironfall.files.revert import RestoreError, write_back

    texts = _request_files(director, number)
    path = to or Path(_request_files(director)["status"]["path"])
    try:
        write_back(path, texts)
    except (OSError, RestoreError) as error:
        click.echo(error, err=True)
        sys.exit(1)
    click.echo(
        f"{path}: restored from adoption {number}; "
        "`ironfall files status` shows when the director has adopted it"
    )
