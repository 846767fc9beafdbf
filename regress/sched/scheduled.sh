#!/bin/sh
# Jobs with a schedule, gangs and advice.
. ./lib.subr

# Guards against an occurrence of a scheduled job that starts before it is due,
# or not at all.
play "occurrences start when they are due" one <<'EOT'
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

# Guards against a gang that starts although only some members have room, and
# against the end of one member that is not counted once for the whole gang.
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
