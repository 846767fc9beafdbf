#!/bin/sh
# Guards against a job that waits for ever in a shard whose instances are full,
# beside idle ones of another shard.
. ./lib.subr

# shown TITLE [SETUP]: as play, but prints only what the test is about.
shown()
{
	play "$@" | grep -E '^==| (start|ask|tell|offer|state|remove|write p~)'
}

# Home shards of the ids, of two: j1, j3, j5 1, j2 0.
home()
{
	two
	echo 'shard 1 2'
	echo 'admission all'
}

# full: tasks that last take the CPU of both instances, less half a core.
full()
{
	home
	cat <<'EOT'
submit j5 2:3500:500:lasting
commit
started i1 j5.0.0.0 1 ok
started i2 j5.0.0.1 1 ok
EOT
}

# busy: one instance has room for one task less than when it is empty.
busy()
{
	home
	cat <<'EOT'
submit j1 1:2000:500
commit
started i1 j1.0.0.0 1 ok
EOT
}

shown "a job that has found no room for a second goes where there is room" full <<'EOT'
submit j1 1:3000:300
commit
advance 990
advance 20
room j1 p~0 no
advance 400
advance 110
room j1 p~0 yes
advance 50
commit
tick
adopted j1 ok
state j1
EOT

# One question at a time, for the job that has waited longest.
shown "several jobs" full <<'EOT'
submit j1 1:3000:300
commit
advance 100
submit j3 1:3000:300
commit
advance 1100
room j1 p~0 yes
commit
advance 5
room j3 p~0 no
advance 300
EOT

shown "nothing is asked while there is room" home <<'EOT'
submit j1 1:3000:300
submit j3 1:3000:300
commit
advance 2000
EOT

# Guards against a job that is transferred while a run of it may go on.
shown "the answer comes too late: a task is placed here" full <<'EOT'
submit j1 1:3000:300
commit
advance 1100
instance i1 cpu=8000
commit
room j1 p~0 yes
commit
EOT

shown "a job of which a task is placed stays, and one of which it was goes" full <<'EOT'
submit j1 3:400:300
commit
started i1 j1.0.0.0 1 ok
started i2 j1.0.0.1 1 ok
advance 1200
report i1 clock=1300 run:j5.0.0.0:1:100 end:1:j1.0.0.0:1:done
instance i1 cpu=3500
report i2 clock=1300 run:j5.0.0.1:1:100 end:1:j1.0.0.1:1:done
instance i2 cpu=3500
commit
advance 1000
room j1 p~0 yes
commit
EOT

# Another owner would not know of the start.
shown "a job stays while a start of it may be carried out late" full <<'EOT'
instance i3
tick
report i3 clock=100
submit j1 1:3000:300
commit
started i3 j1.0.0.0 1 none
instance i3 born=2
commit
stopped i3 j1.0.0.0 1 ok
advance 5
drain i3 60000
report i3 clock=10 born=2
commit
advance 13000
advance 1000
EOT

shown "away from its home, a job goes back there first" <<'EOT'
pool
admission all
instance i1
tick
report i1 clock=100
shard 2 3
submit j5 1:3500:500:lasting
submit j1 1:3000:300
commit
advance 1100
room j1 p~0 yes
commit
EOT

shown "a gang without room for all, and a job that only lacks its team's quota" full <<'EOT'
teams a:1:500
held a 0
submit j1 2:600:300:gang:apart
submit j2 team=a 1:100:300
commit
advance 1500
room j1 p~0 no
advance 500
EOT

# The other side: offers.
shown "one offer at a time, until the job has come and runs, or for a second" home <<'EOT'
offer j1 1:3000:300
offer j1 1:3000:300
offer j3 1:3000:300
advance 990
offer j3 1:3000:300
advance 20
offer j3 1:3000:300
offer j1 1:3000:300
submit j3 1:3000:300
commit
offer j1 1:3000:300
offer j1 2:3000:300:lasting
offer j1 3:1500:300:gang:apart
offer j1 1:300:300:label-x
EOT

shown "no offer by an owner whose lease may have ended" home <<'EOT'
lease 500
offer j1 1:3000:300
jump 600
offer j1 1:3000:300
EOT

shown "nor on an instance that has not responded" full <<'EOT'
instance i3
tick
offer j3 1:1000:300
report i3 clock=100
offer j3 1:1000:300
EOT

# Once one is placed, the job stays; the others would wait for good.
shown "tasks that last go where there is room for all of them" busy <<'EOT'
submit j5 4:1500:500:lasting
commit
tick
room j5 p~0 yes
commit
EOT

shown "or are placed as far as there is room" busy <<'EOT'
submit j5 4:1500:500:lasting
commit
tick
room j5 p~0 no
tick
commit
EOT

shown "or if no answer comes" busy <<'EOT'
submit j5 4:1500:500:lasting
commit
advance 990
commit
advance 20
commit
EOT
