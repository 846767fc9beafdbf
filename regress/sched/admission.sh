#!/bin/sh
# Which jobs are accepted and which are refused when a queue submits more than
# its pool can do in time.
. ./lib.subr

# Guards against a queue that accepts more than its pool can do in time, so that
# each job makes the others late. An instance of 4 cores gets jobs that take 4
# cores for a second, with an objective of 2.2 s: one runs, one waits and is in
# time, and the others are refused at once. A second submission of an accepted id
# is accepted again.
for admission in all in-time; do
	play "a surge beyond the pool, admission $admission" one <<EOT
admission $admission
submit j1 4:1000:1000
commit
submit j2 4:1000:1000
commit
submit j3 4:1000:1000
submit j4 4:1000:1000
submit j2 4:1000:1000
commit
state j4
EOT
done

# Guards against the refusal of a job that machines on their way to the pool could
# run in time: with one more machine, the pool does two of these jobs in a second.
play "incoming machines count" one <<'EOT'
submit j1 4:1000:1000
commit
submit j2 4:1000:1000
commit
submit j3 4:1000:1000
coming 1
submit j3 4:1000:1000
submit j4 4:1000:1000
submit j5 4:1000:1000
commit
EOT

# Guards against a refused job that is submitted again and takes room from jobs in
# time, although it is late: its age counts from its first submission.
play "a late job waits for jobs in time" one <<'EOT'
submit j1 4:1000:1000
commit
submit j2 4:1000:1000
commit
submit j3 4:1000:1000
advance 100
submit j3 4:1000:1000
submit j4 4:1000:100
commit
EOT

# Guards against a refusal while machines on standby are switched off: three of
# them do the waiting work in 2.8 s, after the objective, but long before the job
# is overdue.
play "machines on standby count for late jobs" one <<'EOT'
submit j1 4:1000:1000
commit
submit j2 4:1000:1000
submit j3 4:1000:1000
submit j4 4:1000:1000
coming 0 3
submit j4 4:1000:1000
commit
EOT

# Guards against counting machines on standby that were reported by a planner
# that has stopped: a report is used for one second.
play "the planner's report expires after a second" one <<'EOT'
submit j1 4:1000:1000
commit
coming 0 3
advance 1100
submit j2 4:1000:1000
submit j3 4:1000:1000
submit j4 4:1000:1000
commit
EOT

# Guards against the refusal of a long-running job, or of one with a schedule,
# because of waiting work that will have ended long before.
play "long-running and scheduled jobs are accepted" one <<'EOT'
submit j1 4:1000:1000
submit j2 4:1000:1000
submit j3 4:1000:1000
submit j4 2:1000:1000:lasting
submit j5 2:1000:1000 repeats=3 interval=1000
commit
EOT

# Guards against a load report in which work that is late looks like work in time.
play "the load report tells late work from work in time" one <<'EOT'
admission all
submit j1 1:4000:1000
submit j2 1:4000:900
commit
started i1 j2.0.0.0 1 ok
late
jump 2000
tick
late
report i1 clock=2100 end:1:j2.0.0.0:1:done
commit
late
EOT
