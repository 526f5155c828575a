"""`ironfall files`: operators' servers and weights, before and after a director adopts them."""

import json
import sys
from pathlib import Path
from typing import Any

import click

from ironfall.cli.common import ADDRESS, FILE, main, terms_from


@main.group()
def files() -> None:
    """Servers and weights from files: check them, see what they would do, and go back."""


ANY = click.Path(path_type=Path)


def _read_servers(path: Path) -> Any:
    from ironfall.files.reader import read
    from ironfall.files.servers import ServerSet

    found = read(str(path), 1 << 30)
    if "set" not in found:
        for fault in found.get("faults", [f"{path}: {found.get('cause')}"]):
            click.echo(fault, err=True)
        sys.exit(2)
    return ServerSet.from_json(found["set"])


def _rows(path: Path | None) -> Any:
    """The registry's rows: its answer kept in a file, or none."""
    try:
        told = json.loads(path.read_text()) if path else []
        return told["hosts"] if isinstance(told, dict) else told
    except (ValueError, KeyError) as wrong:
        click.echo(f"{path}: no registry's answer: {type(wrong).__name__} {wrong}", err=True)
        sys.exit(2)


def _compared(terms_file: Path, old: Path | None, new: Path, registry: Path | None) -> Any:
    import time

    from ironfall.files.checks import Allowed, check, difference
    from ironfall.files.merge import Merge, Misshapen

    terms, now = terms_from(terms_file), time.time()
    try:
        before = Merge().registry(_rows(registry), True)
    except Misshapen as wrong:
        click.echo(f"{registry}: {wrong}", err=True)
        sys.exit(2)
    if old:
        before = before.adopt(_read_servers(old), now, True)
    after = before.adopt(_read_servers(new), now, old is None)
    allowed = Allowed(terms.files.remove, terms.files.cold)
    judged = check(
        before,
        after,
        now,
        terms.name,
        terms.zones,
        terms.classes,
        terms.service.slow_start_time,
        allowed,
        old is None and not before.rows,
    )
    return judged, difference(before, after, now, terms.service, terms.entries_per_second), terms


def _say_judged(judged: Any) -> None:
    for note in judged.notes:
        click.echo(f"note: {note}", err=True)
    for problem in judged.problems:
        click.echo(f"refused: {problem}", err=True)


REGISTRY = click.option(
    "--registry", "listed", type=FILE, help="The registry's answer as JSON, to check against."
)


@files.command("check")
@click.argument("file", type=FILE)
@click.argument("new", type=ANY)
@click.option("--standing", type=ANY, help="The set that stands, to see what the change removes.")
@REGISTRY
def files_check(file: Path, new: Path, standing: Path | None, listed: Path | None) -> None:
    """Say whether NEW, a file or a folder of fragments, would be adopted by the terms in FILE.

    Exit 1 where it would be refused, 2 where it can't be read; each fault with its place.

    \b
    Example:
      ironfall files check deploy/terms/resale.sexp servers.sexp --standing servers.sexp.old
    """
    judged, _, _ = _compared(file, standing, new, listed)
    _say_judged(judged)
    if judged.problems:
        sys.exit(1)
    click.echo(f"{new}: good")


@files.command("diff")
@click.argument("file", type=FILE)
@click.argument("old", type=ANY)
@click.argument("new", type=ANY)
@REGISTRY
def files_diff(file: Path, old: Path, new: Path, listed: Path | None) -> None:
    """Show what going from OLD to NEW would send: hosts, lines, messages, seconds of the channel."""
    judged, would, _ = _compared(file, old, new, listed)
    _say_judged(judged)
    for what, hosts in (("leaves", would.leave), ("comes", would.join)):
        for host in hosts:
            click.echo(f"{what:7} {host}")
    for host, before, after in would.weigh:
        click.echo(f"weighs  {host} {before:g} -> {after:g}")
    click.echo(
        f"about {would.lines:g} lines in {would.messages:g} messages, {would.seconds:.2f}s of the channel"
    )
    sys.exit(1 if judged.problems else 0)


@files.command("plan")
@click.argument("file", type=FILE)
@click.argument("old", type=ANY)
@click.argument("new", type=ANY)
@REGISTRY
def files_plan(file: Path, old: Path, new: Path, listed: Path | None) -> None:
    """Say in how many portions going from OLD to NEW would go out, and how long they take."""
    judged, would, terms = _compared(file, old, new, listed)
    _say_judged(judged)
    click.echo(
        f"{would.portions} portions over {would.seconds:.2f}s at {terms.entries_per_second:g} lines a second"
    )
    if would.leave:
        click.echo(f"first: {len(would.leave)} withdrawals, which can't wait")
    if would.join or would.weigh:
        click.echo(
            f"then: {len(would.join)} new hosts and {len(would.weigh)} weights, as the channel has room"
        )
    sys.exit(1 if judged.problems else 0)


def _ask_files(director: Any, number: int = 0) -> Any:
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


DIRECTOR = click.option("--director", type=ADDRESS, required=True, help="A running one.")


@files.command("status")
@DIRECTOR
def files_status(director: Any) -> None:
    """Show what a director has adopted, what it refused and why. Exit 1 where what stands in the file was refused."""
    status = _ask_files(director)["status"]
    click.echo(json.dumps(status, indent=1))
    sys.exit(1 if status["refused"] else 0)


@files.command("history")
@DIRECTOR
@click.option("--json", "plain", is_flag=True)
def files_history(director: Any, plain: bool) -> None:
    """Show each adoption: who, when, what, and what it did."""
    import time

    history = _ask_files(director)["history"]
    if plain:
        click.echo(json.dumps(history))
        return
    for one in history:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(one["at"]))
        click.echo(f"{one['number']:>4}  {when}  {one['by']}  {one['digest']}  {one['summary']}")
        if one["effect"]:
            click.echo(f"      {one['effect']}")


@files.command("revert")
@click.argument("number", type=int)
@DIRECTOR
@click.option(
    "--to", type=ANY, help="Where to write it; the file that the director watches if left out."
)
def files_revert(number: int, director: Any, to: Path | None) -> None:
    """Write adoption NUMBER back to the watched file, whole; it is then checked and adopted as any other change."""
    from ironfall.files.revert import NotWritten, write_back

    texts = _ask_files(director, number)
    path = to or Path(_ask_files(director)["status"]["path"])
    try:
        write_back(path, texts)
    except (OSError, NotWritten) as wrong:
        click.echo(wrong, err=True)
        sys.exit(1)
    click.echo(
        f"{path}: as it was at adoption {number}; ironfall files status tells when it is adopted"
    )
