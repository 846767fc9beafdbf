#!/bin/sh
# Jobs with a schedule, gangs and advice.
. ./lib.subr

# Guards against an occurrence that starts before its time, or not at all.
play "occurrences start at their times" one <<'EOT'
submit j1 repeats=2 first=1000 interval=500 1:1000:100
commit
pending
advance 990
commit
advance 10
commit
started i1 j1.0.0.0 1 ok
advance 50
report i1 clock=1120 end:1:j1.0.0.0:1:done
commit
state j1
advance 480
commit
started i1 j1.1.0.0 1 ok
advance 50
report i1 clock=1620 end:2:j1.1.0.0:1:done
commit
state j1
EOT

# Guards against a gang of which only some members have room, and against
# members that count one end more than once.
play "a gang starts and ends as one" <<'EOT'
pool
instance i1 cpu=2000
tick
report i1 clock=100
submit g1 3:1000:500:gang
commit
instance i2 cpu=2000 dc=dc-b
tick
report i2 clock=100
commit
started i1 g1.0.0.0 1 ok
started i1 g1.0.0.1 1 ok
started i2 g1.0.0.2 1 ok
advance 50
report i1 clock=120 end:1:g1.0.0.0:1:done
commit
state g1
EOT
