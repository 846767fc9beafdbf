#!/bin/sh
. ./lib.subr

# Guards against a long-running task that waits as long as no instance of its pool is usable.
play_fleet "a pool without usable instances gets a machine for a long-running task" <<'EOP'
fleet rate
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up m3:s::up m4:s::up
load p instances=0 lasting=1
advance 500
load p instances=0 lasting=1
advance 500
ordered m3 ok
load p instances=0 lasting=1
advance 1000
load p instances=0 lasting=1
advance 600
up n3 m3 p
load p instances=1 used=1000
advance 500
EOP
