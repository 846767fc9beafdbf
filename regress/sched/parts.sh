#!/bin/sh
# Guards against tasks that last and wait for ever in a shard without room, beside
# room in another one, since others of their job are placed.
. ./lib.subr

# shown TITLE [SETUP]: as play, but prints only what the test is about.
shown()
{
	play "$@" | grep -E '^==| (start|stop|ask|tell|offer|state|reply|remove|write (p~|handed|spec)|job|bad)'
}

# Home shards of the ids, of two: j1, j3, j5 1, j2 0.
home()
{
	two
	cat <<'EOT'
shard 1 2
admission all
EOT
}

# split: two of the four tasks of j1 find room.
split()
{
	home
	cat <<'EOT'
submit j1 4:3000:500:lasting
commit
tick
room j1 p~0 no
tick
commit
started i1 j1.0.0.0 1 ok
started i2 j1.0.0.1 1 ok
advance 1100
EOT
}

# handed: the two others are handed to p~0.
handed()
{
	split
	cat <<'EOT'
room j1 p~0 2
commit
EOT
}

# other: the script goes on with the other shard's owner, which has two instances.
other()
{
	handed
	cat <<'EOT'
owner p~0 0
instance i3
instance i4 dc=dc-b
tick
answered j1 p ok
report i3 clock=100
report i4 clock=100
EOT
}

shown "those that wait are handed over" handed <<'EOT'
tick
describe j1
EOT

# The planner would bring one machine after the other.
echo "== nothing is blocked any more"
{ handed; printf '%s\n' tick load; } | play '' | grep -o 'blocked=[0-9]*'

shown "one if there is room for one; the other shard is told once more then" split <<'EOT'
room j1 p~0 1
commit
tick
answered j1 p~0 ok
advance 100
room j1 p~0 1
commit
tick
describe j1
EOT

shown "nothing is handed over for an answer that comes too late" split <<'EOT'
instance i1 cpu=8000
commit
room j1 p~0 2
tick
describe j1
EOT

shown "the record and the row are written together, or neither" split <<'EOT'
room j1 p~0 2
refuse
describe j1
advance 5100
commit
tick
describe j1
EOT

shown "the owner is lost before the write: all are here" split <<'EOT'
room j1 p~0 2
takeover
describe j1
owner p~0 0
describe j1
EOT

shown "after the write: those are away, and the other shard is told" handed <<'EOT'
takeover
tick
describe j1
EOT

shown "the other shard's owner loads the row, and starts them once it is recorded" other <<'EOT'
take
describe j1
done
started i3 j1.0.0.2 1 ok
started i4 j1.0.0.3 1 ok
describe j1
EOT

shown "it is lost before its record is written" other <<'EOT'
takeover
instance i3
tick
report i3 clock=100
describe j1
EOT

shown "it is lost after that" other <<'EOT'
commit
takeover
tick
describe j1
EOT

shown "one that was there already is told; the row is read twice" handed <<'EOT'
owner p~0 0 unloaded
pool
told j1
told j1
tick
describe j1
commit
told j1
describe j1
EOT

# The run number of the next start is higher than all others of the task.
shown "tasks come back when the other shard has no room, and room is elsewhere" other <<'EOT'
commit
started i3 j1.0.0.2 1 ok
started i4 j1.0.0.3 1 ok
answered j1 p ok
ended i4
gone i4
advance 1100
room j1 p 1
commit
tick
describe j1
owner p 1
instance i1
instance i2 dc=dc-b
instance i5
tick
report i1 clock=3000 run:j1.0.0.0:1:100
report i2 clock=3000 run:j1.0.0.1:1:100
report i5 clock=100
commit
describe j1
EOT

shown "a job that is cancelled: all shards are told, until they confirm" handed <<'EOT'
answered j1 p~0 ok
cancel j1
tick
commit
tick
answered j1 p~0 refused
advance 250
answered j1 p~0 ok
advance 5000
state j1
EOT

shown "also by the next owner" handed <<'EOT'
cancel j1
commit
takeover
tick
answered j1 p~0 ok
advance 5000
EOT

shown "the part ends then" other <<'EOT'
commit
started i3 j1.0.0.2 1 ok
started i4 j1.0.0.3 1 ok
told j1 ended
commit
EOT

shown "or if the shard that has the job says that it is not open" other <<'EOT'
commit
started i3 j1.0.0.2 1 ok
started i4 j1.0.0.3 1 ok
answered j1 p absent
EOT

