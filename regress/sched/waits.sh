#!/bin/sh
# Guards against a task that does not run without a line on why, or with a wrong
# reason.
. ./lib.subr

play_waits "the lease of an instance that is gone" two <<'EOT'
submit j1 2:1000:0:lasting
commit
started i1 j1.0.0.0 1 ok
started i1 j1.0.0.1 1 ok
gone i1
renew-failed i1 none
advance 3500
waits
advance 1000
report i2 clock=4600
commit
started i2 j1.0.0.0 2 ok
started i2 j1.0.0.1 2 ok
advance 1000
waits
EOT

play_waits "a lease after each change of owner" one <<'EOT'
submit j1 1:1000:0:lasting
commit
started i1 j1.0.0.0 1 ok
advance 500
takeover
tick
advance 3000
takeover
tick
advance 3000
waits
EOT

play_waits "avoided after a refusal" one <<'EOT'
submit j1 1:1000:0:lasting
tick
take
advance 2960
done
tick
started i1 j1.0.0.0 1 refused
advance 40
EOT

play_waits "failing instances, for tasks that do not last" <<'EOT'
pool
admission all
alive w
instance i1
advance 100
grey i1
submit w1 1:1000:0:lasting
advance 500
submit w2 1:1000:500
advance 12000
waits
EOT

play_waits "of failing and full ones a failing one is the last choice" <<'EOT'
pool
admission all
instance i1 cpu=1000
instance i2 cpu=1000 dc=dc-b
tick
report i1 clock=100
report i2 clock=100
submit j0 1:1000:90000
commit
started i1 j0.0.0.0 1 ok
submit j1 attempts=9 1:1000:500
commit
started i2 j1.0.0.0 1 ok
report i2 clock=110 end:1:j1.0.0.0:1:failed
advance 60
commit
started i2 j1.0.0.0 2 ok
report i2 clock=170 end:1:j1.0.0.0:1:failed end:2:j1.0.0.0:2:failed
advance 60
commit
started i2 j1.0.0.0 3 ok
report i2 clock=300 end:2:j1.0.0.0:2:failed end:3:j1.0.0.0:3:failed
submit j2 1:1000:0:lasting
commit
advance 3000
report i1 clock=3200 run:j0.0.0.0:1:10
waits
EOT

play_waits "a full pool, and an instance with room kept for another task" <<'EOT'
pool
instance i1 cpu=3000
instance i2 cpu=4000 dc=dc-b
tick
report i1 clock=100
report i2 clock=100
submit j0 1:3000:90000
submit j1 1:3000:90000
commit
started i1 j0.0.0.0 1 ok
started i2 j1.0.0.0 1 ok
submit j2 1:2000:0:lasting
commit
advance 500
submit j3 1:1000:500
commit
advance 12000
waits
EOT

play_waits "not listed, leaving, draining, unreachable, not the label" two <<'EOT'
instance i3 labels=b
instance i4
instance i5
instance i6
tick
report i3 clock=100
report i5 clock=100
report i6 clock=100
gone i4
instance i1 leaving=60000
drain i2 60000
instance i7
renew-failed i6 none
report i5 clock=110 run:j9.0.0.0:1:10
submit j1 1:1000:0:lasting:label-a
submit j2 1:9000:0:lasting:label-b
commit
advance 3000
EOT

play_waits "apart" two <<'EOT'
submit j1 3:1000:0:lasting:apart
commit
started i1 j1.0.0.0 1 ok
started i2 j1.0.0.1 1 ok
advance 3000
EOT

play_waits "the record waits for the store" one <<'EOT'
submit j1 2:1000:0:lasting
tick
take
advance 3000
EOT

play_waits "the start has no response" one <<'EOT'
submit j1 1:1000:0:lasting
commit
advance 3000
EOT

play_waits "the window holds the start" one <<'EOT'
window
submit j1 3:1000:0:lasting
commit
tick
advance 3000
EOT

play_waits "the round ends, since many starts wait" <<'EOT'
pool
instance i1 cpu=400000
tick
report i1 clock=100
window
submit j1 300:1000:0:lasting
submit j2 1:1000:0:lasting
commit
advance 3000
EOT

play_waits "the owner's lease may have expired" one <<'EOT'
submit j1 1:1000:0:lasting
lease 0
commit
advance 3000
EOT

play_waits "a stop whose end is not known" one <<'EOT'
submit j1 1:1000:0:lasting
commit
started i1 j1.0.0.0 1 ok
instance i1 leaving=60000
advance 3000
EOT

play_waits "a pause after a refusal" one <<'EOT'
submit j1 1:1000:0:lasting
tick
take
advance 2990
done
tick
started i1 j1.0.0.0 1 refused
advance 10
EOT

play_waits "set aside, since the store refuses the record" one <<'EOT'
submit j1 1:1000:0:lasting
submit j2 1:1000:0:lasting
commit
started i1 j1.0.0.0 1 ok
started i1 j2.0.0.0 1 ok
report i1 clock=200 end:1:j1.0.0.0:1:stopped end:2:j2.0.0.0:1:stopped
refuse
refuse
commit
started i1 j2.0.0.0 2 ok
advance 3000
EOT

play_waits "advice, and advice that names another instance" one <<'EOT'
submit j1 advice 1:1000:0:lasting
submit j2 advice 1:1000:0:lasting
commit
advised j2.0.0.0 valid=60000 i9:t9
advance 3000
EOT

play_waits "the trial of another job's suspect" <<'EOT'
pool
instance i1
tick
report i1 clock=100
submit j1 1:1000:0:lasting
submit j2 1:1000:0:lasting
commit
started i1 j1.0.0.0 1 ok
started i1 j2.0.0.0 1 ok
instance i1 born=2
tick
report i1 clock=0 born=2
stopped i1 j1.0.0.0 1 ok
stopped i1 j2.0.0.0 1 ok
advance 5
report i1 clock=5 born=2
commit
advance 3000
EOT

play_waits "a suspect that waits for its trial" two <<'EOT'
submit j1 1:1000:0:lasting
submit j2 1:1000:0:lasting
commit
started i1 j1.0.0.0 1 ok
started i1 j2.0.0.0 1 ok
instance i1 born=2
tick
report i1 clock=0 born=2
stopped i1 j1.0.0.0 1 ok
stopped i1 j2.0.0.0 1 ok
advance 5
report i1 clock=5 born=2
commit
advance 3000
EOT

play_waits "a gang for which there is not enough room" one <<'EOT'
submit j1 5:1000:0:lasting:gang
commit
advance 3000
EOT

play_waits "earlier steps are only counted" one <<'EOT'
submit j1 1:1000:500 1:1000:0:lasting
commit
started i1 j1.0.0.0 1 ok
advance 5000
waits
EOT

play_waits "jobs without long-running tasks, after ten seconds" <<'EOT'
pool
admission all
submit j1 2:1000:500
submit j2 1:1000:500
commit
advance 9900
waits
advance 2200
waits
EOT

# At most four lines a second, each job in turn.
play_waits "many long-running jobs wait" <<'EOT'
pool
submit j1 1:1000:0:lasting
submit j2 1:1000:0:lasting
submit j3 1:1000:0:lasting
submit j4 1:1000:0:lasting
submit j5 1:1000:0:lasting
submit j6 9:1000:0:lasting
commit
advance 4000
waits
EOT

play_waits "tasks that run" one <<'EOT'
submit j1 2:1000:0:lasting
submit j2 1:1000:90000
commit
started i1 j1.0.0.0 1 ok
started i1 j1.0.0.1 1 ok
started i1 j2.0.0.0 1 ok
advance 12000
waits
EOT
