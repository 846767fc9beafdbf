#!/bin/sh
# Guards against a task that runs twice since an instance that has begun again under
# its id is cut off, and has a longer lease than its owner knows: requests that were
# meant for its earlier incarnation reached it, with a deadline on another clock.
. ./lib.subr

# Ends the contact with i1, and shows when its task runs elsewhere.
cut_off()
{
	echo 'renew-failed i1 none'
	for ms in 2000 1900 300 1800 300; do
		echo "advance $ms"
		echo 'report i2 clock=1000'
		echo commit
		echo 'renew-failed i1 none'
	done
}

# A start without a response has begun on the new incarnation.
begun_again()
{
	cat <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 500
instance i1 born=2
commit
stopped i1 j1.0.0.0 1 ok
report i1 clock=100 born=2
commit
EOT
}

play "its lease may be the longest there is, from its first response on" two <<EOT
$(begun_again)
report i2 clock=500
submit j2 1:3500:500
commit
started i1 j2.0.0.0 1 ok
started i2 j2.0.0.0 1 ok
$(cut_off)
EOT

play "one that has not begun again has the lease that it was given" two <<EOT
submit j2 1:3500:500
commit
started i1 j2.0.0.0 1 ok
$(cut_off)
EOT

# Guards against a response that is taken for contact, although the request had the
# fence of the earlier incarnation.
play "a response to a request with the former fence proves nothing" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 500
instance i1 born=2
report i1 clock=100 born=2 sent=400
tick
submit j2 1:4000:500
commit
report i1 clock=110 born=2
commit
EOT

play "another incarnation without a write in between: it waits for one" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 500
instance i1 born=2
instance i1 born=3
tick
commit
advance 405
EOT

# Guards against an instance that is used no more, since it refuses the fence of one
# that was forgotten.
play "an instance that was forgotten keeps its fence" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 500
instance i1 born=2
commit
stopped i1 j1.0.0.0 1 ok
report i1 clock=100 born=2
commit
gone i1
advance 1100
renew-failed i1 none
jump 125000
tick
tick
instance i1 born=2
tick
EOT

# Guards against the same as the first play after a change of the owner, which does
# not know what earlier owners sent.
# takeover_of BORN: i1 has begun at that time, runs a task and has a new owner.
takeover_of()
{
	cat <<EOT
pool
instance i1 born=$1
instance i2 dc=dc-b
tick
report i1 clock=100 born=$1
report i2 clock=100
submit j1 1:3500:500
commit
started i1 j1.0.0.0 1 ok
takeover previous-gone
instance i1 born=$1
instance i2 dc=dc-b
tick
report i1 clock=200 born=$1 run:j1.0.0.0:1:10
report i2 clock=200
EOT
}

play "a new owner, and an instance that has begun lately" <<EOT
$(takeover_of 1799999990000)
$(cut_off)
EOT

play "a new owner, and one that has begun long ago" <<EOT
$(takeover_of 1799999900000)
$(cut_off)
EOT

# Guards against a renewal that is carried out by the next incarnation, after its
# instance was forgotten.
play "an instance is known as long as a renewal may be carried out" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
advance 50
renew-failed i1 none
gone i1
advance 4200
renew-failed i1 none
advance 1000
instance i1 born=2
tick
EOT
