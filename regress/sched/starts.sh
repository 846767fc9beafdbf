#!/bin/sh
# Starts and stops without a response, refused starts, and when a task may get
# its next run.
. ./lib.subr

# Guards against a second run beside the first. The start of the first run was
# sent twice: one is refused as late, but the other, with a later deadline, may
# still be accepted.
play "a refusal proves nothing while another start is in flight" two <<'EOT'
submit j1 1:1000:500
commit
advance 410
started i1 j1.0.0.0 1 late
stopped i1 j1.0.0.0 1 none
advance 405
stopped i1 j1.0.0.0 1 ok
tick
# Requested before the stop was answered: proves nothing.
report i1 clock=900 sent=700
commit
advance 5
report i1 clock=920
commit
EOT

# Guards against a task that is not placed elsewhere after its start was
# refused.
play "a task is placed elsewhere when its only start is refused" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 refused
advance 25
commit
EOT

# Guards against a second run after a start without a response: the instance may
# have accepted it, so the task must not be placed elsewhere.
play "a start without a response is repeated on the same instance" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 405
report i1 clock=505 run:j1.0.0.0:1:10
state j1
EOT

# Guards against a task that waits for ever for an instance that cannot be
# reached: the renewals that are sent to it must not extend the lease.
play "the lease of an instance that does not answer expires" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
advance 50
renew-failed i1 none
advance 160
renew-failed i1 none
advance 1000
renew-failed i1 none
advance 2900
renew-failed i1 none
advance 100
commit
advance 100
commit
EOT

# Guards against a wait for the expiry of a lease although another incarnation at
# the address proves that the runs have ended.
play "another incarnation at the address ends the runs at once" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
advance 50
renew-failed i1 replaced
commit
EOT

# Guards against a run that starts on an instance that began to leave while the
# record of the run was being written.
play "no start goes to an instance that began to leave" two <<'EOT'
submit j1 1:1000:500
tick
take
instance i1 leaving=7000
done
commit
EOT

# Guards against a gang of which only some members are started, because the
# instance of another began to leave.
play "a gang waits as a whole when one of its instances leaves" <<'EOT'
pool
instance i1 cpu=1000
instance i2 cpu=1000
instance i3 cpu=1000
tick
report i1 clock=100
report i2 clock=100
submit j1 2:1000:500:gang
tick
take
instance i2 leaving=7000
done
commit
report i3 clock=100
commit
EOT

# Guards against a run that starts on an instance that is leaving, because a
# start without a response is repeated.
play "a start without a response is not repeated on a leaving instance" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
instance i1 leaving=7000
advance 405
stopped i1 j1.0.0.0 1 ok
advance 5
report i1 clock=515
commit
EOT

# Guards against a start beyond a capacity that has shrunk since the placement.
play "no start goes to an instance that has become too small" two <<'EOF'
submit j1 2:1000:500
tick
take
instance i1 cpu=1000
done
commit
EOF

# Guards against the same by a start that is repeated since it had no response.
play "a start is not repeated on an instance that has become too small" two <<'EOF'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
instance i1 cpu=500
advance 405
stopped i1 j1.0.0.0 1 ok
advance 5
report i1 clock=515
commit
EOF

# Guards against a start beyond the capacity beside a run that the owner does not know.
play "no start goes to an instance while it lists an unknown run" two <<'EOF'
report i1 clock=100 run:j9.0.0.0:1:10
report i2 clock=100 run:j9.0.0.1:1:10
submit j1 1:1000:500
commit
report i1 clock=200 end:1:j9.0.0.0:1:stopped
commit
EOF

# Guards against an instance that is never used again after its lease has expired.
play "an instance is asked again after its lease has expired" one <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
renew-failed i1 none
advance 4100
renew-failed i1 none
advance 300
report i1 clock=4500
commit
EOT

# Guards against an instance that is never used again since its registry entry and
# the lease of its tasks lapsed in a cut while a start had no response.
play "an instance is asked again when its entry is back after a cut" one <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
renew-failed i1 none
gone i1
advance 4200
renew-failed i1 none
instance i1
tick
EOT

# Guards against the same when the answer to a renewal can no longer come, since
# the instance has another address.
play "an instance is asked again at its new address" one <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
tick
instance i1 address=10.0.0.2:80
tick
EOT

# Guards against a task that runs twice since the next incarnation has its first run.
play "a start that the next incarnation has carried out" two <<'EOT'
submit j1 1:1000:500
submit j2 1:1000:500
commit
started i1 j1.0.0.0 1 none
started i1 j2.0.0.0 1 none
advance 500
report i1 clock=100 born=2 run:j1.0.0.0:1:10 run:j2.0.0.0:1:10
commit
advance 10
report i1 clock=110 born=2 end:1:j1.0.0.0:1:done run:j2.0.0.0:1:10
stopped i1 j2.0.0.0 1 ok
advance 10
report i1 clock=120 born=2 end:2:j2.0.0.0:1:stopped
commit
state j1
EOT

play "a start that the next incarnation has not carried out" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
report i1 clock=100 born=2
commit
advance 10
report i1 clock=110 born=2
commit
stopped i1 j1.0.0.0 1 ok
advance 10
report i1 clock=120 born=2
commit
EOT
