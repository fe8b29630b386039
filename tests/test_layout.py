"""Checks which packages may import each other.

Imports against the order of the layers lead to import cycles; a clock or a
socket in a pure package makes its decisions depend on more than its inputs.
"""

from __future__ import annotations

import ast
import graphlib
import pathlib

import pytest

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "lovagestage"
LAYERS = (
    ("",),
    ("telemetry", "state"),
    ("messages",),
    ("decisions",),
    ("adapters",),
    ("bus",),
    ("control",),
    ("execution",),
    ("entry",),
    ("api", "operations"),
    ("gateway", "platform"),
)
"""Packages by layer, from the bottom up.

A package may import only itself and packages of lower layers.
"""
ROOTS = {"__main__", "cli", "wiring"}
"""Modules of the top-level package that may import any other package."""
PURE = ("state", "messages", "decisions")
IMPURE_MODULES = {
    "aiohttp",
    "asyncio",
    "mode",
    "socket",
    "threading",
    "time",
    "zmq",
}


def get_package(module):
    """Returns the subpackage of a module; "" for the top-level package."""
    subpackages = module.split(".")[1:2]
    return (
        subpackages[0]
        if subpackages and (SOURCE / subpackages[0]).is_dir()
        else ""
    )


def get_imports(path):
    """Yields the names of all modules that a file imports anywhere."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            if node.module == "lovagestage":
                yield from (f"lovagestage.{alias.name}" for alias in node.names)


def get_modules():
    paths = sorted(SOURCE.rglob("*.py"))
    return [
        (
            ".".join(
                ("lovagestage", *p.relative_to(SOURCE).with_suffix("").parts)
            ),
            p,
        )
        for p in paths
    ]


def get_level(package):
    return next(i for i, layer in enumerate(LAYERS) if package in layer)


def find_upward(module, imports):
    """Returns the imports of a module from its own or a higher layer.

    Imports within one package, and between `gateway` and `platform`, are
    allowed.
    """
    package = get_package(module)
    return [
        name
        for name in imports
        if name.split(".")[0] == "lovagestage"
        and get_package(name) != package
        and get_level(get_package(name)) >= get_level(package)
        and not (package == "platform" and get_package(name) == "gateway")
        and not (package == "gateway" and get_package(name) == "platform")
    ]


def test_every_package_has_a_layer():
    packages = {
        p.name for p in SOURCE.iterdir() if (p / "__init__.py").exists()
    }
    assert packages == {name for layer in LAYERS for name in layer} - {""}


@pytest.mark.parametrize(("module", "path"), get_modules())
def test_packages_import_only_what_is_below_them(module, path):
    if module.split(".")[-1] in ROOTS and get_package(module) == "":
        return
    assert find_upward(module, get_imports(path)) == []


@pytest.mark.parametrize(
    ("module", "path"), [m for m in get_modules() if get_package(m[0]) in PURE]
)
def test_pure_packages_have_no_clock_and_no_socket(module, path):
    top_level_names = {name.split(".")[0] for name in get_imports(path)}
    assert top_level_names.isdisjoint(IMPURE_MODULES)


def test_no_import_cycles():
    modules = dict(get_modules())
    sorter = graphlib.TopologicalSorter(
        {
            module: [name for name in get_imports(path) if name in modules]
            for module, path in modules.items()
            if module.split(".")[-1] != "__main__"
        }
    )
    sorter.prepare()


def test_import_of_higher_layer_is_found():
    imports = ["lovagestage.entry.dispatcher", "lovagestage.types", "time"]
    assert find_upward("lovagestage.state.fold", imports) == imports[:1]
    assert find_upward("lovagestage.api.entry", imports) == []


def test_module_names_are_found():
    names = {module for module, _ in get_modules()}
    assert "lovagestage.state.fold" in names
    assert "lovagestage.wiring" in names
