#!/bin/sh
# Maintenance waves and moves.
. ./lib.subr

# Guards against more machines down than the wave allows, a wave that is said to
# be complete too early, and a busy machine that is stopped before it is free.
play_fleet "a wave keeps its bound" <<'EOT'
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
advance 1100
ordered m3 ok
advance 100
up n3 m3 p
advance 100
EOT

# Guards against machines that are maintained twice after a change of planner,
# and against a wave that waits for a machine that has gone.
play_fleet "another planner goes on" <<'EOT'
fleet
pool p
list m1:p:i1:up m2:p:i2:up
load p instances=2 i1 i2
wave 7 20000 2 m1 m2 m9
known-done 7 m1
advance 100
drained i2
ordered m2 rejected
advance 100
EOT

# Guards against a move that is given up in the round in which it began: a phase
# may start later than the round's own reading of the clock.
play_fleet "a surplus goes to standby, a need is met from there" <<'EOT'
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

# Guards against a lasting task that finds no room while its pool counts as large
# enough by the processors in use.
play_fleet "a lasting task without room calls for a machine" <<'EOT'
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

# Guards against a drain that waits for ever: the machine being freed counts as
# had, and its lasting task has nowhere to go.
play_fleet "a machine that is being freed gives no room" <<'EOT'
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

# Guards against machines on standby that count as away for ever: they run no
# instance that could report.
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

# Guards against two planners whose orders to one machine take turns, and against
# too many machines down while the former planner's orders go on.
play_fleet "machines that a former planner ordered are left alone" <<'EOT'
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

# Guards against two parts of a pool with a long name being taken for one.
play_fleet "names of parts are kept whole" <<'EOT'
fleet lend
pool ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~10
pool ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~11
list m1:ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~10:i1:up m2:ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~10:i2:up m3:ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~10:i3:up m4:ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~11:j1:up m5:ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~11:j2:up
load ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~10 instances=3 i1 i2 i3
load ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp~11 instances=2 used=40000
advance 200
EOT

# Guards against a wave that ends late: machines with lasting tasks never become
# idle, and were taken one of a pool at a time, and none while a machine of the
# pool moved. Four have 10 s, each takes about 4 s; so two go at once.
play_fleet "machines with lasting tasks are maintained in time" <<'EOT'
fleet rate
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up m3:p:i3:up m4:p:i4:up m5:s::up
load p instances=4 used=48000 lasting=1 host:i1 host:i2 host:i3 host:i4
advance 100
wave 7 10000 4 m1 m2 m3 m4
advance 100
EOT

# Guards against lending that chases a surge: two machines get 320 cores of work
# a second, ten times what they hold. By what waits after 400 ms, 7 machines
# would do; by what comes in, 15.
for lending in lend rate; do
	play_fleet "a surge is answered by $lending" <<EOT
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
