#!/usr/bin/env python3
"""Replaces the processes of one build by those of another, one after the other, under traffic.

Three replicas, three entries and nine servers run on loopback, with 40 requests a second. Before and
after each replacement, a failure domain is evacuated and taken back, the configuration changes, and a
server departs and starts again under its id. Checked from outside: requests are served, orders are
acknowledged and in force, and no process ends by itself.

    git worktree add /tmp/old COMMIT && (cd /tmp/old && cargo build --release -p hawthornhill)
    cargo build --release -p hawthornhill
    examples/upgrade_trial.py --old /tmp/old/target/release/hawthornhill --order replicas

The record is written beside the script of the run, in --folder.
"""

import argparse
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
sys.path.insert(0, os.path.join(ROOT, "review", "standin"))
import site_stand_in  # noqa: E402

HOST = "archive.example"
DOMAIN = "north"
REQUEST_PERIOD_S = 0.025
# As callers of the platform do: a few attempts, each at another entry.
MAX_ATTEMPTS = 3
# Bounds of the platform: an evacuation and a departure must be in force after these.
EVACUATE_S = 5.0
DRAIN_S = 2.0
ACK_S = 4.0
GRACE_S = 6.0
# Time that a replaced process has before the next orders; twice that, before the next replacement.
SETTLE_S = 2.5
MAX_UNSERVED_SHARE = 0.01


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--old", required=True, help="program that runs at first")
    new = os.path.join(ROOT, "target", "release", "hawthornhill")
    parser.add_argument("--new", default=new, help="program that replaces it")
    orders = ["replicas", "entries", "mixed", "back"]
    parser.add_argument("--order", choices=orders, default="replicas", help="which processes first")
    parser.add_argument("--kill", action="store_true", help="end processes by SIGKILL")
    parser.add_argument("--folder", default="/tmp", help="folder of the record")
    return parser.parse_args()


