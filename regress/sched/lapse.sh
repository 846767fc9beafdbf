#!/bin/sh
# The list of instances whose leases lapse, for later owners.
. ./lib.subr

# A long-running task on i1, which responds no more and is listed.
listed()
{
	two
	cat <<'EOT'
submit j1 1:1000:0:lasting
commit
started i1 j1.0.0.0 1 ok
report i1 clock=120 run:j1.0.0.0:1:100
advance 50
renew-failed i1 none
advance 550
commit
EOT
}

# next_owner [WORD...]: an owner that reaches only i2.
next_owner()
{
	cat <<EOT
takeover $*
instance i2 dc=dc-b
tick
report i2 clock=300
EOT
}

# Guards against a wait that begins anew with each owner.
play "two owners are lost after an instance" listed <<EOT
advance 2000
$(next_owner)
advance 600
commit
advance 1000
$(next_owner)
commit
advance 50
commit
advance 100
commit
EOT

# Guards against a second run by the word of a list that an owner of an earlier
# version does not keep to.
play "an owner that does not know the list may have renewed" listed <<EOT
advance 4000
$(next_owner old-version)
commit
advance 8200
commit
advance 50
commit
EOT

# Guards against a lease that is extended while the list says it lapses.
play "an instance responds again" listed <<'EOT'
report i1 clock=800 run:j1.0.0.0:1:100
advance 50
take
advance 50
report i1 clock=900 run:j1.0.0.0:1:100
advance 50
done
report i1 clock=950 run:j1.0.0.0:1:100
advance 50
EOT

play "and the store refuses the list without it" listed <<'EOT'
report i1 clock=800 run:j1.0.0.0:1:100
refuse
report i1 clock=900 run:j1.0.0.0:1:100
advance 50
commit
report i1 clock=950 run:j1.0.0.0:1:100
advance 50
EOT

play "an instance on the previous owner's list responds to the next one" \
    listed <<'EOT'
takeover
instance i1
instance i2 dc=dc-b
tick
report i1 clock=900 run:j1.0.0.0:1:100
advance 50
commit
report i1 clock=950 run:j1.0.0.0:1:100
advance 50
EOT

# Guards against a task that is placed on an instance whose lease may not be
# extended.
play "nothing is placed there before the list is written" listed <<'EOT'
instance i2 dc=dc-b leaving=1000
report i1 clock=800 run:j1.0.0.0:1:100
submit j2 1:1000:500
take
advance 50
done
advance 50
commit
advance 50
commit
EOT

# Guards against a write for each renewal that is late.
play "an instance that soon responds again is not listed" two <<'EOT'
submit j1 1:1000:0:lasting
commit
started i1 j1.0.0.0 1 ok
report i1 clock=120 run:j1.0.0.0:1:100
advance 50
renew-failed i1 none
advance 400
commit
report i1 clock=600 run:j1.0.0.0:1:100
advance 400
commit
EOT

# Guards against a second run by the word of a list from before the instance began
# again: its next incarnation may carry out a late start.
play "the instance begins again before the next owner reads the list" one <<'EOT'
submit j1 1:1000:0:lasting
commit
renew-failed i1 none
advance 600
commit
advance 1000
takeover vacant=100 lease-ended registered born=5
instance i2 dc=dc-b
tick
report i2 clock=300
renew-failed i1 none
advance 6100
commit
advance 100
commit
EOT

play "the owner that sees it begin again lists it anew" one <<'EOT'
submit j1 1:1000:0:lasting
commit
renew-failed i1 none
advance 600
commit
instance i1 born=5
commit
commit
EOT

# Guards against a list that is written in each round.
{
	echo pool
	for n in $(seq 1 70); do
		echo "instance i$n cpu=1000"
	done
	echo tick
	for n in $(seq 1 70); do
		echo "report i$n clock=100"
	done
	echo 'submit j1 70:1000:0:lasting'
	echo commit
	for n in $(seq 1 70); do
		echo "renew-failed i$n none"
	done
	printf '%s\n' 'advance 600' commit 'advance 50' commit 'advance 50' commit
} | play "more instances are silent than the list has room for" |
    grep -v 'renew\|start'
