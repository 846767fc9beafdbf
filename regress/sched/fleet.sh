#!/bin/sh
# The planner's decisions: maintenance waves, and moves of machines between pools.
. ./lib.subr

# Guards against more machines down than the wave allows, a wave that is reported
# as completed too early, and a busy machine that is maintained before its owner
# has reported it drained.
play_fleet "a wave keeps its limit of machines down" <<'EOT'
fleet
pool p
list m1:p:i1:up m2:p:i2:up m3:p:i3:up
load p instances=3 i1 i2
wave 7 20000 1 m1 m2 m3
advance 100
drained i1
ordered m1 ok
advance 1000
up n1 m1 p
load p instances=3 n1 i2
advance 100
drained i2
ordered m2 ok
up n2 m2 p
load p instances=3 n1 n2
advance 15000
drained i3
ordered m3 none
advance 1200
drained i3
ordered m3 ok
advance 100
up n3 m3 p
advance 100
EOT

# Guards against a machine that is maintained again after a change of planner, and
# against a wave that never completes since one of its machines (m9) is not in the
# platform's list any more.
play_fleet "the next planner continues a wave" <<'EOT'
fleet
pool p
list m1:p:i1:up m2:p:i2:up
load p instances=2 i1 i2
wave 7 20000 2 m1 m2 m9
mark-done 7 m1
advance 100
drained i2
ordered m2 rejected
advance 100
EOT

# Guards against a move that is cancelled in the tick in which it began: a phase
# reads the clock anew, so it may begin later than the time that the tick uses.
play_fleet "a surplus goes to standby, a shortage is filled from there" <<'EOT'
fleet lend
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up m3:p:i3:up m4:p:i4:up m5:s::up
load p instances=4 i1 i2 i3 i4
advance 1000
load p instances=4 i1 i2 i3 i4
advance 700
drained i1
drained i2
drained i3
drained i4
ordered m1 ok
ordered m2 ok
ordered m3 ok
ordered m4 ok
load p instances=2 used=32000 waiting=60000
advance 100
EOT

# Guards against a long-running task that waits for ever: no instance has room for
# it, but the pool counts as large enough by the CPU in use.
play_fleet "a long-running task without room gets a machine" <<'EOT'
fleet lend
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up m3:s::up m4:s::up
load p instances=2 used=8000 lasting=1
advance 100
ordered m3 ok
load p instances=2 used=8000 lasting=1
advance 100
EOT

# Guards against a drain that waits for ever: the machine being drained counts as
# one that the pool has, so none is added, and its long-running task has nowhere to
# go.
play_fleet "a machine that is being drained has no room" <<'EOT'
fleet lend
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up m3:s::up
load p instances=2 used=8000
wave 7 4000 1 m1
advance 100
load p instances=1 used=8000 lasting=1
advance 100
EOT

# Guards against a machine on standby that counts as away for ever after its
# maintenance: it runs no instance that could report its return.
play_fleet "a machine on standby is back after the platform's time" <<'EOT'
fleet lend
pool p
pool s standby
list m1:p:i1:up m2:s::up
load p instances=1 used=8000
wave 7 20000 1 m2
advance 100
ordered m2 ok
advance 2300
load p instances=1 used=16000 waiting=60000
advance 200
EOT

# Guards against two planners that order the same machine in turn, and against too
# many machines down because the wave does not count those that the previous planner
# ordered.
play_fleet "machines that a previous planner ordered get no order" <<'EOT'
fleet
pool p
pool s standby
before m1 7 3400
list m1:s::up m2:s::up m3:s::up
wave 7 20000 2 m1 m2 m3
advance 200
ordered m2 ok
advance 2400
advance 1000
EOT

# Guards against two shards of a pool being taken for one, which happens if a long
# pool name is cut off before the number of the shard.
play_fleet "long names of shards are not truncated" <<'EOT'
fleet lend
pool ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~10
pool ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~11
list m1:ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~10:i1:up m2:ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~10:i2:up m3:ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~10:i3:up m4:ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~11:j1:up m5:ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~11:j2:up
load ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~10 instances=3 i1 i2 i3
load ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~11 instances=2 used=40000
advance 200
EOT

# Guards against a wave that ends late: machines with long-running tasks never become
# idle, and they were drained one of a pool at a time, and none while a machine of
# the pool moved. Here 10 s remain for four machines, and each takes about 4 s, so
# two are drained at once.
play_fleet "machines with long-running tasks are maintained in time" <<'EOT'
fleet rate
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up m3:p:i3:up m4:p:i4:up m5:s::up
load p instances=4 used=48000 lasting=1 host:i1 host:i2 host:i3 host:i4
advance 100
wave 7 10000 4 m1 m2 m3 m4
advance 100
EOT

# Guards against lending that lags behind a surge: two machines get 320 cores of
# work a second, ten times their capacity. By the backlog after 400 ms, 7 machines
# would be enough; by the arrival rate it takes 15.
for lending in lend rate; do
	play_fleet "lending policy $lending in a surge" <<EOT
fleet $lending
pool p
pool s standby
list m01:p:i1:up m02:p:i2:up m03:s::up m04:s::up m05:s::up m06:s::up m07:s::up m08:s::up m09:s::up m10:s::up m11:s::up m12:s::up m13:s::up m14:s::up m15:s::up m16:s::up m17:s::up m18:s::up
load p instances=2 used=0 placed=100000
advance 200
load p instances=2 used=32000 placed=106400 waiting=57600
advance 200
load p instances=2 used=32000 placed=112800 waiting=115200
advance 100
EOT
done | sed 's/move m[0-9]* /move /' | uniq -c | sed 's/^ *//'

# Guards against a pool that takes all machines on standby for a few long-running
# tasks, and against one that lacks room for them in a surge: their CPU is needed
# beside that for the work that arrives.
play_fleet "long-running tasks get the machines that their CPU takes" <<'EOT'
fleet lend
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up m3:s::up m4:s::up m5:s::up m6:s::up m7:s::up
load p instances=2 used=20000 lasting_used=20000
advance 200
load p instances=2 used=20000 lasting_used=20000 lasting=10 lasting_cpu=24000
advance 100
EOT

# Guards against a task that never runs although most of the pool is free: no
# instance is empty enough for it.
play_fleet "a fragmented pool gets one machine more" <<'EOT'
fleet lend
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up m3:p:i3:up m4:s::up m5:s::up
load p instances=3 used=12000 blocked=1
advance 200
load p instances=3 used=12000 blocked=1
advance 200
EOT

# A full pool is not fragmented: the waiting work says how much it needs.
play_fleet "a full pool gets the machines for its work" <<'EOT'
fleet lend
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up m3:p:i3:up m4:s::up m5:s::up
load p instances=2 used=31000 blocked=3
advance 200
load p instances=2 used=31000 blocked=3
advance 200
EOT
