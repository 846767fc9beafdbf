#!/bin/sh
# Ends of runs: when they are acknowledged, and what a new owner does with them.
. ./lib.subr

# Guards against an end that is acknowledged before it is in the store: the
# instance would no longer list it, so a new owner would not learn of it.
play "an end is acknowledged once it is in the store" one <<'EOT'
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

# Guards against a new owner that never acknowledges ends: it waits for those
# before the first one listed, which the previous owner has acknowledged.
play "a new owner acknowledges from the first end that is listed" one <<'EOT'
submit j1 1:1000:500
commit
takeover
instance i1
tick
report i1 clock=200 end:58:j1.0.0.0:1:done
commit
advance 1005
EOT

# Guards against a job that runs twice because its caller submitted it twice:
# before the record was written, after that, or after a takeover.
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

# Guards against a job that fails before its attempts are used up, or that
# continues after that.
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

# Guards against a step that starts before the step that it depends on is done.
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

# Guards against instances that are never removed: each move of a machine makes
# another instance, and a connection is kept for each.
play "an unlisted instance is removed once nothing runs there" two <<'EOT'
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
