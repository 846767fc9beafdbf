#!/bin/sh
# Long-running tasks, and draining their instances for maintenance.
. ./lib.subr

# Guards against a drain that stops more tasks of a step at once than
# max_unavailable, in particular when the last report is older than the start of
# a task.
play "a drain takes one task of the step at a time" <<'EOT'
pool
instance i1
instance i2 dc=dc-b
instance i3 dc=dc-b
tick
report i1 clock=100
report i2 clock=100
report i3 clock=100
submit j1 3:1000:0:lasting:keep
commit
started i1 j1.0.0.0 1 ok
started i1 j1.0.0.1 1 ok
started i2 j1.0.0.2 1 ok
advance 1450
drain i1 5000
advance 50
report i1 clock=200 run:j1.0.0.0:1:100 run:j1.0.0.1:1:100
report i2 clock=200 run:j1.0.0.2:1:100
advance 50
stopped i1 j1.0.0.1 1 ok
report i1 clock=230 run:j1.0.0.0:1:100 end:1:j1.0.0.1:1:stopped
commit
drain i1 5000
advance 60
started i2 j1.0.0.1 2 ok
advance 60
report i2 clock=300 run:j1.0.0.2:1:100 run:j1.0.0.1:2:100
advance 60
EOT

# Guards against a long-running task that is not started again after some kind
# of end.
play "a long-running task starts again, however it ends" one <<'EOT'
submit j1 attempts=1 1:1000:0:lasting
commit
started i1 j1.0.0.0 1 ok
advance 50
report i1 clock=120 end:1:j1.0.0.0:1:failed
advance 60
commit
started i1 j1.0.0.0 2 ok
advance 50
report i1 clock=200 end:2:j1.0.0.0:2:done
advance 60
commit
EOT

# Guards against a long-running task that waits for ever in a full pool, because
# smaller tasks take all room that becomes free.
play "a long-running task gets room in a full pool" <<'EOT'
pool
instance i1 cpu=2000
tick
report i1 clock=100
submit b1 2:1000:500
submit b2 2:1000:500
commit
started i1 b1.0.0.0 1 ok
started i1 b1.0.0.1 1 ok
submit j1 1:1500:0:lasting
commit
advance 50
report i1 clock=120 run:b1.0.0.1:1:50 end:1:b1.0.0.0:1:done
commit
report i1 clock=140 end:2:b1.0.0.1:1:done
commit
EOT

# Guards against a new owner that stops one task too many: the instance may still
# list a run that the previous owner has told it to stop.
play "a new owner waits before it drains an instance" two <<'EOT'
submit j1 2:1000:0:lasting:keep:apart
commit
takeover previous-gone
instance i1
instance i2 dc=dc-b
tick
report i1 clock=200 run:j1.0.0.0:1:100
report i2 clock=200 run:j1.0.0.1:1:100
drain i1 5000
advance 1300
report i1 clock=1500 run:j1.0.0.0:1:100
report i2 clock=1500 run:j1.0.0.1:1:100
advance 150
EOT

# Guards against a new owner that relies on a report from before its instance
# carried out the previous owner's stop: i1 is silent since, and its task may have
# ended. The task on i2 is stopped once i1 has reported again.
play "a new owner drains nothing on the word of an old report" two <<'EOT'
submit j1 2:1000:0:lasting:keep:apart
commit
takeover previous-gone
instance i1
instance i2 dc=dc-b
tick
report i1 clock=200 run:j1.0.0.0:1:100
report i2 clock=200 run:j1.0.0.1:1:100
drain i2 5000
advance 1300
report i2 clock=1500 run:j1.0.0.1:1:100
advance 200
report i1 clock=1700 run:j1.0.0.0:1:100
advance 5
EOT

# Guards against a drain that counts a task as available although its instance
# has been silent for some time.
play "a task on a silent instance does not count as available" two <<'EOT'
submit j1 2:1000:0:lasting:keep:apart
commit
advance 1400
report i1 clock=1500 run:j1.0.0.0:1:100
report i2 clock=1500 run:j1.0.0.1:1:100
advance 1600
report i2 clock=3100 run:j1.0.0.1:1:100
drain i2 5000
advance 5
report i1 clock=3110 run:j1.0.0.0:1:100
advance 5
EOT

# Guards against a pool that takes all machines on standby for one long-running
# job: its estimate, here 30 s, says how long it runs, not how much work there is.
play "long-running tasks are CPU that is used, not work that arrives" two <<'EOT'
submit j1 6:2400:30000:lasting
tick
load
commit
load
EOT

# Guards against a task that needs most of an instance and never gets one,
# because long-running tasks are on all of them: the planner is told.
play "a task that fits nowhere for a while is reported as blocked" two <<'EOT'
submit j1 2:1000:30000:lasting:apart
commit
report i1 clock=100 run:j1.0.0.0:1:100
report i2 clock=100 run:j1.0.0.1:1:100
submit j2 1:3500:500
commit
advance 300
load
advance 400
load
# It fits on the next instance.
instance i3
tick
report i3 clock=800
tick
load
EOT

# Guards against an instance that stays small for the owner after it has grown.
play "an instance that grows again takes more tasks" one <<'EOF'
instance i1 cpu=1000
submit j1 2:1000:5000:lasting
commit
instance i1 cpu=2000
commit
EOF
