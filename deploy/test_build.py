"""Runs the deploy file's build command over a build folder that was carried
over from another path, with an older program in it.

Guards against a build that fails there and leaves the older program to be run.
"""
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
PARTS = ["CMakeLists.txt", "packages", "platform", "standins", "deploy", "docs",
         "examples"]
STALE = b"an older program"


def copy_tree(to):
    for part in PARTS:
        source = ROOT / part
        if source.is_dir():
            shutil.copytree(source, to / part)
        else:
            shutil.copy(source, to / part)


def main():
    command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["build"]
    with tempfile.TemporaryDirectory(prefix="build-test-") as name:
        tree = pathlib.Path(name)
        copy_tree(tree)
        program = tree / "target/bin/cardamompick"
        program.parent.mkdir(parents=True)
        program.write_bytes(STALE)
        (tree / "target/CMakeCache.txt").write_text(
            "CMAKE_HOME_DIRECTORY:INTERNAL=/elsewhere\n"
            "CMAKE_CACHEFILE_DIR:INTERNAL=/elsewhere/target\n")
        done = subprocess.run(command, shell=True, cwd=tree,
                              stdout=subprocess.PIPE,
                              stderr=subprocess.STDOUT, text=True)
        if done.returncode != 0:
            sys.exit("the build failed:\n" + done.stdout[-2000:])
        if program.read_bytes() == STALE:
            sys.exit("the older program is still there")


main()
