#!/bin/sh
. ./lib.subr

# Guards against a long-running task that waits for a machine that was lost on its way.
play_fleet "a machine that does not arrive in time is not waited for" <<'EOP'
fleet lend
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up m3:s::up m4:s::up
load p instances=2 used=8000 lasting=1
advance 100
ordered m3 ok
load p instances=2 used=8000 lasting=1
advance 1000
load p instances=2 used=8000 lasting=1
advance 1000
load p instances=2 used=8000 lasting=1
advance 1000
load p instances=2 used=8000 lasting=1
advance 1100
ordered m4 ok
load p instances=2 used=8000 lasting=1
advance 1000
load p instances=2 used=8000 lasting=1
advance 600
up n4 m4 p
load p instances=3 used=8000
advance 100
EOP
