"""`ironfall keeper`, and `ironfall fleet`: what operators see and say of what is agreed."""

import getpass
import json
import sys
from pathlib import Path
from typing import Any

import click
import structlog

from ironfall.cli.common import FILE, main, terms_from

WAIT = 6.0  # seconds that a verb tries


@main.command()
@click.argument("file", type=FILE)
@click.option("--name", required=True, help="Which keeper of the terms this is.")
@click.option(
    "--disk",
    type=click.Path(file_okay=False, path_type=Path),
    required=True,
    help="A folder of its own.",
)
@click.option(
    "--found",
    is_flag=True,
    help="A group may begin, where no keeper of it has anything on its disk.",
)
@click.option("--seed", type=int, help="Of its chance; a fresh one if left out.")
def keeper(file: Path, name: str, disk: Path, found: bool, seed: int | None) -> None:
    """Run one keeper of the terms in FILE, until SIGTERM.

    \b
    Example:
      ironfall --log json keeper deploy/terms/fleet.sexp --name k1 --disk /var/lib/ironfall/k1
    """
    from ironfall.coordinator.program import CoordinatorOptions, Program
    from ironfall.storage.disk import Folder

    terms = terms_from(file)
    if name not in dict(terms.fleet.keepers):
        known = ", ".join(dict(terms.fleet.keepers)) or "none"
        raise click.BadParameter(
            f"{name!r} is no keeper of these terms; they name: {known}", param_hint="--name"
        )
    try:
        log = structlog.get_logger().bind(keeper=name)
        options = CoordinatorOptions(may_found_group=found, seed=seed)
        program = Program(terms, name, Folder(disk), log, options)
        program.start()
    except OSError as cause:
        click.echo(f"can't start: {cause}", err=True)
        sys.exit(1)
    sys.exit(program.wait())


@main.command()
@click.argument("file", type=FILE)
@click.option("--name", required=True, help="Which observer of the terms this is.")
@click.option("--seed", type=int, help="Of its chance; a fresh one if left out.")
def observer(file: Path, name: str, seed: int | None) -> None:
    """Run one observer of the terms in FILE, until SIGTERM: it hears the members of its zone, and tells the keepers.

    \b
    Example:
      ironfall --log json observer deploy/terms/observed.sexp --name o1
    """
    from ironfall.membership_server.program import Program

    terms = terms_from(file)
    known = [one.name for one in terms.fleet.observers]
    if name not in known:
        raise click.BadParameter(
            f"{name!r} is no observer of these terms; they name: {', '.join(known) or 'none'}",
            param_hint="--name",
        )
    try:
        program = Program(terms, name, structlog.get_logger().bind(observer=name), seed)
        program.start()
    except OSError as cause:
        click.echo(f"can't start: {cause}", err=True)
        sys.exit(1)
    sys.exit(program.wait())


@main.group()
def fleet() -> None:
    """What the keepers agreed on: look, ask, halt, lift, release. Exit 0 done, 1 refused, 2 usage, 3 nobody answers."""


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):  # a container may have no such name
        return "operator"


def _keepers(file: Path) -> Any:
    import random

    from ironfall.coordinator.client import CoordinatorClient

    terms = terms_from(file).fleet
    if not terms.keepers:
        raise click.BadParameter("these terms have no (fleet ...) with keepers", param_hint="FILE")
    return CoordinatorClient(terms.keepers, f"operator {_user()}", random.Random())


def _ended(heard: Any) -> None:
    """Exit by what came of it; nothing where it was done."""
    if heard.no:
        click.echo(f"refused: {heard.no}", err=True)
        sys.exit(1)
    if heard.why:
        click.echo(f"{heard.why}: {heard.text}", err=True)
        sys.exit(1 if heard.why in ("refused", "forgotten") else 3)


def _halting(file: Path, scope: str) -> str:
    """A zone misspelt would be halted nowhere, while whoever said it goes by it."""
    kind, _, name = scope.partition(" ")
    zones = terms_from(file).zones
    if kind == "zone" and name not in zones:
        raise click.BadParameter(
            f"no zone {name!r} in these terms; they name: {', '.join(zones)}", param_hint="SCOPE"
        )
    return scope


def _put(file: Path, entry: dict[str, Any]) -> Any:
    heard = _keepers(file).ask(entry, WAIT)
    _ended(heard)
    return heard.told


