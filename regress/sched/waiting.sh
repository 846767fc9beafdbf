#!/bin/sh
# For how long a long-running task whose run was stopped stands while there is
# room for it: it must run again within 6 s of its last run and 3 s more. Each
# play has one reason for which a waiting task is passed over, at its worst.
. ./lib.subr

# nine CPU: a new owner and nine instances that respond by themselves, with this
# CPU each. Only jobs that begin with w are printed.
nine()
{
	printf '%s\n' pool 'admission all' 'alive w'
	for id in 1 2 3 4 5 6 7 8 9; do
		echo "instance i$id cpu=$1"
	done
	echo 'advance 100'
}

# each FIRST LAST MS COMMAND...: one command for each number, which replaces N in
# it, and a pause after each.
each()
{
	first=$1 last=$2 pause_ms=$3
	shift 3
	for number in $(seq "$first" "$last"); do
		echo "$*" | sed "s/N/$number/"
		echo "advance $pause_ms"
	done
}

# Guards against a task that stands because jobs that fail wherever they run have
# all instances with room avoided, and further failures there prolong it.
{
	nine 4000
	echo 'submit w1 5:1000:0:lasting:apart'
	echo 'advance 100'
	each 1 10 2000 'submit bN 9:100:12000:fails:apart'
	echo 'instance i7 leaving=4000'
	echo 'instance i6 leaving=4000'
	echo 'advance 2300'
	echo 'gone i7'
	echo 'gone i6'
	each 11 16 2000 'submit bN 9:100:12000:fails:apart'
	echo 'advance 12000'
	echo 'stood w1'
} | play "jobs that always fail do not keep a task waiting"

# Guards against an instance that fails all that it starts and uses up the
# attempts of tasks that do not last, or starts one that lasts without a pause.
{
	printf '%s\n' pool 'admission all' 'alive w' 'instance i1'
	echo 'advance 100'
	echo 'grey i1'
	echo 'submit w1 1:1000:0:lasting'
	echo 'advance 500'
	echo 'submit w2 1:1000:500'
	echo 'advance 4000'
	echo 'state w2'
	echo 'stood w1'
} | play "a failing instance is the last choice of long-running tasks only"

# Guards against a task that waits for room on an instance that will never have
# enough, while runs end on all others.
{
	nine 4000
	echo 'instance i10 cpu=2000'
	echo 'advance 100'
	echo 'submit w1 1:2000:0:lasting'
	echo 'advance 100'
	echo 'instance i11 cpu=1900'
	echo 'advance 100'
	each 1 160 25 'submit bN 1:500:3000'
	echo 'instance i10 cpu=2000 leaving=4000'
	each 161 250 25 'submit bN 1:500:3000'
	echo 'gone i10'
	each 251 800 25 'submit bN 1:500:3000'
	echo 'stood w1'
} | play "a task does not wait for room that never becomes free"

# Guards against a task that stands because the only instance with room for it is
# withheld for a larger one, which waits there for the end of a long run.
{
	nine 4000
	echo 'instance i10 cpu=5500'
	echo 'advance 100'
	echo 'submit u1 10:1000:0:lasting:apart'
	echo 'advance 100'
	echo 'submit u2 8:3000:0:lasting:apart'
	echo 'advance 100'
	echo 'submit b1 1:600:90000'
	echo 'advance 100'
	echo 'submit u3 2:3000:0:lasting:apart'
	echo 'advance 100'
	echo 'submit w1 1:1000:0:lasting'
	echo 'advance 100'
	echo 'instance i10 leaving=4000'
	echo 'advance 2300'
	echo 'gone i10'
	echo 'advance 12000'
	echo 'stood w1'
} | play "a larger task that waits does not keep a task from its room"

# Guards against tasks of a step that get room in a full pool one after the
# other, each after the runs of one more instance. On each instance a run ends
# every 750 ms.
{
	nine 4000
	for id in 11 12 13 14 15; do
		echo "instance i$id cpu=2000"
	done
	echo 'advance 100'
	echo 'submit w1 5:2000:0:lasting:apart'
	echo 'advance 200'
	each 1 8 750 'submit bN 9:500:6000:apart'
	each 9 208 0 'submit bN 1:500:6000'
	for id in 11 12 13 14 15; do
		echo "instance i$id cpu=2000 leaving=4000"
	done
	echo 'advance 2500'
	for id in 11 12 13 14 15; do
		echo "gone i$id"
	done
	echo 'advance 20000'
	echo 'stood w1'
} | play "the tasks of a step get room in a full pool at the same time"

# Guards against a task that stands behind the trials of many others, one after
# the other, on the only instance with room.
{
	nine 4000
	echo 'submit u1 8:4000:0:lasting:apart'
	echo 'advance 100'
	echo 'instance i10 cpu=4000'
	echo 'advance 100'
	echo 'submit w1 1:3500:0:lasting'
	echo 'advance 500'
	each 1 60 0 'submit bN 1:60:200'
	echo 'advance 60'
	# Crashes with what has begun there, and comes back.
	echo 'instance i1 born=2'
	echo 'advance 50'
	echo 'instance i10 leaving=4000'
	echo 'advance 2300'
	echo 'gone i10'
	echo 'advance 15000'
	echo 'stood w1'
} | play "a task does not stand behind the trials of others"

