"""A route is removed, and another with its host and prefix is added for another
service. Jobs that were accepted before are looked for there."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin"))
from world import BOUNDS, TROUBLE, CannotRun, main  # noqa: E402

JOB, RUNNING, CANCELLED = ("00000000000000%02x" % n for n in (1, 2, 3))
Q1 = {"name": "r-one", "prefix": "/q/", "service": "p1"}
Q2 = {"name": "r-two", "prefix": "/q/", "service": "p2"}
OTHER = {"name": "r-other", "prefix": "/other/", "service": "p2"}


def job(work_ms):
    return {"spec": "ms=%d" % work_ms, "steps": [
        {"count": 1, "cpu": 500, "mem_mb": 256, "estimated_ms": work_ms}]}


def case(world):
    world.start_store()
    for number in range(2):
        world.add_minion("w-1%d" % number, "p1")
        world.add_minion("w-2%d" % number, "p2")
    world.put_config(1, [Q1, OTHER], ["p1", "p2"])
    for number in (1, 2):
        world.add_entry(number)
    world.wait_ready()
    world.submit_until_accepted(0, "/q/" + JOB, job(500))
    world.submit_until_accepted(0, "/q/" + RUNNING, job(30000))
    world.submit_until_accepted(0, "/q/" + CANCELLED, job(30000))
    task = JOB + ".0.0.0"
    world.until(15, lambda: world.events(event="acknowledged", task=task,
                                         how="done"), "the end is noted")
    world.until(15, lambda: world.events(
        event="start", task=CANCELLED + ".0.0.0"), "the long jobs run")
    world.state(1, "/q/" + RUNNING)
    if TROUBLE:
        world.put_config(4, [OTHER], ["p1", "p2"])
        time.sleep(1)
        world.put_config(7, [Q2, OTHER], ["p1", "p2"])
    time.sleep(BOUNDS["config_apply_ms"] / 1000 + 1)

    # The client's first attempt, which arrives once more.
    world.request(1, "POST", "/q/" + JOB, job(500))
    world.note("the next two: a job that runs, and the cancel of another")
    seen = world.state(0, "/q/" + RUNNING)
    cancelled, _ = world.request(0, "DELETE", "/q/" + CANCELLED)
    at = time.time()
    time.sleep((BOUNDS["cancel_ms"] + BOUNDS["stop_grace_ms"]) / 1000 + 1)

    done = world.events(event="acknowledged", task=task, how="done")[0]
    if done["clock_ms"] >= done["lease_end_ms"]:
        raise CannotRun("the lease lapsed before the end was taken note of")
    again = [e for e in world.events(event="start", task=task)
             if e["t"] > done["t"]]
    broken = []
    if again:
        broken.append("TWICE: %s starts on %s %.1f s after its end as done on "
                      "%s was taken note of" % (
                          task, again[0]["minion"], again[0]["t"] - done["t"],
                          done["minion"]))
    if seen == 410:
        broken.append("LOST: GET of an accepted job that runs gives 410")
    if cancelled in (200, 410) and not world.events(
            event="end", task=CANCELLED + ".0.0.0"):
        broken.append("UNASKED: a task runs %.1f s after its job's cancel was "
                      "acknowledged with %d" % (time.time() - at, cancelled))
    world.finish("; ".join(broken) or "held: each job is one job", bool(broken))


main(case)
