#!/bin/sh
# Guards against a task that runs twice: a start without a response is carried out
# by the next incarnation of its instance, which is cut off before its owner hears of
# it and holds the longest lease, counted from then.
. ./lib.subr

# shown TITLE [SETUP]: as play, but prints only what the test is about.
shown()
{
	play "$@" | grep -E '^==| (start|stop|drained)'
}

# silent: i1 does not respond from now on; i2 reports.
silent()
{
	echo 'renew-failed i1 none'
	for ms in $1; do
		echo "advance $ms"
		echo 'report i2 clock=1000'
		echo commit
	done
}

shown "only the task of such a start waits beyond the lease of the instance" two <<EOT
submit j1 1:1000:500
submit j2 1:1000:500
commit
started i1 j1.0.0.0 1 none
started i1 j2.0.0.0 1 ok
advance 50
$(silent "4100")
started i2 j2.0.0.0 2 ok
report i2 clock=4200 run:j2.0.0.0:2:10
advance 9200
report i2 clock=13400 run:j2.0.0.0:2:90
commit
advance 200
commit
EOT

shown "it is not repeated while the instance does not respond" one <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
renew-failed i1 none
advance 2000
report i1 clock=2100
advance 5
EOT

shown "one that was not sent is not waited for" two <<EOT
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 not-sent
advance 50
$(silent "4100 200")
EOT

# Its clock begins anew. The run is not known to be on the incarnation that has the
# lease.
shown "the next incarnation has answered the start, as its clock shows" two <<EOT
report i1 clock=9000
submit j1 1:1000:500
commit
advance 20
started i1 j1.0.0.0 1 ok clock=30
advance 30
$(silent "4100 200 9000 200")
EOT

shown "a response that is older than the last report is not from another one" two <<EOT
report i1 clock=9000
submit j1 1:1000:500
commit
advance 20
report i1 clock=9025
started i1 j1.0.0.0 1 ok clock=9010
advance 30
$(silent "4100 200")
EOT

shown "a step that may run twice does not wait" two <<EOT
submit j1 1:1000:500:copies
commit
started i1 j1.0.0.0 1 none
advance 50
$(silent "4100 200")
EOT

# A renewal would lengthen the lease of the run there, too.
shown "the wait counts from the last renewal without a response" two <<EOT
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 100
report i1 clock=200
advance 1000
$(silent "4100 200 8200 200 800 200")
EOT

# One that has listed the run has carried its only start out; a repeat is another
# start.
shown "a run that was listed waits for its repeats only" two <<EOT
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
report i1 clock=110 run:j1.0.0.0:1:10
advance 50
$(silent "4200 200")
EOT

shown "a run of which a repeat is outstanding" two <<EOT
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 410
started i1 j1.0.0.0 1 ok
report i1 clock=510 run:j1.0.0.0:1:10
advance 50
$(silent "4600 200 8700 200")
EOT

# The bound on lost tasks that last counts from the crash.
shown "a task that lasts runs again 6.5 s after the instance was last heard" two <<EOT
submit j1 1:1000:500:lasting
commit
started i1 j1.0.0.0 1 none
advance 50
$(silent "4200 2000 100 200")
EOT

shown "the members of a gang wait for each other" two <<EOT
submit j1 2:600:500:gang:apart
commit
started i1 j1.0.0.0 1 none
started i2 j1.0.0.1 1 ok
advance 50
$(silent "100 4100")
report i2 clock=4400 end:1:j1.0.0.1:1:alone
commit
instance i3
tick
report i3 clock=100
commit
advance 9000
report i2 clock=4400
report i3 clock=100
commit
advance 400
commit
EOT

# The run counts until it is known not to be there.
shown "the quota of its team counts the run while it may run" two <<EOT
teams a:1:1000
held a 1000
submit j1 team=a 1:1000:500
commit
started i1 j1.0.0.0 1 none
submit j2 team=a 1:1000:500
commit
advance 50
$(silent "4200 9200 200 200")
EOT

# A wave waits for the lease only, and the end of the machine ends the wait.
shown "an instance whose machine is stopped is not waited for" two <<EOT
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 50
$(silent "4000")
drain i1 1000
advance 200
drain i1 1000
commit
ended i1
commit
EOT

shown "another instance on the machine ends the wait, too" <<'EOT'
pool
instance i1 machine=m1 born=5
tick
report i1 clock=100 born=5
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
renew-failed i1 none
advance 4500
commit
instance i2 machine=m1 born=6
tick
report i2 clock=10 born=6
commit
EOT

shown "the instance is back as it was: the start is repeated" two <<EOT
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 50
$(silent "4300")
report i1 clock=4500
commit
advance 410
EOT

shown "it has begun again, perhaps for the second time: the run is stopped first" two <<EOT
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 50
$(silent "4300")
report i1 clock=200 born=9 run:j1.0.0.0:1:10
commit
tick
EOT

# restarted: i1 has begun again after a start without a response, and has confirmed
# the stop of the run.
restarted()
{
	cat <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 500
instance i1 machine=m1 born=2
commit
stopped i1 j1.0.0.0 1 ok
advance 5
EOT
}

# Guards against the same by a second restart: the third incarnation knows nothing of
# the stop. A run on the second one ends with it.
shown "the next run goes to the incarnation that was stopped, and nowhere else" two <<EOT
$(restarted)
report i1 clock=100 born=2
commit
started i1 j1.0.0.0 2 ok
advance 100
$(silent "4300 200 8300 600")
EOT

shown "it waits for that one for as long as the start may come" two <<EOT
$(restarted)
drain i1 20000
report i1 clock=100 born=2
commit
advance 13390
report i2 clock=1000
commit
advance 20
report i2 clock=1000
commit
EOT

shown "unless no further incarnation can begin" two <<EOT
$(restarted)
drain i1 20000
report i1 clock=100 born=2
commit
ended i1
advance 5
report i2 clock=1000
commit
EOT

# after TAKEOVER...: the next owner does not reach i1 either.
after()
{
	cat <<EOT
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
$1
takeover $2
instance i1
instance i2
tick
report i2 clock=300
renew-failed i1 none
advance $3
report i2 clock=300
commit
advance 205
report i2 clock=300
commit
EOT
}

shown "the next owner is told that a start had no response" two <<EOT
$(after "" "left ms=1500 late=9000" 8900)
EOT

shown "or that all had one" two <<EOT
$(after "" "left ms=1500" 1400)
EOT

shown "it is told nothing: a start may have had no response" two <<EOT
$(after "" "previous-gone" 6000)
EOT

# The list of lapsing leases, written after half a second of silence.
shown "the previous owner was lost, and the store has its list" two <<EOT
$(after "renew-failed i1 none
advance 600
commit" "vacant=2000 lease-ended certain" 12700)
EOT

shown "an owner that was itself not told passes the wait on" two <<EOT
$(after "takeover previous-gone
instance i1
instance i2
tick
renew-failed i1 none
advance 1000
commit" "vacant=1000 lease-ended certain" 5000)
EOT
