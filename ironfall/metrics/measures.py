"""A director's measurements of itself, as points, from its counters and histograms. No I/O."""

from typing import Any

from ironfall.metrics.point import Point

# docs/metrics.md lists each series with its unit and what to do about it.
PERCENTILES = (50, 99, 100)


def points(
    live: Any, prefix: str, at: float, served: dict[str, int], ages: list[float]
) -> list[tuple[Point, str]]:
    """Returns the measurements at one moment, each with how its points are combined (see `Spool`).

    Counters and histograms cover the time since the director started; counters only grow.

    Args:
        live: The running director.
        prefix: The first components of all series.
        at: The time of the measurements, in seconds since 1970.
        served: Further counters by name, each a tag of the series `count`.
        ages: The ages in seconds of the readings that were handed over last.
    """
    measurements: list[tuple[Point, str]] = []

    def put(name: str, value: float, how: str = "last", **tags: str) -> None:
        measurements.append(
            (Point(f"{prefix}.{name}", float(value), at, tuple(sorted(tags.items()))), how)
        )

    for name, histogram in (
        ("turn", live.batch_durations),
        ("event_to_turn", live.queue_waits),
        ("order_to_applied", live.confirmation_times),
    ):
        for percentile in PERCENTILES:
            value = histogram.get_value_at_percentile(percentile) / 1000
            put(f"{name}_ms.p{percentile}", value, "max")
        put(f"{name}.count", histogram.get_total_count())
    put("channel.backlog", live.channel.backlog, "max")
    put("channel.sent_lines", live.channel.sent_entries)
    put("events.waiting", len(live.events), "max")
    put("publication.version", live.publication.version)
    put("publication.withdrawn", len(live.publication.outs), "mean")
    put("hosts.listed", len(live.host_list.entries), "mean")
    put("own.stalls", live.clock.stalls)
    put("own.epoch", live.epoch)  # alternates if two directors have the same name
    held_polls = 0
    for zone, name in enumerate(live.terms.zones):
        zone_sessions = [
            session for session in live.sessions.by_token.values() if session.zone == zone
        ]
        held_polls += sum(session.held_polls for session in zone_sessions)
        put("proxies.joined", len(zone_sessions), "mean", zone=name)
        put("channel.lines", live.sent_by_zone[zone].entries, zone=name)
        put("channel.messages", live.sent_by_zone[zone].messages, zone=name)
    put("polls.held", held_polls, "mean")
    for class_number, name in enumerate(live.terms.classes):
        admitted, _ = live.publication.admits.get(class_number, (1_000_000, 0))
        put("admission.share", admitted / 1e6, "mean", kind=name)
    for name, count in sorted({**live.counts, **served}.items()):
        put("count", count, "last", what=name.replace(" ", "_").replace(":", ""))
    for fraction, label in ((0.5, "p50"), (1.0, "oldest")):
        if ages:
            put(
                f"readings.age_s.{label}",
                sorted(ages)[min(len(ages) - 1, int(fraction * len(ages)))],
                "max",
            )
    return measurements
