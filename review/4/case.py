"""A planned stop of one entry while clients pipeline safe requests."""

import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from site_stand_in import CannotRun, GRACE_S, main, read_answer  # noqa: E402

HOST = "archive.example"
# As of the service `archivbuch` of flakon-gw: 300 ms of work, aim 800 ms, deadline 5 s.
WORK_S = 0.3
DEADLINE_S = 5.0
PIPELINED = 3
CLIENTS = 4


class Client(threading.Thread):
    """Keeps a connection to one entry and sends three safe requests before the first is answered.
    Opens a new connection, to another entry, when one is closed."""

    def __init__(self, site, number, entry, until):
        super().__init__(daemon=True)
        self.site, self.number, self.entry, self.until = site, number, entry, until
        self.count = 0
        # Request id: (entry, time of the last byte, time of the end, how it ended).
        self.requests = {}

    def run(self):
        while time.monotonic() < self.until:
            try:
                with socket.create_connection(self.entry.address("front"), timeout=1.0) as sock:
                    sock.settimeout(DEADLINE_S)
                    while time.monotonic() < self.until and self.exchange(sock):
                        time.sleep(0.02)
            except OSError:
                pass
            others = [e for e in self.site.entries if e is not self.entry and not e.signalled]
            self.entry = others[self.number % len(others)]

    def exchange(self, sock):
        """Sends the requests and reads the answers. Returns whether the connection stays open."""
        record = self.site.record
        ids = []
        message = b""
        for _ in range(PIPELINED):
            self.count += 1
            request_id = f"c{self.number}-{self.count}"
            ids.append(request_id)
            message += (
                f"GET /archive/{request_id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
                f"Request-Timeout: {int(DEADLINE_S * 1000)}\r\n\r\n"
            ).encode()
        sock.sendall(message)
        sent = record.now()
        record.write(f"client {self.number} sent {' '.join(ids)} to {self.entry.name}")
        rest, stays, how = b"", True, ""
        for request_id in ids:
            answer = None
            if stays:
                try:
                    answer = read_answer(sock, rest)
                except socket.timeout:
                    how = "no answer by the deadline"
                except OSError as error:
                    how = f"the connection broke: {error}"
            if answer is None:
                how = how or "the connection was closed without an answer"
                record.write(f"client {self.number}: {request_id}: {how}")
                self.requests[request_id] = (self.entry.name, sent, record.now(), how)
                stays = False
                continue
            status, fields, _, rest = answer
            record.write(f"client {self.number}: {request_id}: {status}")
            self.requests[request_id] = (self.entry.name, sent, record.now(), str(status))
            if fields.get("connection", "").lower() == "close":
                record.write(f"client {self.number}: the answer to {request_id} says close")
                stays = False
        return stays


def case(site, trouble):
    record = site.record
    site.add_instances("archivbuch", 6, work_s=WORK_S)
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
    stopped = site.entries[0]
    until = time.monotonic() + 14.0
    clients = [Client(site, n, site.entries[n % 2], until) for n in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(4.0)
    stop_at = record.now()
    if trouble:
        stopped.signal(signal.SIGTERM)
    for client in clients:
        client.join(30.0)
    runs = {}
    for instance in site.instances:
        for run in instance.runs:
            runs.setdefault(run.request_id, []).append(run)
    requests = {}
    for client in clients:
        requests.update(client.requests)
    answered = [i for i, (_, _, _, how) in requests.items() if how == "200"]
    if len(answered) < 50:
        raise CannotRun(f"only {len(answered)} requests were served")
    breaks = []
    for request_id, (entry, sent, ended, how) in requests.items():
        if not how.startswith("the connection"):
            continue
        # The rule: the machine that got SIGTERM, until 1 s after `grace`; passed on to an instance;
        # the instance did not break off; the deadline and the route's timeout were not reached; not
        # in the last sixth of `grace`.
        passed_on = [run for run in runs.get(request_id, []) if run.started < ended]
        in_time = ended < sent + 0.9 * DEADLINE_S
        early = not trouble or ended < stop_at + GRACE_S * 5 / 6
        if entry == stopped.name and passed_on and in_time and early:
            run = passed_on[0]
            breaks.append(
                f"{request_id}, sent to {entry} at {sent:.3f} s, ran at {run.instance} from "
                f"{run.started:.3f} s ({run.end}); at {ended:.3f} s {how}"
            )
    record.write(f"{len(requests)} requests, {len(answered)} answered with 200")
    return breaks


main(case)
