#!/bin/sh
# Tasks that crash the instance that starts them, and those that run beside.
. ./lib.subr

# Guards against an endless series of crashes, and a crash charged to a neighbour.
play "a task is given up after three crashes, its neighbour is not" <<'EOT'
pool
instance i1
tick
report i1 clock=100
submit j1 1:1000:500
submit j2 1:1000:500
commit
started i1 j1.0.0.0 1 ok
started i1 j2.0.0.0 1 ok
# The first crash: either may have been the cause.
instance i1 born=2
tick
report i1 clock=0 born=2
stopped i1 j1.0.0.0 1 ok
stopped i1 j2.0.0.0 1 ok
advance 5
report i1 clock=5 born=2
commit
started i1 j1.0.0.0 2 ok
instance i1 born=3
tick
report i1 clock=0 born=3
stopped i1 j1.0.0.0 2 ok
advance 5
report i1 clock=5 born=3
commit
started i1 j2.0.0.0 2 ok
advance 250
report i1 clock=250 born=3 run:j2.0.0.0:2:50
commit
started i1 j1.0.0.0 3 ok
instance i1 born=4
tick
report i1 clock=0 born=4
stopped i1 j2.0.0.0 2 ok
stopped i1 j1.0.0.0 3 ok
advance 5
report i1 clock=5 born=4
commit
state j1
state j2
started i1 j2.0.0.0 3 ok
advance 250
report i1 clock=250 born=4 end:1:j2.0.0.0:3:done
commit
state j2
EOT

# Guards against a count that is lost with the owner.
play "the count outlives the owner" <<'EOT'
pool
instance i1
tick
report i1 clock=100
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
instance i1 born=2
tick
report i1 clock=0 born=2
stopped i1 j1.0.0.0 1 ok
advance 5
report i1 clock=5 born=2
commit
takeover previous-gone
instance i1 born=2
tick
report i1 clock=50 born=2
commit
started i1 j1.0.0.0 2 ok
instance i1 born=3
tick
report i1 clock=0 born=3
stopped i1 j1.0.0.0 2 ok
advance 5
report i1 clock=5 born=3
commit
takeover previous-gone
instance i1 born=4
tick
report i1 clock=0 born=4
commit
started i1 j1.0.0.0 4 ok
instance i1 born=5
tick
report i1 clock=0 born=5
stopped i1 j1.0.0.0 4 ok
advance 5
report i1 clock=5 born=5
commit
state j1
EOT

# Guards against a takeover that puts all runs lost with their instances on trial.
play "runs of the previous owner are not tried after one crash" two <<'EOT'
submit j1 1:1000:5000
submit j2 1:1000:5000
commit
started i1 j1.0.0.0 1 ok
started i1 j2.0.0.0 1 ok
takeover previous-gone
instance i1 born=2
tick
report i1 clock=0 born=2
commit
started i1 j1.0.0.0 2 ok
started i1 j2.0.0.0 2 ok
takeover previous-gone
instance i1 born=3
tick
report i1 clock=0 born=3
commit
EOT

# Guards against an endless series of crashes with a loss of the owner in each.
play "five crashes are enough whatever the causes" <<'EOT'
pool
instance i1
tick
report i1 clock=100
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
takeover previous-gone
instance i1 born=2
tick
report i1 clock=0 born=2
commit
takeover previous-gone
instance i1 born=3
tick
report i1 clock=0 born=3
commit
takeover previous-gone
instance i1 born=4
tick
report i1 clock=0 born=4
commit
takeover previous-gone
instance i1 born=5
tick
report i1 clock=0 born=5
commit
takeover previous-gone
instance i1 born=6
tick
report i1 clock=0 born=6
commit
state j1
EOT

# Guards against a job that fails because its instances were cut off.
play "an expired lease is no proof of a crash" <<'EOT'
pool
instance i1
tick
report i1 clock=100
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
renew-failed i1 none
instance i2
tick
report i2 clock=100
advance 4150
commit
started i2 j1.0.0.0 2 ok
renew-failed i2 none
instance i3
tick
report i3 clock=100
advance 4300
commit
started i3 j1.0.0.0 3 ok
renew-failed i3 none
instance i4
tick
report i4 clock=100
advance 4300
commit
state j1
EOT

