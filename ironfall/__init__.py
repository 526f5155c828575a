"""ironfall: a control plane that decides the tables of a service's proxies."""

__version__ = "0.2.0"  # as in pyproject.toml; directors tell it to the keepers