# Guards against a task on trial for which instances are withheld that it may not
# use, while others of its step are there, and runs begin on all others. The task
# moves from i15 to i16, which crashes and comes back too small for it.
{
	nine 4000
	for id in 11 12 13 14 15; do
		echo "instance i$id cpu=1500"
	done
	echo 'advance 100'
	echo 'submit u1 14:100:0:lasting:apart'
	echo 'advance 500'
	echo 'submit w1 5:1000:0:lasting:apart'
	echo 'advance 500'
	echo 'submit f1 5:400:90000:apart'
	echo 'advance 300'
	each 1 9 200 'submit bN 9:400:1800:apart'
	each 10 309 0 'submit bN 1:400:1800'
	echo 'instance i15 cpu=1500 leaving=4000'
	echo 'advance 20'
	echo 'instance i16 cpu=1150'
	echo 'advance 200'
	echo 'instance i16 born=2 cpu=100'
	echo 'advance 2100'
	echo 'gone i15'
	each 310 1500 20 'submit bN 1:400:1800'
	echo 'stood w1'
} | play "an instance is withheld for a trial only if the task may run there"

# Guards against the same for tasks that do not last, which get no starts on
# instances that have failed runs: if most instances of a pool have, the jobs are
# at fault.
{
	nine 4000
	each 1 10 2000 'submit bN 9:100:12000:fails:apart'
	echo 'submit w1 2:1000:500'
	each 11 18 2000 'submit bN 9:100:12000:fails:apart'
	echo 'state w1'
} | play "jobs that always fail do not keep other jobs waiting"

# Guards against a task that waits in the window of starts behind those of a
# burst, or is not placed while these wait: the link takes one at a time.
{
	nine 4000
	echo 'window 40000'
	echo 'submit w1 5:1000:0:lasting:apart'
	echo 'advance 200'
	each 1 400 0 'submit bN 2:50:2000'
	echo 'instance i7 leaving=4000'
	echo 'advance 2300'
	echo 'gone i7'
	echo 'advance 8000'
	echo 'stood w1'
} | play "a burst of starts in the window does not delay a task"

# Guards against a task that stands for longer than its job is set aside, when the
# store takes the record again.
play "a job whose record was refused goes on when it is taken" two <<'EOT'
submit w1 1:1000:0:lasting
commit
started i1 w1.0.0.0 1 ok
instance i1 leaving=4000
advance 5
stopped i1 w1.0.0.0 1 ok
report i1 clock=200 end:1:w1.0.0.0:1:stopped
refuse
refuse
advance 4990
commit
advance 20
commit
EOT

# Guards against an instance that gets no start for longer than it lists a run
# that the owner does not know.
play "an instance is used again once an unknown run has ended" two <<'EOT'
submit w1 1:1000:0:lasting
commit
started i1 w1.0.0.0 1 ok
report i2 clock=200 run:x1.0.0.0:1
instance i1 leaving=4000
advance 5
stopped i1 w1.0.0.0 1 ok
stopped i2 x1.0.0.0 1 ok
report i1 clock=200 end:1:w1.0.0.0:1:stopped
advance 50
report i2 clock=1000 run:x1.0.0.0:1
stopped i2 x1.0.0.0 1 ok
advance 900
report i2 clock=1100 end:1:x1.0.0.0:1:stopped
commit
EOT

# Guards against an instance that gets no start for longer than it leaves the stop
# of an earlier start without a response.
play "an instance that began again is used once it has confirmed a stop" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 405
started i1 j1.0.0.0 1 ok
report i1 clock=600 end:1:j1.0.0.0:1:done
commit
submit w1 1:1000:0:lasting
instance i1 born=2
commit
report i1 clock=600 born=2
started i2 w1.0.0.0 1 ok
instance i2 dc=dc-b leaving=4000
advance 5
stopped i2 w1.0.0.0 1 ok
report i2 clock=200 end:1:w1.0.0.0:1:stopped
advance 400
stopped i1 j1.0.0.0 1 none
advance 405
stopped i1 j1.0.0.0 1 ok
commit
EOT

# Guards against a task that is refused for want of room by the same instance again
# and again, while another has room.
play "a task that finds no room is placed elsewhere" two <<'EOT'
submit w1 1:1000:0:lasting
commit
started i1 w1.0.0.0 1 room
advance 25
commit
EOT

# Guards against a gang on trial that finds no instance without runs that have
# just begun, since others' runs are started apart on all of them, though most of
# their room is free.
{
	nine 4000
	each 1 5 100 'submit bN 9:50:300:apart'
	echo 'submit w1 2:3500:3000:gang'
	echo 'advance 30'
	echo 'instance i7 born=2'
	echo 'instance i6 born=2'
	each 6 150 100 'submit bN 9:50:300:apart'
	echo 'state w1'
} | play "a gang on trial does not stand behind starts of others"

# Guards against a gang with room for some of its members that is never reported
# as blocked, adds to the demand with each attempt and is written each time.
play "a gang that waits for room is reported as blocked" two <<'EOT'
submit u1 1:3000:0:lasting
commit
started i1 u1.0.0.0 1 ok
submit w1 2:3000:500:gang
commit
advance 300
load
commit
advance 400
load
# It fits on the next instance.
instance i3
tick
report i3 clock=900
commit
load
EOT
