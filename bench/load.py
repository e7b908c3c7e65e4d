"""Runs `cardamomctl load` for the scenarios and reads its report."""

import json
import subprocess

from fleet import CTL


class Load:
    """An open-loop load against some URLs, in a child process.

    `rate` is in requests per second, `operators` maps names to shares.
    """

    def __init__(self, fleet, name, urls, model="desk-model", operators=None,
                 seed=1, rate=50, seconds=10, extra=()):
        self.fleet = fleet
        self.out = fleet.folder / f"{name}.json"
        self.record_path = fleet.folder / f"{name}.jsonl"
        arguments = [str(CTL), "load", "--model", model, "--seed", str(seed),
                     "--rate", str(rate), "--seconds", str(seconds),
                     "--out", str(self.out), "--records",
                     str(self.record_path), "--check-tokens"]
        for url in urls:
            arguments += ["--url", url]
        for operator, share in (operators or {"kit-desk": 1}).items():
            arguments += ["--operator",
                          f"{operator}:{fleet.key(operator)}:{share}"]
        arguments += [str(e) for e in extra]
        self.log = open(fleet.folder / f"{name}.load.log", "wb")
        self.child = subprocess.Popen(arguments, stdout=self.log,
                                      stderr=self.log, cwd=fleet.folder)

    def wait(self, seconds=90):
        """Returns the report after the last request has ended.

        Raises RuntimeError if there is no report.
        """
        self.child.wait(seconds)
        self.log.close()
        if not self.out.exists():
            raise RuntimeError(f"load failed, see {self.log.name}: "
                               f"{open(self.log.name).read()[-500:]}")
        return json.loads(self.out.read_text())

    def records(self):
        return [json.loads(line) for line in
                self.record_path.read_text().splitlines()]


def run(fleet, name, **settings):
    return Load(fleet, name, **settings).wait()


def node_urls(fleet):
    return [node.url for node in fleet.nodes]


def count_failed(report):
    """Requests that got neither a complete response nor a proper refusal."""
    every = report["classes"]["all"]
    return sum(every[k] for k in ("cut", "wrong", "failed", "error_event"))


def count_refused(report):
    every = report["classes"]["all"]
    return sum(every[f"refused_{ran}"] for ran in ("no", "maybe", "yes"))


def first_token_ms(report, kind="all", quantile="p99"):
    return report["classes"][kind]["first_token_ms"].get(quantile, 0.0)
