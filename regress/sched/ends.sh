#!/bin/sh
# Ends of runs: when they are acknowledged, and what a new owner makes of them.
. ./lib.subr

# Guards against an end that is acknowledged before the store has it.
play "an end is acknowledged once it is recorded" one <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
advance 50
report i1 clock=120 end:1:j1.0.0.0:1:done
tick
take
state j1
advance 500
done
state j1
advance 1100
EOT

# Guards against a new owner that never acknowledges, since the ends before the
# first one it sees were acknowledged to the former owner.
play "a new owner goes on from the first end that is listed" one <<'EOT'
submit j1 1:1000:500
commit
takeover
instance i1
tick
report i1 clock=200 end:58:j1.0.0.0:1:done
commit
advance 1005
EOT

# Guards against a doubled submission that becomes a second job.
play "the same id is one job, before and after a takeover" one <<'EOT'
submit j1 1:1000:500
take
submit j1 1:1000:500
done
commit
takeover
submit j1 1:1000:500
commit
EOT

# Guards against a job that fails before its attempts are used up, or not then.
play "a task that fails too often fails its job" two <<'EOT'
submit j1 attempts=2 1:1000:500
commit
started i1 j1.0.0.0 1 ok
advance 50
report i1 clock=120 end:1:j1.0.0.0:1:failed
advance 60
commit
started i2 j1.0.0.0 2 ok
state j1
advance 50
report i2 clock=200 end:1:j1.0.0.0:2:failed
tick
state j1
commit
state j1
EOT

# Guards against a step that starts before the one it comes after is done.
play "a step waits for the one before" one <<'EOT'
submit j1 2:1000:500 1:1000:500
commit
started i1 j1.0.0.0 1 ok
started i1 j1.0.0.1 1 ok
advance 50
report i1 clock=120 run:j1.0.0.1:1:50 end:1:j1.0.0.0:1:done
commit
advance 50
report i1 clock=140 end:2:j1.0.0.1:1:done
commit
EOT

# Guards against connections that are kept for ever to instances that have gone:
# each move makes another instance.
play "an unlisted instance is forgotten once nothing runs there" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
gone i1
gone i2
tick
advance 50
report i1 clock=150 end:1:j1.0.0.0:1:done
commit
EOT
