#!/bin/sh
# What is taken and what is refused when a queue asks for more than its pool
# holds.
. ./lib.subr

# Guards against a queue that takes more than its pool can do in time: each job
# then makes the others late. An instance of 4 cores gets jobs of 4 cores for a
# second, with an objective of 2.2 s: one runs, one waits in time, and the others
# are refused at once. The same id again is the job that was taken.
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

# Guards against a job that is refused for work on machines that are on their
# way: the planner has ordered one more, which does two of these in a second.
play "machines on their way count" one <<'EOT'
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

# Guards against a job that came back late and takes room from those in time: it
# counts from its first attempt.
play "a late attempt waits for what is in time" one <<'EOT'
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

# Guards against a refusal while machines are off: three on standby do in 2.8 s
# what waits, later than the objective and long before it is overdue.
play "machines on standby take what would be late" one <<'EOT'
submit j1 4:1000:1000
commit
submit j2 4:1000:1000
submit j3 4:1000:1000
submit j4 4:1000:1000
coming 0 3
submit j4 4:1000:1000
commit
EOT

# Guards against machines on standby that a planner named which has gone since.
play "the planner's word ends after a second" one <<'EOT'
submit j1 4:1000:1000
commit
coming 0 3
advance 1100
submit j2 4:1000:1000
submit j3 4:1000:1000
submit j4 4:1000:1000
commit
EOT

# Guards against a lasting job, or one with a schedule, that is refused for work
# that will be over long before.
play "what lasts is taken" one <<'EOT'
submit j1 4:1000:1000
submit j2 4:1000:1000
submit j3 4:1000:1000
submit j4 2:1000:1000:lasting
submit j5 2:1000:1000 repeats=3 interval=1000
commit
EOT
