#!/bin/sh
# A new owner, and the runs that the previous owner has started.
. ./lib.subr

# Guards against a second run of a task that the previous owner may have started.
# The instance's first report to the new owner shows whether the task runs there;
# from then on the instance refuses starts with the older fence.
play "a start of the previous owner was lost" one <<'EOT'
submit j1 2:1000:500
commit
started i1 j1.0.0.0 1 ok
takeover
instance i1
tick
report i1 clock=300 run:j1.0.0.0:1:50
commit
EOT

# Guards against a second run while the first may continue behind a network
# partition. The previous owner may renew leases for some time after the
# takeover, and the wait includes that time.
play "the lease on an instance that cannot be reached expires" one <<'EOT'
submit j1 1:1000:500:lasting
commit
takeover
instance i1
instance i2 dc=dc-b
tick
report i2 clock=300
renew-failed i1 none
advance 8230
commit
advance 15
commit
EOT

play "and earlier when the previous owner has released the pool" one <<'EOT'
submit j1 1:1000:500:lasting
commit
takeover previous-gone
instance i1
instance i2 dc=dc-b
tick
report i2 clock=300
renew-failed i1 none
advance 4110
commit
advance 15
commit
EOT

# Guards against a wait that starts again with each new owner: an owner that
# releases the pool reports the remaining time of its leases to the next.
play "the previous owner reports how long its leases run" one <<'EOT'
submit j1 1:1000:500
commit
takeover left ms=1500
instance i1
instance i2 dc=dc-b
tick
report i2 clock=300
renew-failed i1 none
advance 1540
commit
advance 15
commit
EOT

# lapse_after MS WORD...: how a task on an instance that is gone waits after a
# takeover with these words; it is placed elsewhere after MS more than 15.
lapse_after()
{
	ms=$1
	shift
	cat <<EOT
submit j1 1:1000:500:lasting
commit
takeover $*
instance i1
instance i2 dc=dc-b
tick
report i2 clock=300
renew-failed i1 none
advance $ms
commit
advance 15
commit
EOT
}

# Guards against a wait that counts the lease of an owner which is known to have
# ended.
play "a previous owner whose lease has ended renews no longer than the grace" \
    one <<EOT
$(lapse_after 6170 vacant=100 lease-ended)
EOT

# Guards against a second run while a previous owner, which did not see that its key
# was removed, still renews leases.
play "one that lost only its key may renew its own lease once more" one <<EOT
$(lapse_after 8230 vacant=100)
EOT

# Guards against a second run by the word of an owner that another one followed
# unseen.
play "another one may have owned a role that was vacant for long" one <<EOT
$(lapse_after 8230 vacant=1000 lease-ended)
EOT

# Guards against a wait that begins with the takeover although the claim proves that
# nobody has owned the role since it was seen vacant.
play "the wait counts from the vacancy when the last owner is certain" one <<EOT
$(lapse_after 3170 vacant=3000 lease-ended certain)
EOT

play "the same for one that lost only its key" one <<EOT
$(lapse_after 5230 vacant=3000 certain)
EOT

# Guards against an owner that was suspended, was replaced meanwhile and continues:
# it must send no starts after its lease has expired, and extend no leases after
# renew_grace_ms.
play "an owner whose lease has ended" <<'EOT'
pool
lease 2000
instance i1
tick
report i1 clock=100
submit j1 2:1000:500
commit
started i1 j1.0.0.0 1 ok
started i1 j1.0.0.1 1 none
jump 3000
tick
report i1 clock=3100 run:j1.0.0.0:1:50
jump 2000
tick
lease 2000
tick
EOT

# Guards against a job that is lost, or whose state changes, in a takeover.
play "cancelled and running jobs keep their state" one <<'EOT'
submit j1 1:1000:500
submit j2 1:1000:500
commit
cancel j2
commit
takeover
state j1
state j2
instance i1
tick
report i1 clock=300 run:j1.0.0.0:1:50 run:j2.0.0.0:1:50
EOT

# Guards against ending a live instance because the registry entry of an earlier
# instance on the same machine arrives late.
play "registry entries out of order" <<'EOT'
pool
instance new machine=m1 born=20
tick
report new clock=100 born=20
submit j1 1:1000:500
commit
started new j1.0.0.0 1 ok
instance old machine=m1 born=10
commit
instance newest machine=m1 born=30
commit
EOT

# Guards against an instance that left and is in use again: an entry of an earlier
# incarnation, read late, comes after the one of its successor. It neither ends the
# runs nor is it used.
play "an entry of an earlier incarnation is ignored" <<'EOT'
pool
instance i1 born=5
tick
report i1 clock=100 born=5
submit j1 1:1000:500
commit
instance i1 born=3
commit
report i1 clock=150 born=5 run:j1.0.0.0:1:10
submit j2 1:1000:500
commit
EOT