shown "the row of a job that ended before it was read is dropped" handed <<'EOT'
cancel j1
commit
owner p~0 0 unloaded
pool
told j1 ended
commit
describe j1
EOT

shown "tasks that come back to a job that has ended are dropped" other <<'EOT'
commit
started i3 j1.0.0.2 1 ok
started i4 j1.0.0.3 1 ok
ended i4
gone i4
advance 1100
room j1 p 1
commit
owner p 1
cancel j1
commit
describe j1
EOT

# Callers ask the shard that has the job.
shown "the part is no job for callers" other <<'EOT'
commit
state j1
pending
resubmit j1
cancel j1
asked j1
EOT

shown "a part asks whether its job is open" split <<'EOT'
asked j1
asked j9
cancel j1
asked j1
commit
asked j1
EOT

# Its third occurrence finds no room.
gangs()
{
	home
	cat <<'EOT'
submit j1 repeats=3 interval=100 2:1500:500:lasting:gang:apart
commit
started i1 j1.0.0.0 1 ok
started i2 j1.0.0.1 1 ok
advance 100
commit
started i1 j1.1.0.0 1 ok
started i2 j1.1.0.1 1 ok
advance 1200
EOT
}

shown "a gang goes whole or not at all" gangs <<'EOT'
room j1 p~0 1
commit
tick
room j1 p~0 2
commit
owner p~0 0
instance i3
instance i4 dc=dc-b
tick
answered j1 p ok
report i3 clock=100
report i4 clock=100
commit
describe j1
EOT

# A cancel must take effect even if the part cannot be told.
shown "a part starts nothing unless the job is known to be open" handed <<'EOT'
owner p~0 0
instance i3
instance i4 dc=dc-b
tick
report i3 clock=100
report i4 clock=100
commit
describe j1
answered j1 p ok
commit
EOT

shown "nor later, if that was long ago" other <<'EOT'
commit
started i3 j1.0.0.2 1 ok
started i4 j1.0.0.3 1 ok
advance 3100
ended i4
gone i4
tick
instance i5
tick
report i5 clock=100
commit
describe j1
EOT

shown "tasks of a later occurrence go to a part that is there" home <<'EOT'
submit j1 repeats=2 interval=2000 3:3000:500:lasting
commit
room j1 p~0 no
tick
commit
started i1 j1.0.0.0 1 ok
started i2 j1.0.0.1 1 ok
advance 1100
room j1 p~0 1
commit
advance 1000
advance 1200
room j1 p~0 2
commit
owner p~0 0
instance i3 cpu=16000
tick
answered j1 p ok
report i3 clock=100
commit
describe j1
EOT

shown "a shard is told of a row although the next one was refused" split <<'EOT'
room j1 p~0 1
commit
tick
advance 600
room j1 p~0 1
outdated
answered j1 p~0 refused
advance 1000
EOT

shown "room is asked for although tasks of the step are placed again and again" split <<'EOT'
report i1 clock=1200 end:1:j1.0.0.0:1:failed
report i2 clock=1200 run:j1.0.0.1:1:100
commit
advance 60
commit
started i1 j1.0.0.2 1 ok
room j1 p~0 no
advance 400
report i1 clock=1800 end:2:j1.0.0.2:1:failed
report i2 clock=1800 run:j1.0.0.1:1:100
commit
advance 60
commit
advance 100
EOT

# crashed: a task of the part has crashed three instances.
crashed()
{
	other
	cat <<'EOT'
commit
started i3 j1.0.0.2 1 ok
started i4 j1.0.0.3 1 ok
EOT
	for run in 1 2 3; do
		cat <<EOT
instance i3 born=$((run + 1))
tick
report i3 clock=0 born=$((run + 1))
stopped i3 j1.0.0.2 $run ok
advance 5
report i3 clock=5 born=$((run + 1))
EOT
		[ $run = 3 ] || printf '%s\n' commit "started i3 j1.0.0.2 $((run + 1)) ok"
	done
}

shown "a hopeless task goes back, so that the job fails where it is" crashed <<'EOT'
tick
outdated
commit
owner p 1
commit
state j1
EOT

shown "a part is told while its record is being removed" other <<'EOT'
commit
started i3 j1.0.0.2 1 ok
started i4 j1.0.0.3 1 ok
told j1 ended
commit
ended i3
gone i3
ended i4
gone i4
commit
advance 125000
take
told j1 ended
done
tick
EOT

