"""Stand-in for one minion (PROTOCOL.md, "Running tasks" and "Service discovery").

One process is one life of the minion: a kill is a crash, and a new process with
the same --id is the next life, which knows nothing of before. A task works for
the time that its spec names ("ms=800"); one whose spec is "lasts" runs until it is
stopped, and is at work after WARM_UP_MS. Everything that it does is appended to
--events as lines of JSON.
"""
import argparse
import base64
import http.client
import json
import os
import re
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

parser = argparse.ArgumentParser()
parser.add_argument("--id", required=True)
parser.add_argument("--listen", required=True)      # own address
parser.add_argument("--address", required=True)     # as registered
parser.add_argument("--store", required=True)
parser.add_argument("--service", required=True)
parser.add_argument("--events", required=True)
parser.add_argument("--zone", default="dc-a")
parser.add_argument("--rack", default="r1-1")
parser.add_argument("--cpu", type=int, default=4000)
parser.add_argument("--heartbeat-ms", type=int, default=1500)
parser.add_argument("--hold-max-ms", type=int, default=6000)
parser.add_argument("--stop-ms", type=int, default=200)
args = parser.parse_args()

WARM_UP_MS = 200
BORN_MS = int(time.time() * 1000)
STARTED = time.monotonic()
changed = threading.Condition()
events_fd = os.open(args.events, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

fence = 0
lease_end_ms = 0
running = {}        # task -> dict(run, until, stopping)
ends = []           # [N, task, run, how, saved]
highest = {}        # task -> highest run that was stopped or has ended
next_end = 1


def clock_ms():
    return int((time.monotonic() - STARTED) * 1000)


def log(**event):
    event.update(t=round(time.time(), 3), minion=args.id, born=BORN_MS,
                 clock_ms=clock_ms())
    os.write(events_fd, (json.dumps(event) + "\n").encode())


def end_run(task, how):
    global next_end
    run = running.pop(task)["run"]
    highest[task] = max(highest.get(task, 0), run)
    ends.append([next_end, task, run, how, ""])
    log(event="end", task=task, run=run, how=how, number=next_end)
    next_end += 1
    changed.notify_all()


def worker():
    """Ends runs that are done, stopped or whose lease has run out."""
    while True:
        with changed:
            now = clock_ms()
            for task in list(running):
                state = running[task]
                if now >= lease_end_ms:
                    end_run(task, "lapsed")
                elif state["stopping"] is not None and now >= state["stopping"]:
                    end_run(task, "stopped")
                elif now >= state["until"]:
                    end_run(task, "done")
        time.sleep(0.005)


def extend(deadline_ms):
    global lease_end_ms
    lease_end_ms = max(lease_end_ms,
                       min(deadline_ms, clock_ms() + args.hold_max_ms))


def is_fenced(body):
    global fence
    token = body.get("fencing_token", 0)
    if token < fence:
        return True
    fence = token
    return False


def start(body):
    task, run = body["task"], body["run"]
    if is_fenced(body):
        return 409, {"reason": "fence"}
    if body["deadline_ms"] <= clock_ms():
        return 409, {"reason": "late"}
    extend(body["deadline_ms"])
    if task in running and running[task]["run"] == run:
        return 200, {}
    if run <= highest.get(task, 0) or task in running:
        return 409, {"reason": "old"}
    found = re.search(r"ms=(\d+)", body["spec"])
    work_ms = int(found.group(1)) if found else 500
    lasts = body["spec"] == "lasts"
    running[task] = {"run": run, "since": clock_ms(), "lasts": lasts,
                     "until": float("inf") if lasts else clock_ms() + work_ms,
                     "stopping": None}
    log(event="start", task=task, run=run, spec=body["spec"], fence=fence,
        deadline_ms=body["deadline_ms"])
    return 200, {}


def stop(body):
    task, run = body["task"], body["run"]
    if is_fenced(body):
        return 409, {"reason": "fence"}
    highest[task] = max(highest.get(task, 0), run)
    if task in running and running[task]["run"] <= run and \
            running[task]["stopping"] is None:
        running[task]["stopping"] = clock_ms() + args.stop_ms
        log(event="stop", task=task, run=run)
    return 200, {}


def percent(state):
    if not state["lasts"]:
        return 50
    return 100 if clock_ms() >= state["since"] + WARM_UP_MS else 0


def hold(body):
    if is_fenced(body):
        return 409, {"reason": "fence"}
    cursor = body.get("ack_cursor", 0)
    for end in [e for e in ends if e[0] <= cursor]:
        ends.remove(end)
        log(event="acknowledged", task=end[1], run=end[2], how=end[3],
            number=end[0], lease_end_ms=lease_end_ms)
    if body.get("deadline_ms"):
        extend(body["deadline_ms"])
    until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
    while not ends and time.monotonic() < until:
        changed.wait(until - time.monotonic())
    return 200, {"born": BORN_MS,
                 "running": [[t, s["run"], "", percent(s), 500]
                             for t, s in running.items()],
                 "finished": [list(e) for e in ends[:500]]}


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_POST(self):
        text = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        expected = self.headers.get("X-Expect-Instance", args.id)
        call = {"/run-start": start, "/run-stop": stop,
                "/hold": hold}.get(self.path)
        with changed:
            if expected != args.id:
                status, body = 421, {}
            elif call is None:
                status, body = 400, {}
            else:
                status, body = call(json.loads(text))
        body["clock_ms"] = clock_ms()
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *unused):
        pass


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True


def store_call(path, body):
    host, port = args.store.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=2)
    conn.request("POST", path, json.dumps(body),
                 {"Content-Type": "application/json"})
    response = conn.getresponse()
    text = response.read()
    conn.close()
    return response.status, json.loads(text or b"{}")


def register():
    """Writes the entry servers/ID, which goes three heartbeats after the last."""
    lease, sequence, ttl_ms = 0, 0, 3 * args.heartbeat_ms
    while True:
        sequence += 1
        try:
            if lease == 0:
                lease = store_call("/kv-lease", {"ttl_ms": ttl_ms})[1]["lease"]
            elif store_call(f"/kv-keep/{lease}", {})[0] != 200:
                lease = store_call("/kv-lease", {"ttl_ms": ttl_ms})[1]["lease"]
            entry = {"service": args.service, "address": args.address,
                     "zone": args.zone, "version": "v1", "slots": 8,
                     "state": "ready", "cold_remaining_ms": 0,
                     "sequence": sequence, "born": BORN_MS,
                     "capacity": {"cpu": args.cpu, "mem_mb": 65536, "gpu": 0},
                     "labels": ["a", args.rack], "machine": "m-" + args.id}
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            store_call("/kv-txn", {"precondition": [], "remove": [], "writes": [
                {"key": "servers/" + args.id, "value": value, "lease": lease}]})
        except OSError:
            pass
        time.sleep(args.heartbeat_ms / 1000)


host, port = args.listen.rsplit(":", 1)
server = Server((host, int(port)), Handler)
log(event="born")
threading.Thread(target=worker, daemon=True).start()
threading.Thread(target=register, daemon=True).start()
server.serve_forever()
