"""Scratch copies of the tree, in which single mechanisms are left out."""

import json
import pathlib
import re
import subprocess

from plan import NOTHING

TEMPLATES = ("deploy/gateway.json.in", "deploy/store.json.in")
PROGRAMS = ("trayrock-gateway", "trayrock-store")


class ScratchError(Exception):
    """A copy could not be made or played; the text says why."""


def with_trial(template, without):
    """A template of settings with a mechanism left out."""
    if without == NOTHING:
        return template
    trial = f',\n  "trial": {json.dumps({"without": [without]})}\n}}'
    changed, count = re.subn(r"\n\}\s*$", lambda _: trial + "\n", template)
    if count != 1:
        raise ScratchError("a template of settings does not end as expected")
    return changed


def _run(command, folder, **options):
    return subprocess.run(
        command, cwd=folder, check=False, capture_output=True, text=True, **options
    )


def build(root, folder):
    """Clones the tree's last commit and builds its programs there."""
    for command in (
        ["git", "clone", "--quiet", str(root), str(folder)],
        ["cmake", "-S", ".", "-B", "target", "-DCMAKE_BUILD_TYPE=RelWithDebInfo",
         "-DTRAYROCK_SERVICES_ONLY=ON"],
        ["cmake", "--build", "target", "-j4"],
    ):
        done = _run(command, folder if folder.exists() else root)
        if done.returncode != 0:
            raise ScratchError(f"{command[0]} failed: {done.stderr[-400:]}")
    return folder


class Copy:
    """One copy of the tree; plays one day at a time."""

    def __init__(self, built, folder):
        self.folder = pathlib.Path(folder)
        done = _run(["git", "clone", "--quiet", str(built), str(folder)], built)
        if done.returncode != 0:
            raise ScratchError(f"no copy: {done.stderr[-400:]}")
        target = self.folder / "target"
        target.mkdir()
        for name in PROGRAMS:
            (target / name).write_bytes((built / "target" / name).read_bytes())
            (target / name).chmod(0o755)
        self._skip_building()
        self.templates = {
            name: (self.folder / name).read_text() for name in TEMPLATES
        }

    def _skip_building(self):
        """The programs are there already, made from the same commit."""
        deploy = self.folder / "deploy/system.toml"
        text = deploy.read_text()
        deploy.write_text(re.sub(r"(?m)^build = .*$", 'build = "true"', text))

    def play(self, bench, kit, play, report):
        """Plays a day and returns its report."""
        for name, text in self.templates.items():
            (self.folder / name).write_text(with_trial(text, play.without))
        report.unlink(missing_ok=True)
        done = _run(
            [str(bench), "run", str(kit / f"{play.site}.toml"), play.day,
             "--seed", str(play.seed), "--no-cpu", "--report", str(report),
             "--why", f"trial, ablation: without {play.without}"],
            self.folder,
        )
        if not report.exists():
            raise ScratchError((done.stdout + done.stderr)[-400:])
        return json.loads(report.read_text())