@fleet.command("look")
@click.argument("file", type=FILE)
@click.option("--json", "plain", is_flag=True, help="All of it, as the keepers tell it.")
def fleet_look(file: Path, plain: bool) -> None:
    """Show what stands: who leads, halts, what is out and what waits.

    Where no majority answers: what each keeper says by itself, and exit 3.
    """
    keepers = _keepers(file)
    heard = keepers.look(WAIT)
    if heard.why:
        click.echo(f"no majority answers: {heard.text}", err=True)
        for name in keepers.keepers:
            one = keepers.here(name)
            click.echo(f"{name}: {one.text or _of_itself(one.told)}")
        sys.exit(3)
    if plain:
        click.echo(json.dumps(heard.told))
        return
    told, ledger = heard.told, heard.told["ledger"]
    voters, learners = told["members"]
    click.echo(
        f"{told['leader']} leads reign {told['reign']}, entry {told['index']}; members: {', '.join(voters)}"
        + (f"; learning: {', '.join(learners)}" if learners else "")
    )
    observed = told.get("observed", {})
    for zone in observed.get("unknown", ()):
        click.echo(
            f"unknown  zone {zone}: none of its observers is heard; nothing there begins, and no host goes out"
        )
    for name, one in observed.get("observers", {}).items():
        heard = (
            f"heard {one['heard'] / 10_000:.1f} s ago"
            if one["heard"] >= 0
            else "not heard in this reign"
        )
        click.echo(
            f"observer {name} of {one['zone']}, {heard}: {one['members']} members, {one['gone']} of them gone"
        )
    for scope, halt in ledger["halts"].items():
        click.echo(f"halt     {scope} by {halt['by']}: {halt['reason']}")
    for unit, permit in ledger["permits"].items():
        click.echo(
            f"permit   {unit} {permit['state']}, held by {permit['holder']}, token {permit['token']}"
        )
    for ask, waits in ledger["asks"].items():
        click.echo(
            f"waits    {ask}: {', '.join(waits['units'])}; short: {', '.join(waits['short'])}"
        )
    for scope, (total, out, unplanned, limit) in ledger["scopes"].items():
        if out or scope in ("fleet", "directors"):
            click.echo(
                f"out      {scope}: {out} of {total}, {unplanned} of them unplanned; at most {limit}"
            )


def _of_itself(told: dict[str, Any]) -> str:
    if "index" not in told:
        return str(told.get("why", "says nothing of itself"))
    why = told["failed"] or told["off"]
    return f"{told['role']}, reign {told['reign']}, entry {told['index']}" + (
        f"; {why}" if why else ""
    )


@fleet.command("ask")
@click.argument("file", type=FILE)
@click.argument("entry")
def fleet_ask(file: Path, entry: str) -> None:
    """Put one ENTRY, a JSON object, to the ledger and show its answer; docs/fleet-ledger.md has the kinds.

    \b
    Example:
      ironfall fleet ask deploy/terms/fleet.sexp '{"k": "forget", "unit": "host/h7", "by": "night shift"}'
    """
    try:
        held = json.loads(entry)
    except ValueError as wrong:
        raise click.BadParameter(f"no JSON: {wrong}", param_hint="ENTRY") from None
    if not isinstance(held, dict):
        raise click.BadParameter("expected an object", param_hint="ENTRY")
    told = _put(file, held)
    click.echo(f"entry {told['index']}: {json.dumps(told['answer'])}")


BY = click.option("--by", default=_user, help="Who says so; the user's name if left out.")
SCOPE = click.argument("scope")


@fleet.command("halt")
@click.argument("file", type=FILE)
@SCOPE
@click.option("--reason", required=True)
@BY
def fleet_halt(file: Path, scope: str, reason: str, by: str) -> None:
    """Let nothing begin in SCOPE (all, "zone NAME", "tenant NAME", "release NAME"), and call back what can be.

    \b
    Example:
      ironfall fleet halt deploy/terms/fleet.sexp "zone east" --reason "power work"
    """
    told = _put(file, {"k": "halt", "scope": _halting(file, scope), "by": by, "reason": reason})
    click.echo(f"entry {told['index']}: {scope} is halted, for who is cut off within a lease")


@fleet.command("lift")
@click.argument("file", type=FILE)
@SCOPE
@BY
def fleet_lift(file: Path, scope: str, by: str) -> None:
    """Lift the halt of SCOPE."""
    told = _put(file, {"k": "lift", "scope": scope, "by": by})
    click.echo(f"entry {told['index']}: {scope} is halted no more")


@fleet.command("replace")
@click.argument("file", type=FILE)
@click.argument("keeper")
def fleet_replace(file: Path, keeper: str) -> None:
    """Take in KEEPER, which came with a blank disk, in place of the member it was."""
    keepers = _keepers(file)
    if keeper not in keepers.keepers:
        raise click.BadParameter(
            f"expected one of {', '.join(keepers.keepers)}", param_hint="KEEPER"
        )
    heard = keepers.replace(keeper)
    _ended(heard)
    click.echo(
        f"{heard.told['identity']} is a member; gone: {', '.join(heard.told['replaced']) or 'none'}"
    )


@fleet.command("release")
@click.argument("file", type=FILE)
@click.argument("name")
@click.option("--former", required=True, help="The version that is taken back to.")
@click.option("--wanted", required=True, help="The version that all directors are to have.")
@click.option(
    "--hands", required=True, help="The site's command that tells, stops and starts directors."
)
def fleet_release(file: Path, name: str, former: str, wanted: str, hands: str) -> None:
    """Bring directors to a version, wave by wave, and back where it does harm; docs/releases.md has how.

    Started again with the same words, it goes on where a former one died. To stop it: `fleet halt TERMS
    "release NAME"`; to take it back: the same with a reason that begins with "back". Exit 0 all have it, 1 all went
    back.

    \b
    Example:
      ironfall --log json fleet release deploy/terms/fleet.sexp r2 --former 0.2.0 --wanted 0.3.0 --hands ./on-directors
    """
    import random

    from ironfall.rollout import RolloutPlan
    from ironfall.rollout.runner import RolloutRunner, RunnerSettings
    from ironfall.rollout.site_command import SiteCommand

    terms = terms_from(file)
    log = structlog.get_logger().bind(release=name)
    runner = RolloutRunner(
        _keepers(file),
        SiteCommand(hands),
        RolloutPlan(name, former, wanted),
        RunnerSettings(int(terms.service.entries_per_second), terms.fleet.lease, random.Random()),
        log,
    )
    sys.exit(0 if runner.run() == "done" else 1)
