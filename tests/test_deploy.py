"""Tests the build of the deploy file."""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).parent.parent


def run(command, folder, **variables):
    return subprocess.run(
        command,
        cwd=folder,
        env={**os.environ, **variables},
        check=True,
        capture_output=True,
        text=True,
    ).stdout


def test_a_change_of_the_sources_after_the_build_is_what_runs(tmp_path):
    # The copy that an earlier build had made went on running.
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (tmp_path / "deploy").mkdir()
    shutil.copy(ROOT / "deploy" / "requirements.txt", tmp_path / "deploy")
    package = tmp_path / "src" / "lovagestage"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text("state = 'before'\n")
    deps = tmp_path / "target" / "deps"
    deps.mkdir(parents=True)
    # Dependencies that are there already: the build installs none.
    (deps / ".installed").touch()
    os.utime(tmp_path / "deploy" / "requirements.txt", (0, 0))
    run(["sh", "-c", deploy["build"]], tmp_path)
    (package / "__init__.py").write_text("state = 'after it'\n")
    command = [sys.executable, "-c", "import lovagestage as p; print(p.state)"]
    state = run(command, tmp_path, PYTHONPATH="target/deps")
    assert state.strip() == "after it"
