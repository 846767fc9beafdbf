#!/bin/sh
. ./lib.subr

# Guards against a long-running task that waits for the room of a machine whose drain cannot end.
play_fleet "a drain ends when a long-running task has room nowhere else" <<'EOP'
fleet lend
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up
load p instances=2 used=30000 host:i1 host:i2
wave 7 20000 1 m1
advance 1000
load p instances=1 used=16000 lasting=1 host:i2
advance 1000
load p instances=1 used=16000 lasting=1 host:i2
advance 1000
load p instances=1 used=16000 lasting=1 host:i2
advance 1000
load p instances=1 used=16000 lasting=1 host:i2
advance 1000
load p instances=1 used=16000 lasting=1 host:i2
advance 1000
load p instances=2 used=30000 host:i1 host:i2
advance 1000
load p instances=2 used=30000 host:i1 host:i2
advance 1400
load p instances=2 used=30000 host:i1 host:i2
advance 400
drained i1
ordered m1 ok
EOP

play_fleet "a paused drain whose order may yet be carried out counts for the wave" <<'EOP'
fleet lend
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up
load p instances=2 used=30000 host:i1 host:i2
wave 7 20000 1 m1 m2
advance 100
drained i1
drained i2
advance 1200
ordered m1 none
ordered m2 none
load p instances=1 used=16000 lasting=1
advance 1000
load p instances=1 used=16000 lasting=1
advance 1000
load p instances=1 used=16000 lasting=1
advance 1000
load p instances=1 used=16000 lasting=1
advance 1000
load p instances=2 used=30000 host:i1 host:i2
advance 1000
EOP