shown "a row that is read twice is removed once" other <<'EOT'
commit
started i3 j1.0.0.2 1 ok
started i4 j1.0.0.3 1 ok
ended i3
gone i3
advance 1100
room j1 p 1
commit
owner p 1 unloaded
pool
told j1
told j1
commit
EOT

# An owner of an earlier version writes no field that it does not know.
shown "a part is one after an earlier version had it" other <<'EOT'
commit
started i3 j1.0.0.2 1 ok
started i4 j1.0.0.3 1 ok
older
takeover
tick
describe j1
offer j1 1:3000:300
EOT

shown "tasks come back to a job that an earlier version had" other <<'EOT'
commit
started i3 j1.0.0.2 1 ok
started i4 j1.0.0.3 1 ok
ended i4
gone i4
advance 1100
room j1 p 1
commit
owner p 1
older
takeover
instance i1
instance i2 dc=dc-b
instance i5
tick
asked j1
report i1 clock=3000 run:j1.0.0.0:1:100
report i2 clock=3000 run:j1.0.0.1:1:100
report i5 clock=100
commit
describe j1
EOT

# The tasks of one step of which one may be unavailable.
kept()
{
	home
	cat <<'EOT'
submit j1 4:3000:500:lasting:keep
commit
tick
room j1 p~0 no
tick
commit
started i1 j1.0.0.0 1 ok
started i2 j1.0.0.1 1 ok
advance 1100
room j1 p~0 2
commit
tick
answered j1 p~0 ok
advance 500
report i1 clock=1700 run:j1.0.0.0:1:100
report i2 clock=1700 run:j1.0.0.1:1:100
EOT
}

shown "a drain stops no task while others may be unavailable elsewhere" kept <<'EOT'
drain i1 5000
tick
asked j1 0.0:2:1:0
tick
asked j1 0.0:2:0:0
tick
EOT

shown "nor on an old report" kept <<'EOT'
asked j1 0.0:2:0:0
advance 2600
report i1 clock=4400 run:j1.0.0.0:1:100
report i2 clock=4400 run:j1.0.0.1:1:100
drain i1 5000
tick
EOT

shown "the other shard may stop one, and then this one none until the next report" kept <<'EOT'
asked j1 0.0:2:0:2
drain i1 5000
tick
asked j1 0.0:2:1:1
tick
asked j1 0.0:2:0:0
tick
EOT

# part: the other shard's owner, whose tasks run.
part()
{
	kept
	cat <<'EOT'
owner p~0 0
instance i3
instance i4 dc=dc-b
tick
answered j1 p ok
report i3 clock=100
report i4 clock=100
commit
started i3 j1.0.0.2 1 ok
started i4 j1.0.0.3 1 ok
advance 1500
report i3 clock=1600 run:j1.0.0.2:1:100
report i4 clock=1600 run:j1.0.0.3:1:100
answered j1 p ok
EOT
}

shown "a part asks before it stops one" part <<'EOT'
drain i3 5000
drain i4 5000
tick
advance 100
answered j1 p ok 0.0:2:1:2
tick
EOT

shown "a permission that comes late is void" part <<'EOT'
drain i3 5000
advance 300
advance 350
answered j1 p ok 0.0:2:1:1
tick
EOT

shown "a task on an instance that leaves is stopped without one" part <<'EOT'
instance i3 leaving=4000
tick
EOT

# Offers.
shown "as many as fit, apart from those that were given before" other <<'EOT'
commit
offer j3 part 9:500:300:lasting
advance 1100
offer j3 part 9:500:300:lasting:apart
advance 1100
offer j1 part 9:500:300:lasting:apart
offer j3 part 9:500:300:lasting:gang
EOT

shown "none while a start of it may be carried out late" home <<'EOT'
submit j1 3:3000:300:lasting
commit
room j1 p~0 no
tick
commit
started i1 j1.0.0.0 1 none
started i2 j1.0.0.1 1 ok
instance i1 born=2
commit
stopped i1 j1.0.0.0 1 ok
advance 5
drain i1 60000
report i1 clock=10 born=2
commit
advance 1500
room j1 p~0 9
commit
tick
answered j1 p~0 ok
describe j1
advance 4000
describe j1
advance 2000
describe j1
EOT
