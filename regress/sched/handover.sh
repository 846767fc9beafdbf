#!/bin/sh
# What an owner tells later ones when it releases the pool.
. ./lib.subr

# A long-running task of which an owner has seen the end and could not record it.
unrecorded_end()
{
	two
	cat <<'EOT'
submit j1 1:1000:0:lasting
commit
started i1 j1.0.0.0 1 ok
report i1 clock=120 run:j1.0.0.0:1:100
instance i1 leaving=2000
tick
stopped i1 j1.0.0.0 1 ok
report i1 clock=130 end:1:j1.0.0.0:1:stopped
gone i1
keep-ends
EOT
}

# another_owner [WORD...]: the next owner, which reaches only i2.
another_owner()
{
	cat <<EOT
takeover $*
instance i2 dc=dc-b
tick
report i2 clock=300
advance 50
EOT
}

# Guards against a wait for the lease of a run whose end an owner knew.
play "an end that the previous owner could not record" unrecorded_end <<EOT
$(another_owner)
tell-ends
tick
commit
EOT

play "and that the new owner learns before it has read the records" \
    unrecorded_end <<EOT
$(another_owner told)
commit
EOT

# Guards against ends that are lost with an owner that was replaced while it loaded.
play "two owners follow each other, the first is replaced while it loads" \
    unrecorded_end <<EOT
takeover told unloaded
keep-ends
$(another_owner told)
commit
EOT

# Guards against a second run on the word of an owner of long ago.
play "a later run of the task is not ended by an earlier end" unrecorded_end <<EOT
$(another_owner told)
commit
started i2 j1.0.0.0 2 ok
takeover
instance i2 dc=dc-b
tell-ends
tick
commit
EOT

# Guards against a second run by the word of an owner that has reserved a run and
# could not record it, so that the next one used its number.
play "the number of a run that was not recorded is used again" unrecorded_end <<EOT
advance 50
keep-ends
$(another_owner left ms=10)
commit
started i2 j1.0.0.0 2 ok
takeover
instance i2 dc=dc-b
tell-ends
tick
commit
EOT

# Guards against a run counted as ended while its instance lists it.
play "an instance that has responded knows better" unrecorded_end <<'EOT'
takeover
instance i1
instance i2 dc=dc-b
tick
report i1 clock=300 run:j1.0.0.0:1:100
report i2 clock=300
tell-ends
advance 50
commit
EOT

# Guards against an attempt that is not counted, since only the previous owner saw
# it fail.
play "a failed attempt counts with the end" one <<'EOT'
submit j1 attempts=2 1:1000:500
commit
started i1 j1.0.0.0 1 ok
report i1 clock=150 end:1:j1.0.0.0:1:failed
gone i1
keep-ends
takeover told
instance i2 dc=dc-b
tick
report i2 clock=300
advance 100
commit
started i2 j1.0.0.0 2 ok
report i2 clock=400 end:1:j1.0.0.0:2:failed
commit
state j1
EOT

# Guards against a second run by the word of an owner that was suspended, while
# another one renewed the leases of the instances.
play "an owner that may have been replaced counts no lease as expired" two <<'EOT'
submit j1 1:1000:0:lasting
commit
started i1 j1.0.0.0 1 ok
report i1 clock=120 run:j1.0.0.0:1:100
lease 2000
renew-failed i1 none
jump 6000
tick
keep-ends
takeover
instance i1
instance i2 dc=dc-b
tick
report i2 clock=300
tell-ends
advance 50
commit
EOT
