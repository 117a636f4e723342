"""The start of the fleet daemon's process."""

import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).parents[2]
RELOADED_WHILE_LOADING = """
import os, signal, sys, types
from azurewood.commands import fleet_process
assert "click" not in sys.modules

class Loading(types.ModuleType):
    def fleet(self):
        print("loaded")

class Finder:
    def find_spec(self, name, path, target=None):
        if name == "azurewood.commands.fleet":
            os.kill(os.getpid(), signal.SIGHUP)
            sys.modules[name] = Loading(name)
            import importlib.machinery
            return importlib.machinery.ModuleSpec(name, self)

    def create_module(self, spec):
        return Loading(spec.name)

    def exec_module(self, module):
        pass

sys.meta_path.insert(0, Finder())
fleet_process.main()
"""


def test_a_reload_during_imports_does_not_end_the_process():
    done = subprocess.run(
        [sys.executable, "-c", RELOADED_WHILE_LOADING],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout == "loaded\n"


def test_the_deploy_file_starts_the_fleet_process():
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    run = tomllib.loads(text)["roles"]["entry"]["run"]
    assert run == "python3 -m azurewood.commands.fleet_process"
