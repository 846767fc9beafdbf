"""A start that is carried out late, by the next life of its minion."""
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin"))
from world import TROUBLE, CannotRun, main  # noqa: E402

LATE_S = 8.0            # applied_late: 2 to 12 s later
DOWN_S = 1.5            # srv_crash
JOB = "00000000000000a1"
MINIONS = 8             # srv_crash: one of them is a share of 0.125
OTHERS = 20             # applied_late: one of 21 starts is a share of 0.048


def case(world):
    held = []

    def hold_first(name):
        def hold(path, text):
            body = json.loads(text)
            if TROUBLE and path == "/run-start" and not held and \
                    body["task"].startswith(JOB):
                held.append(name)
                return LATE_S
            return None
        return hold

    world.start_store()
    for number in range(MINIONS):
        name = "w-%d" % number
        world.add_minion(name, "p1")
        world.relays[name].hold = hold_first(name)
    world.put_config(1, [{"name": "q1", "prefix": "/q/", "service": "p1"}],
                     ["p1"])
    for number in (1, 2):
        world.add_entry(number)
    world.wait_ready()
    body = {"spec": "ms=800", "steps": [
        {"count": 1, "cpu": 500, "mem_mb": 256, "estimated_ms": 800}]}
    world.submit_until_accepted(0, "/q/00000000000000a0", body)
    world.until(15, lambda: world.state(1, "/q/00000000000000a0") ==
                "completed", "the first job")
    time.sleep(6)       # the minions have been up for a while

    for number in range(OTHERS):
        world.submit_until_accepted(1, "/q/%016x" % (0xb00 + number), body)
    world.submit_until_accepted(0, "/q/" + JOB, body)
    sent = time.time()
    world.until(15, lambda: world.state(1, "/q/" + JOB) == "completed",
                "the job is completed")
    task = JOB + ".0.0.0"
    world.until(5, lambda: world.events(event="acknowledged", task=task,
                                        how="done"), "the end is noted")
    if TROUBLE:
        if time.time() > sent + LATE_S - DOWN_S - 1:
            print("could not run: the job took too long")
            sys.exit(2)
        world.crash_minion(held[0])
        time.sleep(DOWN_S)
        world.restart_minion(held[0])
    time.sleep(max(0, sent + LATE_S + 3 - time.time()))

    done = world.events(event="acknowledged", task=task, how="done")[0]
    if done["clock_ms"] >= done["lease_end_ms"]:
        raise CannotRun("the lease lapsed before the end was taken note of")
    again = [e for e in world.events(event="start", task=task)
             if e["t"] > done["t"]]
    if again:
        world.finish("TWICE: run %d of %s starts %.1f s after the end of run %d "
                     "as done was taken note of" % (
                         again[0]["run"], task, again[0]["t"] - done["t"],
                         done["run"]), True)
    world.finish("held: no start after the end that was taken note of", False)


main(case)
