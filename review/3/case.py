"""A large configuration that changes often: the memory of the replicas."""

import json
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from site_stand_in import main  # noqa: E402

MEMORY_MB = 260
# `big_config` with 1,400 routes; changes follow each other by 60 ms, as those of `config_storm`.
BIG_ROUTES = 1400
SMALL_ROUTES = 8
GAP_S = 0.06
MAX_CHANGES = 400
LENGTH_S = 70.0
QUIET_S = 10.0
RESTART_S = 0.5


class Platform(threading.Thread):
    """Ends a replica that uses more memory than its limit, and starts it again, as DEPLOY.md says."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site, self.done = site, threading.Event()
        self.ends = {replica.name: [] for replica in site.replicas}
        self.most = {replica.name: 0 for replica in site.replicas}

    def run(self):
        while not self.done.wait(0.05):
            for replica in self.site.replicas:
                used = resident_mb(replica.child.pid)
                self.most[replica.name] = max(self.most[replica.name], used)
                if used > MEMORY_MB:
                    self.site.record.write(f"{replica.name} uses {used} MB, over its limit: killed")
                    self.ends[replica.name].append(self.site.record.now())
                    replica.signal(signal.SIGKILL)
                    replica.child.wait()
                    threading.Thread(target=self.restart, args=(replica,), daemon=True).start()
                elif replica.child.poll() is not None and not replica.signalled:
                    self.site.record.write(f"{replica.name} ended by itself")
                    self.ends[replica.name].append(self.site.record.now())
                    replica.signalled = True
                    threading.Thread(target=self.restart, args=(replica,), daemon=True).start()

    def restart(self, replica):
        time.sleep(RESTART_S)
        if not self.done.is_set():
            replica.start()


def resident_mb(pid):
    try:
        with open(f"/proc/{pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 2**20
    except (OSError, IndexError):
        return 0


def route(number):
    return {
        "entryKind": "routes",
        "meta": {"name": f"r-{number:05}"},
        "spec": {
            "host": f"team{number % 40}.example",
            "pathPrefix": f"/area{number}/part{number % 7}/",
            "kind": "safe",
            "timeout": "TTT",
            "targetLatency": "800ms",
            "priority": 2,
            "service": "archivbuch",
            "maxAttempts": 2,
        },
    }


def case(site, trouble):
    record = site.record
    site.add_instances("archivbuch", 3)
    count = BIG_ROUTES if trouble else SMALL_ROUTES
    service = {
        "entryKind": "services",
        "meta": {"name": "archivbuch"},
        "spec": {
            "healthPath": "/health",
            "maxConns": 260,
            "protocol": "h1",
            "tls": False,
            "warmup": "3s",
            "warmupPerS": 5.2,
        },
    }
    limits = {
        "entryKind": "limits",
        "meta": {},
        "spec": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }
    rest = ",".join(json.dumps(r) for r in [route(n) for n in range(0, count)] + [service, limits])
    platform = Platform(site)
    platform.start()
    until = time.monotonic() + LENGTH_S
    changes = acknowledged = 0
    ready = False
    due = time.monotonic()
    while time.monotonic() < until and changes < MAX_CHANGES:
        if trouble and sum(len(ends) >= 6 for ends in platform.ends.values()) >= 2:
            break
        changes += 1
        # Each version changes the timeouts of the routes.
        timeout_text = f"{3000 + changes}ms"
        body = f'{{"version":"r{changes}","resources":[{rest.replace("TTT", timeout_text)}]}}'
        for _ in range(8):
            replica = random.choice(site.replicas)
            answer = site.call(replica, "PUT", "/v1/config", body, timeout=3.0)
            if answer and answer[0] == 200:
                acknowledged += 1
                break
            record.write(f"r{changes} to {replica.name}: {answer and answer[0]}")
            time.sleep(0.2)
        if not ready:
            site.wait_ready()
            ready = True
        if changes % 25 == 0:
            used = " ".join(f"{r.name} {resident_mb(r.child.pid)} MB" for r in site.replicas)
            record.write(f"{changes} changes sent, {acknowledged} acknowledged: {used}")
        due += GAP_S
        time.sleep(max(0.0, due - time.monotonic()))
        due = max(due, time.monotonic())
    record.write(f"{changes} changes of {len(rest)} bytes sent, {acknowledged} acknowledged; no more changes")
    quiet = time.monotonic() + (QUIET_S if trouble else 1.0)
    while time.monotonic() < quiet:
        for replica in site.replicas:
            answer = site.call(replica, "GET", "/v1/config")
            text = f"{answer[0]}, {answer[1][:17]}" if answer else "no answer"
            record.write(f"read of the configuration at {replica.name}: {text}")
        time.sleep(0.5)
    platform.done.set()
    record.write(f"most memory: {platform.most}")
    often = [name for name, ends in platform.ends.items() if len(ends) >= 3]
    if len(often) * 2 < len(site.replicas):
        return []
    return [
        f"{name} ended over its memory limit at {', '.join(f'{at:.1f} s' for at in ends)}"
        for name, ends in platform.ends.items()
    ]


main(case)
