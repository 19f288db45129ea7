"""A withdrawal of an evacuation that reached a frozen replica, and a newer evacuation."""

import glob
import os
import random
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from site_stand_in import CannotRun, ZONES, main, read_answer  # noqa: E402

HOST = "archive.example"
ZONE = "north"
FREEZE_S = 4.0
CONTACT_S = 3.0
EVACUATE_S = 5.0
MAX_SKEW_S = 5.0


def follower(site):
    """Returns a replica that does not lead, to judge by the logs."""
    leaders = {}
    for path in glob.glob(os.path.join(site.folder, "replica-*.log")):
        for line in open(path, errors="replace"):
            if '"msg":"leading"' in line:
                at = line.split('"ts":"')[1].split('"')[0]
                leaders[at] = os.path.basename(path)[: -len(".log")]
    if not leaders:
        raise CannotRun("no replica leads")
    leader = leaders[max(leaders)]
    return random.choice([replica for replica in site.replicas if replica.name != leader])


def order_with_patience(site, method, path, first):
    """Sends an order as PROTOCOL.md says: to one node, for a second; then to the others."""
    record = site.record
    with socket.create_connection(first.address("control"), timeout=1.0) as sock:
        sock.settimeout(1.0)
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: {first.ip}\r\n\r\n".encode())
        try:
            answer = read_answer(sock)
        except socket.timeout:
            answer = None
    record.write(f"order {method} {path} to {first.name}: {answer[0] if answer else 'no answer in 1 s, closed'}")
    if not answer or answer[0] >= 300:
        others = [replica for replica in site.replicas if replica is not first]
        site.order(method, path, nodes=others)
    return record.now()


def send_requests(site, count, prefix):
    served = 0
    for number in range(count):
        entry = site.entries[number % len(site.entries)]
        request_id = f"{prefix}{number}"
        try:
            with socket.create_connection(entry.address("front"), timeout=1.0) as sock:
                sock.settimeout(2.5)
                sock.sendall(
                    (
                        f"GET /archive/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
                        f"Request-Id: {request_id}\r\nRequest-Timeout: 2500\r\n\r\n"
                    ).encode()
                )
                answer = read_answer(sock)
        except OSError:
            answer = None
        served += 1 if answer and answer[0] == 200 else 0
        site.record.write(f"request {request_id} to {entry.name}: {answer and answer[0]}")
        time.sleep(0.02)
    return served


def case(site, trouble):
    site.add_instances("archivbuch", 9, work_s=0.05)
    spec = {
        "host": HOST,
        "pathPrefix": "/archive/",
        "kind": "safe",
        "timeout": "5000ms",
        "targetLatency": "800ms",
        "priority": 2,
        "service": "archivbuch",
        "maxAttempts": 2,
    }
    site.configure({"r-archive": spec}, ["archivbuch"])
    site.wait_ready()
    time.sleep(5.0)
    path = f"/v1/evacuate/{ZONE}"
    frozen = follower(site)
    others = [replica for replica in site.replicas if replica is not frozen]
    site.order("POST", path)
    time.sleep(2.0)
    if trouble:
        frozen.signal(signal.SIGSTOP)
    frozen_at = time.monotonic()
    order_with_patience(site, "DELETE", path, frozen)
    time.sleep(0.5)
    acknowledged = site.record.now()
    site.order("POST", path, nodes=others)
    acknowledged = site.record.now()
    site.record.write(f"the evacuation of {ZONE} is acknowledged, and is not withdrawn again")
    time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    thawed = site.record.now()
    if trouble:
        frozen.signal(signal.SIGCONT)
    # From here on the bound has passed, also the one that an unstable core stretches, and all
    # machines are in touch.
    judged = max(acknowledged + EVACUATE_S + MAX_SKEW_S, thawed + CONTACT_S + 1.0)
    time.sleep(max(0.0, judged - site.record.now()))
    served = send_requests(site, 120, "r")
    if served < 60:
        raise CannotRun(f"only {served} requests were served")
    breaks = []
    for instance in site.instances:
        for run in instance.runs:
            if instance.zone == ZONE and run.started > judged:
                late = run.started - acknowledged
                breaks.append(
                    f"{run.request_id} reached {instance.name} in zone {ZONE} {late:.1f} s after "
                    "the evacuation was acknowledged"
                )
    return breaks


assert ZONE in ZONES
main(case)