# Guards against crashes charged to a task whose starts came after them.
play "a start without a response is no proof of a crash" <<'EOT'
pool
instance i1
tick
report i1 clock=100
submit j1 1:1000:500
commit
instance i1 born=2
tick
stopped i1 j1.0.0.0 1 ok
advance 5
report i1 clock=5 born=2
commit
instance i1 born=3
tick
stopped i1 j1.0.0.0 1 ok
stopped i1 j1.0.0.0 2 ok
advance 5
report i1 clock=5 born=3
commit
instance i1 born=4
tick
stopped i1 j1.0.0.0 1 ok
stopped i1 j1.0.0.0 2 ok
stopped i1 j1.0.0.0 3 ok
advance 5
report i1 clock=5 born=4
commit
state j1
EOT

# Guards against a count that is lost with an owner that has not seen the run's end.
play "a crash is recorded before the run is known to have ended" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
instance i1 born=2
tick
commit
takeover previous-gone
instance i1 born=2
tick
report i1 clock=0 born=2
commit
submit j2 1:1000:500
commit
EOT

# Guards against a crash that is charged to a run that had lasted.
play "a run that has lasted is not the cause" two <<'EOT'
submit j1 1:1000:5000
commit
started i1 j1.0.0.0 1 ok
advance 260
report i1 clock=360 run:j1.0.0.0:1:10
instance i1 born=2
tick
report i1 clock=0 born=2
stopped i1 j1.0.0.0 1 ok
advance 5
report i1 clock=5 born=2
report i2 clock=360
submit j2 1:1000:500
commit
started i1 j2.0.0.0 1 ok
started i2 j2.0.0.0 1 ok
commit
EOT

# Guards against a suspect of which the response to a later start shows that it lasted.
play "a run before which the instance responded is not the cause" two <<'EOT'
submit j1 1:1000:5000
commit
started i1 j1.0.0.0 1 ok
advance 260
submit j2 1:1000:500
commit
started i1 j2.0.0.0 1 ok
renew-failed i1 replaced
commit
started i2 j2.0.0.0 2 ok
advance 260
report i2 clock=620 run:j2.0.0.0:2:50
# j1 is not on trial, so that j3 is started beside it.
commit
submit j3 1:1000:500
commit
EOT

# Guards against crashes of which several jobs may be the cause.
play "jobs are started apart after a sign of a crash" one <<'EOT'
submit j1 1:1000:500
commit
renew-failed i1 none
instance i2
instance i3
tick
report i2 clock=100
report i3 clock=100
submit j2 1:1000:500
submit j3 2:1000:500
commit
# There is no instance left for j4 alone.
submit j4 1:1000:500
commit
EOT

# Guards against trials that wait for each other, unknown to the planner.
play "idle instances host more trials" <<'EOT'
pool
instance i1
instance i2
instance i3
instance i4
tick
report i1 clock=100
report i2 clock=100
report i3 clock=100
report i4 clock=100
submit j1 1:3000:500
submit j2 1:3000:500
submit j3 1:3000:500
commit
started i2 j1.0.0.0 1 ok
started i4 j2.0.0.0 1 ok
started i1 j3.0.0.0 1 ok
instance i1 born=2
instance i2 born=2
instance i4 born=2
tick
report i1 clock=0 born=2
stopped i1 j3.0.0.0 1 ok
advance 5
report i1 clock=5 born=2
report i2 clock=0 born=2
stopped i2 j1.0.0.0 1 ok
advance 5
report i2 clock=5 born=2
report i4 clock=0 born=2
stopped i4 j2.0.0.0 1 ok
advance 5
report i4 clock=5 born=2
# Two of four instances; j3 waits.
commit
advance 650
load
EOT

# Guards against instances that have left and still raise the number of trials.
play "instances that have left do not count" <<'EOT'
pool
instance i1
instance i2
instance i3
instance i4
tick
gone i3
gone i4
report i1 clock=100
report i2 clock=100
submit j1 1:3000:500
submit j2 1:3000:500
commit
started i2 j1.0.0.0 1 ok
started i1 j2.0.0.0 1 ok
instance i1 born=2
instance i2 born=2
tick
report i1 clock=0 born=2
stopped i1 j2.0.0.0 1 ok
advance 5
report i1 clock=5 born=2
report i2 clock=0 born=2
stopped i2 j1.0.0.0 1 ok
advance 5
report i2 clock=5 born=2
commit
EOT

# Guards against an order to a machine that counts as a crash: j1 would be on trial.
play "a planned stop of a machine is not a crash" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
ended i1
submit j2 1:1000:500
commit
EOT

# Guards against a trial beside another start, and a trial that never ends.
play "no other start goes to the instance of a trial" <<'EOT'
pool
instance i1
tick
report i1 clock=100
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
instance i1 born=2
tick
report i1 clock=0 born=2
stopped i1 j1.0.0.0 1 ok
advance 5
report i1 clock=5 born=2
commit
submit j2 1:1000:500
commit
started i1 j1.0.0.0 2 ok
advance 245
commit
advance 10
report i1 clock=255 born=2 run:j1.0.0.0:2:50
commit
EOT