class Traffic(threading.Thread):
    """Sends requests at a fixed rate and counts those that no attempt served."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site, self.done = site, threading.Event()
        self.sent, self.unserved = 0, []

    def run(self):
        while not self.done.wait(REQUEST_PERIOD_S):
            threading.Thread(target=self.request, args=(self.sent,), daemon=True).start()
            self.sent += 1

    def request(self, number):
        for attempt in range(MAX_ATTEMPTS):
            running = [e for e in self.site.entries if not e.signalled and e.child.poll() is None]
            entry, request_id = random.choice(running), f"q{number}-{attempt}"
            head = (
                f"GET /archive/{request_id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
                "Request-Timeout: 2500\r\nConnection: close\r\n\r\n"
            )
            try:
                with socket.create_connection(entry.address("front"), timeout=1.0) as sock:
                    sock.settimeout(2.5)
                    sock.sendall(head.encode())
                    answer = site_stand_in.read_answer(sock)
                outcome = answer and answer[0]
            except OSError as error:
                outcome = repr(error)
            if outcome == 200:
                return
            self.site.record.write(f"{request_id} at {entry.name}: {outcome}")
            time.sleep(0.05)
        self.unserved.append(number)


class Upgrade:
    """One run: orders before the first replacement and after each."""

    def __init__(self, site, options):
        self.site, self.options, self.breaks = site, options, []
        self.spec = {
            "host": HOST,
            "pathPrefix": "/archive/",
            "kind": "safe",
            "timeout": "5000ms",
            "targetLatency": "800ms",
            "priority": 2,
            "service": "archivbuch",
            "maxAttempts": 2,
        }

    def configure(self, stage):
        self.spec["timeout"] = f"{5000 + stage}ms"
        self.site.configure({"r-archive": self.spec}, ["archivbuch"])

    def sequence(self):
        replicas, entries = list(self.site.replicas), list(self.site.entries)
        new, old = self.options.new, self.options.old
        if self.options.order == "replicas":
            return [(process, new) for process in replicas + entries]
        if self.options.order == "entries":
            return [(process, new) for process in entries + replicas]
        if self.options.order == "mixed":
            return [(process, new) for pair in zip(replicas, entries) for process in pair]
        replaced = [replicas[0], entries[0], replicas[1]]
        return [(process, new) for process in replaced] + [(process, old) for process in replaced]

    def replace(self, process, program):
        process.program = program
        process.signal(signal.SIGKILL if self.options.kill else signal.SIGTERM)
        try:
            process.child.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            process.child.kill()
            process.child.wait()
        process.start()
        time.sleep(SETTLE_S)

    def orders(self, stage):
        """Gives the orders of a stage. Returns the server that departed and started again."""
        site, path = self.site, f"/v1/evacuate/{DOMAIN}"
        site.order("POST", path, limit=ACK_S)
        evacuated = site.record.now()
        self.configure(stage)
        leaving = site.instances[stage % len(site.instances)]
        leaving.silent = True
        time.sleep(0.1)
        site.order("DELETE", f"/v1/instances/{leaving.name}", limit=ACK_S)
        departed = site.record.now()
        time.sleep(EVACUATE_S + 1.0)
        for instance in site.instances:
            for run in list(instance.runs):
                if instance.zone == DOMAIN and run.started > evacuated + EVACUATE_S:
                    self.breaks.append(f"stage {stage}: {run.request_id} in the evacuated domain")
                if instance is leaving and run.started > departed + DRAIN_S:
                    self.breaks.append(f"stage {stage}: {run.request_id} at {leaving.name}, gone")
        leaving.born, leaving.seq, leaving.silent = int(time.time() * 1000), 0, False
        leaving.runs_before = len(leaving.runs)
        threading.Thread(target=leaving.beat_forever, daemon=True).start()
        site.order("DELETE", path, limit=ACK_S)
        time.sleep(SETTLE_S)
        return leaving

    def run(self, _trouble):
        site = self.site
        site.add_instances("archivbuch", 9, work_s=0.05)
        self.configure(0)
        site.wait_ready()
        time.sleep(SETTLE_S)
        traffic = Traffic(site)
        traffic.start()
        restarted = self.orders(1)
        for stage, (process, program) in enumerate(self.sequence(), 2):
            self.replace(process, program)
            next_restarted = self.orders(stage)
            if len(restarted.runs) == restarted.runs_before:
                self.breaks.append(f"stage {stage}: {restarted.name} started again and got nothing")
            restarted = next_restarted
        traffic.done.set()
        time.sleep(SETTLE_S)
        self.breaks += [f"{name} ended by itself" for name in site.ended_by_themselves()]
        served = traffic.sent - len(traffic.unserved)
        print(f"order {self.options.order}: {served} of {traffic.sent} requests served")
        if len(traffic.unserved) > MAX_UNSERVED_SHARE * traffic.sent:
            self.breaks.append(f"{len(traffic.unserved)} of {traffic.sent} requests not served")
        return self.breaks


def start_process(process, options):
    """Starts a process of the stand-in with the program that is set for it."""
    folder = process.site.folder
    path = os.path.join(folder, f"{process.name}.conf")
    with open(path, "w") as file:
        file.write(process.render())
    program = getattr(process, "program", options.old)
    with open(os.path.join(folder, f"{process.name}.log"), "ab") as log:
        process.child = subprocess.Popen(
            [program, process.role],
            cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "HAWTHORNHILL_BOOT": path},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
    process.first_start, process.signalled = False, False
    build = "old" if program == options.old else "new"
    process.site.record.write(f"{process.name} started with the {build} build")


def main():
    options = parse_arguments()
    site_stand_in.Process.start = lambda process: start_process(process, options)
    # The stand-in writes its record beside the program that is named first.
    sys.argv[0] = os.path.join(options.folder, "upgrade_trial")
    site_stand_in.main(lambda site, trouble: Upgrade(site, options).run(trouble))


main()
