#!/bin/sh
# Guards against a job that waits for ever in a shard whose instances cannot run
# it, beside idle ones of another shard that can.
. ./lib.subr

# Home shards of the ids, of two: j1 1, j2 0.
sharded()
{
	two
	echo "shard $1 2 other=p~$((1 - $1))"
}

home()
{
	sharded 1
}

away()
{
	sharded 0
}

play "a job that fits on no instance, and the answers to callers" home <<'EOT'
submit j1 1:10000:300
commit
advance 900
advance 200
take
state j1
cancel j1
done
tick
state j1
adopted j1 refused
advance 200
adopted j1 ok
state j1
cancel j1
submit j1 1:10000:300
resubmit j1
pending
advance 29000
adopted j1 ok
advance 30000
adopted j1 absent
forget j1
commit
state j1
EOT

play "the job of a lost instance, with the label that only it had" home <<'EOT'
instance i3 labels=gpu,r1-1
tick
report i3 clock=100
submit j1 1:1000:300:label-gpu 1:1000:300:label-gpu
commit
started i3 j1.0.0.0 1 ok
advance 100
report i3 clock=200 end:1:j1.0.0.0:1:done
gone i3
renew-failed i3 none
commit
advance 4500
commit
EOT

# Guards against a job that is transferred while one of its runs may go on.
play "nothing is transferred while a task of the job is placed" home <<'EOT'
submit j1 1:1000:300 1:10000:300
commit
started i1 j1.0.0.0 1 none
advance 1500
EOT

play "a gang with more members than the instances can run apart" home <<'EOT'
submit j1 3:1000:300:gang:apart
commit
advance 1100
commit
EOT

play "long-running tasks: before the first one is placed" home <<'EOT'
submit j1 3:1000:300:lasting:apart
commit
commit
commit
EOT

play "not while a machine may come" home <<'EOT'
coming 0 1
submit j1 3:1000:300:lasting:apart
submit j9 1:10000:300
commit
advance 2000
commit
EOT

# Guards against a job that is in two shards, or in none, after a change of the owner.
play "the next owner tells the other one" home <<'EOT'
submit j1 1:10000:300
commit
advance 1100
take
takeover
tick
state j1
adopted j1 ok
state j1
EOT

play "a batch that was not written: the next owner still has the job" home <<'EOT'
submit j1 1:10000:300
commit
advance 1100
tick
takeover
tick
state j1
EOT

# The note of the transfer is removed.
play "the job comes back" home <<'EOT'
submit j1 1:10000:300
commit
advance 1100
commit
tick
adopted j1 ok
instance i1 cpu=16000
adopt j1 from=p~0
commit
tick
EOT

# Guards against a note that is removed after it has been written anew.
play "and goes again before its note is removed" home <<'EOT'
submit j1 1:10000:300
commit
advance 1100
commit
tick
adopted j1 ok
adopt j1 from=p~0
advance 1100
commit
commit
adopted j1 ok
state j1
EOT

play "away from its home: the note goes once the home shard has the job" away <<'EOT'
submit j1 1:10000:300
commit
advance 1100
commit
tick
adopted j1 ok
commit
state j1
EOT

play "the store refuses the transfer" home <<'EOT'
submit j1 1:10000:300
commit
advance 1100
refuse
state j1
instance i1 cpu=16000
advance 5100
commit
EOT

# Guards against a call that is repeated five times a second for as long as the
# other owner is away, and against a failure without a log line.
away_for_long()
{
	home
	cat <<'EOT'
submit j1 1:10000:300
commit
advance 1100
commit
tick
adopted j1 refused
advance 200
adopted j1 refused
advance 400
adopted j1 refused
advance 800
adopted j1 refused
advance 1600
adopted j1 absent
advance 2900
advance 100
adopted j1 refused
advance 2900
advance 100
adopted j1 ok
advance 30000
adopted j1 refused
advance 200
adopted j1 ok
EOT
}
play "the other owner is away for 10 s" away_for_long </dev/null
echo "the log of that"
away_for_long | "$GW_TOP/build/${VARIANT:-release}/regress/sched/schedplay" 2>&1 |
    sed -n 's/^gw\[[0-9]*\]: [a-z]* \(7045 \)/\1/p'
