#!/usr/bin/env python3
"""Runs clang-tidy on source files, unless the same content passed before.

A result depends on the file, the project headers that it includes, the compile
command, the enabled checks and the installed packages. The digest of all these
is the cache key. Only clean results are cached, so that findings are reported
on each run.
"""

import argparse
import functools
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
IGNORED_OUTPUT = re.compile(r"warnings? generated|^Suppressed|^Use -header")


@functools.cache
def toolchain_state():
    """Returns the installed packages, which hold the system headers, the clang-tidy
    version and its configuration."""
    packages = subprocess.run(["dpkg-query", "-W"], capture_output=True, check=True).stdout
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    return packages + version + (ROOT / ".clang-tidy").read_bytes()


def project_dependencies(command, directory):
    """Returns the file and the project headers it includes, or None if preprocessing fails."""
    preprocess = [word for word in command if word not in ("-c", "-Werror")]
    output_at = preprocess.index("-o")
    del preprocess[output_at:output_at + 2]
    preprocess[0] = "clang++"
    run = subprocess.run(preprocess + ["-w", "-M"], cwd=directory, capture_output=True, text=True)
    if run.returncode != 0:
        return None
    words = run.stdout.split(":", 1)[1].replace("\\\n", " ").split()
    paths = {(pathlib.Path(directory) / word).resolve() for word in words}
    return sorted(path for path in paths if path.is_relative_to(ROOT))


def cache_key(entry):
    """Returns the cache key of a file, or None if its dependencies are unknown."""
    command = shlex.split(entry["command"])
    paths = project_dependencies(command, entry["directory"])
    if paths is None:
        return None
    state = hashlib.sha256(toolchain_state())
    state.update(entry["command"].replace(str(ROOT), "").encode())
    for path in paths:
        state.update(str(path.relative_to(ROOT)).encode() + b"\0" + path.read_bytes() + b"\0")
    return state.hexdigest()


def is_clean(path, build):
    run = subprocess.run(["clang-tidy", "-p", build, "--quiet", path],
                         cwd=ROOT, capture_output=True, text=True)
    sys.stdout.write(run.stdout)
    sys.stderr.writelines(line for line in run.stderr.splitlines(True) if not IGNORED_OUTPUT.search(line))
    return run.returncode == 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="folder of compile_commands.json")
    parser.add_argument("files", nargs="+")
    options = parser.parse_args()
    cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache"))
    cache = cache / "comfreyrill-lint"
    cache.mkdir(parents=True, exist_ok=True)
    commands = json.loads((ROOT / options.build / "compile_commands.json").read_text())
    entries = {str(pathlib.Path(entry["file"]).resolve()): entry for entry in commands}
    is_all_clean = True
    for name in options.files:
        entry = entries.get(str((ROOT / name).resolve()))
        key = cache_key(entry) if entry else None
        if key and (cache / key).exists():
            continue
        if not is_clean(name, options.build):
            is_all_clean = False
        elif key:
            (cache / key).touch()
    sys.exit(0 if is_all_clean else 1)


if __name__ == "__main__":
    main()
