"""The direction of imports between packages, as docs/architecture.md draws it."""

import ast
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "ironfall"
STANDARD_LIBRARY_ONLY = {
    "decisions",
    "platform_settings",
    "simulator_adapter",
    "consensus",
    "publication",
    "storage",
}

# What each package may import of ironfall's, beside `errors` and the generated messages.
ALLOWED = {
    "decisions": set(),
    "platform_settings": {"decisions"},
    "simulator_adapter": {"decisions", "platform_settings"},
    "publication": set(),
    "storage": set(),
    "consensus": set(),
    "api": {"publication"},
    "sexp": set(),
    "words": {"decisions", "sexp"},
    "disruption": {"decisions", "sexp", "words"},
    "membership": {"disruption"},
    "coordinator": {"api", "consensus", "disruption", "membership", "storage", "terms"},
    "membership_server": {"api", "coordinator", "disruption", "membership", "terms"},
    "rollout": {"coordinator"},
    "files": {"api", "decisions", "sexp", "storage", "words"},
    "metrics": {"decisions", "storage", "words"},
    "terms": {"decisions", "disruption", "files", "metrics", "sexp", "words"},
    "director": {
        "api",
        "coordinator",
        "decisions",
        "files",
        "membership_server",
        "metrics",
        "publication",
        "terms",
    },
    "platform": {"api", "decisions", "director", "platform_settings"},
    "proxy": {"api", "decisions", "publication", "storage", "terms"},
}


def package_of(path):
    inside = path.relative_to(ROOT)
    return inside.parts[0].removesuffix(".py")


def imports(path):
    """The modules that a file imports, `ironfall.package` for ours."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            if node.module == "ironfall":
                yield from (f"ironfall.{alias.name}" for alias in node.names)
            else:
                yield node.module


def imported_packages(package):
    found = set()
    for path in ROOT.rglob("*.py"):
        if package_of(path) == package:
            found |= {name.split(".")[1] for name in imports(path) if name.startswith("ironfall.")}
    return found - {package, "errors", "generated", "__version__"}


@pytest.mark.parametrize("package", ALLOWED)
def test_a_package_imports_only_those_that_the_page_names(package):
    assert imported_packages(package) <= ALLOWED[package]


def test_every_package_is_placed():
    packages = {package_of(path) for path in ROOT.rglob("*.py")}
    free = {"__init__", "__main__", "cli", "lab", "generated", "errors"}
    assert packages - free == set(ALLOWED)


def test_imports_run_one_way():
    """No two packages import each other, directly or through others."""
    reached = {package: imported_packages(package) for package in ALLOWED}
    for _ in ALLOWED:
        for package, found in reached.items():
            reached[package] = found | {q for p in found for q in reached.get(p, ())}
    assert not [package for package, found in reached.items() if package in found]


@pytest.mark.parametrize("package", sorted(STANDARD_LIBRARY_ONLY))
def test_the_pure_core_needs_the_standard_library_alone(package):
    found = {
        name.split(".")[0]
        for path in ROOT.rglob("*.py")
        if package_of(path) == package
        for name in imports(path)
    }
    assert found - {"ironfall"} <= set(sys.stdlib_module_names)


def test_the_deploy_file_names_every_module_of_the_decisions_and_of_the_service():
    """What the operators read as decisions is all of them, and no part of the service is left out."""
    deploy = tomllib.loads((ROOT.parent / "deploy" / "balancer.toml").read_text())
    decisions = {f"ironfall/{path.relative_to(ROOT)}" for path in ROOT.glob("decisions/*.py")}
    assert set(deploy["policy"]) == decisions and len(deploy["policy"]) == len(decisions)
    assert all((ROOT.parent / entry).exists() for entry in deploy["node"])
    parts = {Path(entry).stem for entry in deploy["node"]} - {"__main__", "errors"}
    assert parts == ALLOWED["platform"] - {"decisions"} | {"platform"}