# Guards against a task that waits for ever for its trial in a busy pool.
play "an instance is withheld for a trial" two <<'EOT'
admission all
submit j1 1:4000:500
commit
submit j2 1:1000:500
commit
started i1 j1.0.0.0 1 ok
started i2 j2.0.0.0 1 ok
renew-failed i1 replaced
submit j3 1:1000:500
commit
advance 260
report i2 clock=360 run:j2.0.0.0:1:50
commit
advance 250
report i2 clock=610 end:1:j2.0.0.0:1:done
commit
started i2 j1.0.0.0 2 ok
advance 260
report i2 clock=870 run:j1.0.0.0:2:10
report i2 clock=870 end:2:j1.0.0.0:2:done
commit
EOT

# Guards against crashes that are not counted on an instance that is to be moved.
play "a crash counts on an instance that is being drained" <<'EOT'
pool
instance i1
tick
report i1 clock=100
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
drain i1 1000
instance i1 born=2
instance i2
tick
report i2 clock=100
stopped i1 j1.0.0.0 1 ok
advance 5
report i1 clock=5 born=2
commit
started i2 j1.0.0.0 2 ok
drain i2 1000
instance i2 born=2
instance i3
tick
report i3 clock=105
stopped i2 j1.0.0.0 2 ok
advance 5
report i2 clock=5 born=2
commit
started i3 j1.0.0.0 3 ok
drain i3 1000
instance i3 born=2
tick
stopped i3 j1.0.0.0 3 ok
advance 5
report i3 clock=5 born=2
commit
state j1
EOT

# five_replaced LINE...: j1 is started on five instances that another one has replaced.
five_replaced()
{
	printf '%s\n' pool 'submit j1 1:1000:500'
	for n in 1 2 3 4 5; do
		printf '%s\n' "instance i$n" tick "report i$n clock=100" \
		    commit
		for line; do
			echo "$line" | sed "s/INSTANCE/i$n/g; s/RUN/$n/g"
		done
	done
	printf '%s\n' commit 'state j1'
}

# Guards against a job that is given up because instances were replaced before
# its starts arrived.
five_replaced 'started INSTANCE j1.0.0.0 RUN replaced' |
    play "a start that another instance refuses is no crash"

# Guards against the same, if the renewal is refused before the start.
five_replaced 'renew-failed INSTANCE replaced' \
    'started INSTANCE j1.0.0.0 RUN replaced' |
    play "a start is refused after the renewal"

# Guards against the same, if the registry shows the other instance first.
five_replaced 'instance nINSTANCE machine=mINSTANCE born=2' \
    'started INSTANCE j1.0.0.0 RUN replaced' 'gone nINSTANCE' |
    sed 's/^instance i\([0-9]\)$/instance i\1 machine=mi\1/' |
    play "a start is refused after the registry shows the next instance"

# Guards against the same, if nothing listens at the address.
five_replaced 'started INSTANCE j1.0.0.0 RUN not-sent' \
    'renew-failed INSTANCE none' 'advance 6000' |
    play "a start that was not sent is no crash once the lease has expired"

# Guards against a crash that does not count because another instance is found
# at the address.
five_replaced 'started INSTANCE j1.0.0.0 RUN none' \
    'renew-failed INSTANCE replaced' |
    play "a start without a response counts when the instance is replaced"

# Guards against the same, if the response is still awaited then.
five_replaced 'renew-failed INSTANCE replaced' \
    'started INSTANCE j1.0.0.0 RUN none' |
    play "a start counts once it is known to have no response"

# Guards against the same, if the response comes after the loss.
five_replaced 'renew-failed INSTANCE replaced' \
    'started INSTANCE j1.0.0.0 RUN ok' |
    play "a start that is accepted before the loss counts"

# Guards against the same, for runs that are known to have begun.
five_replaced 'started INSTANCE j1.0.0.0 RUN ok' \
    'renew-failed INSTANCE replaced' |
    play "a run that had begun counts when the instance is replaced"

# Guards against a crash that is charged to a start which was refused beside it.
play "a refused start is not suspected beside the cause" two <<'EOT'
submit j1 1:1000:500
submit j2 1:1000:500
commit
started i1 j1.0.0.0 1 ok
started i1 j2.0.0.0 1 replaced
commit
started i2 j1.0.0.0 2 ok
advance 260
report i2 clock=360 run:j1.0.0.0:2:50
# j2 is not on trial, so that j3 is started beside it.
submit j3 1:1000:500
commit
EOT
