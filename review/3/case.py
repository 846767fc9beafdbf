"""A job of which many occurrences are due at once: its record is larger than a
value of the store may be."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin"))
from world import BOUNDS, TROUBLE, main  # noqa: E402

MINIONS = 8
TRAFFIC_S = 8
JOB, LARGE = "00000000000000e1", "00000000000000e2"


def step(count, work_ms, **more):
    return dict({"count": count, "cpu": 500, "mem_mb": 256,
                 "estimated_ms": work_ms}, **more)


def running(world):
    return len(world.events(event="start")) - len(world.events(event="end"))


def case(world):
    world.start_store()
    world.limit_values()
    for number in range(MINIONS):
        world.add_minion("w-%d" % number, "p1")
    world.put_config(1, [{"name": "q1", "prefix": "/q/", "service": "p1"}],
                     ["p1"])
    for number in (1, 2):
        world.add_entry(number)
    world.wait_ready()
    world.submit_until_accepted(0, "/q/" + JOB, {"spec": "ms=3000", "steps": [
        step(1, 3000), step(1, 3000, after=[0])]})
    world.until(15, lambda: world.events(event="start", task=JOB + ".0.0.0"),
                "the first step")
    if TROUBLE:
        # Every 10 s for a day; handed in 23 hours after its first time.
        body = {"spec": "ms=300", "repeats": 8640, "interval_ms": 10000,
                "start_time_ms": int(time.time() * 1000) - 23 * 3600 * 1000,
                "steps": [step(64, 300)]}
        world.request(0, "POST", "/q/" + LARGE, body)
        world.request(1, "POST", "/q/" + LARGE, body)
    other, accepted = 0, 0
    end = time.time() + TRAFFIC_S
    while time.time() < end:
        status, _ = world.request(other % 2, "POST", "/q/%016x" % (
            0xf00 + other), {"spec": "ms=300", "steps": [step(1, 300)]})
        accepted += status == 200
        other += 1
        time.sleep(1)
    world.note("end of the traffic")
    time.sleep(BOUNDS["finish_s"])

    # For 3 s: the second step's turn has come, and nothing of the job runs.
    stuck, state = True, None
    end = time.time() + 3
    while time.time() < end:
        state = world.state(other % 2, "/q/" + JOB)
        stuck = stuck and state not in ("completed", "cancelled") and \
            world.events(event="end", task=JOB + ".0.0.0", how="done") != [] \
            and not world.events(event="start", task=JOB + ".0.1.0") \
            and running(world) == 0
        other += 1
        time.sleep(0.5)
    world.note("peak memory of the entry processes in MB: %s" %
               world.peak_mb())
    if stuck:
        world.finish("LOST: finish_s after the end of the traffic, for 3 s, "
                     "nothing of the accepted job runs, though its second "
                     "step's turn has come and %d minions are idle; it is shown "
                     "as %s; %d other jobs were accepted" % (
                         MINIONS, state, accepted), True)
    world.finish("held: the job is %s; %d other jobs were accepted" % (
        state, accepted), False)


main(case)
