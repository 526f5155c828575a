"""Targets of permits, written `host/NAME` or `director/NAME`."""

HOST_PREFIX = "host/"
DIRECTOR_PREFIX = "director/"


def host_target(name: str) -> str:
    """Returns the target of a host."""
    return HOST_PREFIX + name


def director_target(name: str) -> str:
    """Returns the target of a director."""
    return DIRECTOR_PREFIX + name


def is_host(target: str) -> bool:
    """Returns whether the target is a host; otherwise it is a director."""
    return target.startswith(HOST_PREFIX)


def target_name(target: str) -> str:
    """Returns the name of the host or director."""
    return target.partition("/")[2]


def host_names(targets: list[str]) -> list[str]:
    """Returns the names of the hosts among the targets."""
    return [target_name(target) for target in targets if is_host(target)]


def director_names(targets: list[str]) -> list[str]:
    """Returns the names of the directors among the targets."""
    return [target_name(target) for target in targets if not is_host(target)]
