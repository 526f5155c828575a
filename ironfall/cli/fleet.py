"""`ironfall keeper` and `observer`, and `ironfall fleet`, which shows and changes the ledger."""

import getpass
import json
import sys
from pathlib import Path
from typing import Any

import click
import structlog

from ironfall.cli.common import FILE, main, terms_from

CALL_TIMEOUT_S = 6.0  # for one call, retries included


@main.command()
@click.argument("file", type=FILE)
@click.option("--name", required=True, help="The keeper's name in the settings.")
@click.option(
    "--disk",
    type=click.Path(file_okay=False, path_type=Path),
    required=True,
    help="The keeper's data folder, used by no other process.",
)
@click.option(
    "--found",
    is_flag=True,
    help="Allow it to create a new group if no keeper has data on its disk.",
)
@click.option("--seed", type=int, help="Seed of the random choices; drawn if left out.")
def keeper(file: Path, name: str, disk: Path, found: bool, seed: int | None) -> None:
    """Run one keeper, a coordinator from the settings in FILE, until SIGTERM.

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
            f"no keeper {name!r} in these settings; expected one of: {known}", param_hint="--name"
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
@click.option("--name", required=True, help="The observer's name in the settings.")
@click.option("--seed", type=int, help="Seed of the random choices; drawn if left out.")
def observer(file: Path, name: str, seed: int | None) -> None:
    """Run one observer, an aggregator from the settings in FILE, until SIGTERM.

    It collects the heartbeats of its zone's members and reports them to the keepers.

    \b
    Example:
      ironfall --log json observer deploy/terms/observed.sexp --name o1
    """
    from ironfall.membership_server.program import Program

    terms = terms_from(file)
    known = [one.name for one in terms.fleet.observers]
    if name not in known:
        raise click.BadParameter(
            f"no observer {name!r} in these settings; expected one of: "
            f"{', '.join(known) or 'none'}",
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
    """Show and change the state that the keepers agreed on.

    Exit codes: 0 done, 1 refused, 2 usage error, 3 no answer from the keepers.
    """


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):  # in a container the user may have no name
        return "operator"


def _connect(file: Path) -> Any:
    import random

    from ironfall.coordinator.client import CoordinatorClient

    settings = terms_from(file).fleet
    if not settings.keepers:
        raise click.BadParameter(
            "these settings have no (fleet ...) with keepers", param_hint="FILE"
        )
    return CoordinatorClient(settings.keepers, f"operator {_user_name()}", random.Random())


def _exit_on_failure(result: Any) -> None:
    """Reports a failed call on stderr and exits with its code; returns if the call succeeded."""
    if result.rejection:
        click.echo(f"refused: {result.rejection}", err=True)
        sys.exit(1)
    if result.failure:
        click.echo(f"{result.failure}: {result.detail}", err=True)
        sys.exit(1 if result.failure in ("refused", "forgotten") else 3)


def _checked_scope(file: Path, scope: str) -> str:
    """Returns the scope of a halt.

    Raises:
        click.BadParameter: The settings have no such zone. The keepers would accept the halt, and
            the operator would rely on it although it has no effect.
    """
    kind, _, name = scope.partition(" ")
    zones = terms_from(file).zones
    if kind == "zone" and name not in zones:
        raise click.BadParameter(
            f"no zone {name!r} in these settings; expected one of: {', '.join(zones)}",
            param_hint="SCOPE",
        )
    return scope


def _propose(file: Path, entry: dict[str, Any]) -> Any:
    result = _connect(file).propose(entry, CALL_TIMEOUT_S)
    _exit_on_failure(result)
    return result.body


@fleet.command("look")
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="The keepers' answer as JSON.")
def fleet_look(file: Path, as_json: bool) -> None:
    """Show the leader, halts, permits, waiting requests and the units out of service.

    If no majority answers, show the status of each keeper and exit 3.
    """
    keepers = _connect(file)
    result = keepers.read_status(CALL_TIMEOUT_S)
    if result.failure:
        click.echo(f"no majority of the keepers answers: {result.detail}", err=True)
        for name in keepers.addresses:
            one = keepers.read_own_status(name)
            click.echo(f"{name}: {one.detail or _own_status(one.body)}")
        sys.exit(3)
    if as_json:
        click.echo(json.dumps(result.body))
        return
    told, ledger = result.body, result.body["ledger"]
    voters, learners = told["members"]
    click.echo(
        f"{told['leader']} leads reign {told['reign']}, entry {told['index']}; "
        f"members: {', '.join(voters)}" + (f"; learners: {', '.join(learners)}" if learners else "")
    )
    observed = told.get("observed", {})
    for zone in observed.get("unknown", ()):
        click.echo(
            f"unknown  zone {zone}: no reports from its observers; "
            "no disruption is permitted there and no host is withdrawn"
        )
    for name, one in observed.get("observers", {}).items():
        last_report = (
            f"heard {one['heard'] / 10_000:.1f} s ago"
            if one["heard"] >= 0
            else "not heard in this reign"
        )
        click.echo(
            f"observer {name} of {one['zone']}, {last_report}: "
            f"{one['members']} members, {one['gone']} of them gone"
        )
    for scope, halt in ledger["halts"].items():
        click.echo(f"halt     {scope} by {halt['by']}: {halt['reason']}")
    for unit, permit in ledger["permits"].items():
        click.echo(
            f"permit   {unit} {permit['state']}, "
            f"held by {permit['holder']}, token {permit['token']}"
        )
    for request, row in ledger["asks"].items():
        click.echo(
            f"waits    {request}: {', '.join(row['units'])}; limited by: {', '.join(row['short'])}"
        )
    for scope, (total, out, unplanned, limit) in ledger["scopes"].items():
        if out or scope in ("fleet", "directors"):
            click.echo(
                f"out      {scope}: {out} of {total}, "
                f"{unplanned} of them unplanned; at most {limit}"
            )


def _own_status(told: dict[str, Any]) -> str:
    if "index" not in told:
        return str(told.get("why", "reports no status"))
    why = told["failed"] or told["off"]
    return f"{told['role']}, reign {told['reign']}, entry {told['index']}" + (
        f"; {why}" if why else ""
    )


@fleet.command("ask")
@click.argument("file", type=FILE)
@click.argument("entry")
def fleet_ask(file: Path, entry: str) -> None:
    """Propose ENTRY, a JSON object, to the ledger and show its answer.

    docs/fleet-ledger.md describes the kinds of entries.

    \b
    Example:
      ironfall fleet ask deploy/terms/fleet.sexp \\
        '{"k": "forget", "unit": "host/h7", "by": "night shift"}'
    """
    try:
        proposal = json.loads(entry)
    except ValueError as error:
        raise click.BadParameter(f"invalid JSON: {error}", param_hint="ENTRY") from None
    if not isinstance(proposal, dict):
        raise click.BadParameter("expected a JSON object", param_hint="ENTRY")
    told = _propose(file, proposal)
    click.echo(f"entry {told['index']}: {json.dumps(told['answer'])}")


BY = click.option(
    "--by", default=_user_name, help="Author of the change; the name of the user if left out."
)
SCOPE = click.argument("scope")


@fleet.command("halt")
@click.argument("file", type=FILE)
@SCOPE
@click.option("--reason", required=True)
@BY
def fleet_halt(file: Path, scope: str, reason: str, by: str) -> None:
    """Stop new disruptions in SCOPE and call back those under way that can be.

    SCOPE is all, "zone NAME", "tenant NAME" or "release NAME".

    \b
    Example:
      ironfall fleet halt deploy/terms/fleet.sexp "zone east" --reason "power work"
    """
    told = _propose(
        file, {"k": "halt", "scope": _checked_scope(file, scope), "by": by, "reason": reason}
    )
    click.echo(
        f"entry {told['index']}: {scope} is halted; "
        "holders cut off from the keepers stop within a lease"
    )


@fleet.command("lift")
@click.argument("file", type=FILE)
@SCOPE
@BY
def fleet_lift(file: Path, scope: str, by: str) -> None:
    """Lift the halt of SCOPE."""
    told = _propose(file, {"k": "lift", "scope": scope, "by": by})
    click.echo(f"entry {told['index']}: {scope} is no longer halted")


@fleet.command("replace")
@click.argument("file", type=FILE)
@click.argument("keeper")
def fleet_replace(file: Path, keeper: str) -> None:
    """Add KEEPER, restarted with an empty disk, in place of its former member."""
    keepers = _connect(file)
    if keeper not in keepers.addresses:
        raise click.BadParameter(
            f"expected one of: {', '.join(keepers.addresses)}", param_hint="KEEPER"
        )
    result = keepers.replace_member(keeper)
    _exit_on_failure(result)
    click.echo(
        f"{result.body['identity']} is a member; "
        f"replaced: {', '.join(result.body['replaced']) or 'none'}"
    )


@fleet.command("release")
@click.argument("file", type=FILE)
@click.argument("name")
@click.option("--former", required=True, help="The version to roll back to.")
@click.option("--wanted", required=True, help="The version that all directors are to run.")
@click.option(
    "--hands", required=True, help="The site's command that notifies, stops and starts directors."
)
def fleet_release(file: Path, name: str, former: str, wanted: str, hands: str) -> None:
    """Bring the directors to a version, wave by wave, and roll them back if it does harm.

    docs/releases.md describes the steps. Run again with the same arguments, it resumes a rollout
    whose process died. To pause it: `fleet halt FILE "release NAME"`; to roll it back: the same
    with a reason that begins with "back". Exit 0 if all directors run the wanted version, 1 if all
    were rolled back.

    \b
    Example:
      ironfall --log json fleet release deploy/terms/fleet.sexp r2 \\
        --former 0.2.0 --wanted 0.3.0 --hands ./on-directors
    """
    import random

    from ironfall.rollout import RolloutPlan
    from ironfall.rollout.runner import RolloutRunner, RunnerSettings
    from ironfall.rollout.site_command import SiteCommand

    terms = terms_from(file)
    log = structlog.get_logger().bind(release=name)
    runner = RolloutRunner(
        _connect(file),
        SiteCommand(hands),
        RolloutPlan(name, former, wanted),
        RunnerSettings(int(terms.service.entries_per_second), terms.fleet.lease, random.Random()),
        log,
    )
    sys.exit(0 if runner.run() == "done" else 1)
