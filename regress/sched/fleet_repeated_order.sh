#!/bin/sh
. ./lib.subr

# Guards against an order that is repeated after the drain at the owner has expired.
play_fleet "an order without a response is repeated once the drain is confirmed" <<'EOP'
fleet
pool p
list m1:p:i1:up m2:p:i2:up
load p instances=2 i1 i2
wave 7 20000 1 m1
advance 100
drained i1
advance 1200
ordered m1 none
advance 3000
drained i1
advance 200
ordered m1 ok
advance 500
EOP

play_fleet "a move without a response ends with the next instance" <<'EOP'
fleet lend
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up m3:s::up
load p instances=2 used=8000 lasting=1
advance 100
advance 1000
ordered m3 none
load p instances=2 used=8000 lasting=1
advance 600
up n3 m3 p
load p instances=3 used=8000
advance 1400
EOP
