"""A day's verdict for people, and the same as JSON."""

from typing import Any

from ironfall.lab.fleet_judge import RULES as FLEET_RULES
from ironfall.lab.judge import RULES, Verdict


def as_json(verdict: Verdict) -> dict[str, Any]:
    return {
        "figure": round(verdict.figure, 4),
        "kept": verdict.kept,
        "exchanges": verdict.exchanges,
        "tries": verdict.tries,
        "client_lag_s": verdict.lag,
        "rules": {
            n: {"worst": round(r.worst, 3), "breaks": r.breaks} for n, r in verdict.rules.items()
        },
        "classes": {
            n: round(had / all_, 4) if all_ else None for n, (had, all_) in verdict.by_class.items()
        },
        "seconds": [
            {
                "asked": s.asked,
                "earnings": s.priority_weight,
                "fulfilled": s.fulfilled,
                "late": s.late,
                "refused": s.refused,
                "failed": s.failed,
            }
            for s in verdict.seconds
        ],
    }


def as_text(verdict: Verdict, events: list[tuple[float, str]]) -> str:
    """Second by second, with the troubles where they begin; then classes and rules."""
    lines = ["second  asked  earned  late  refused  failed"]
    for n, second in enumerate(verdict.seconds):
        if not second.asked:
            continue
        share = second.fulfilled / second.priority_weight
        bar = "#" * round(20 * share)
        marks = "; ".join(text for at, text in events if int(at) == n)
        counts = f"{n:5}s {second.asked:6} {share:7.0%} {second.late:5} {second.refused:8} {second.failed:7}"
        lines.append(f"{counts}  {bar:20} {marks}".rstrip())
    lines.append("")
    for name, (had, all_) in verdict.by_class.items():
        lines.append(f"class {name}: {had / all_ if all_ else 0:.3f} of {all_:g} earnings")
    attempts = verdict.tries / verdict.exchanges if verdict.exchanges else 0
    lines.append(
        f"figure: {verdict.figure:.3f} of the earnings asked for, fulfilled within the expected time"
    )
    lag = f"clients at most {verdict.lag * 1000:.0f}ms late"
    lines.append(f"{verdict.exchanges} exchanges, {attempts:.2f} tries each; {lag}")
    lines.append("")
    for name, rule in verdict.rules.items():
        state = f"BROKEN {len(rule.breaks)} times" if rule.breaks else "kept"
        lines.append(
            f"{state:7} {(RULES | FLEET_RULES)[name]} (at most {min(rule.worst, 99):.0%} of the limit)"
        )
        lines += [f"        {text}" for text in rule.breaks[:3]]
    return "\n".join(lines)
