#!/bin/sh
# Guards against tasks that last and wait too long after their instance left while
# the store was away, because the owner after that is lost, a second after it
# gained the role.
. ./leave.subr

start_lasting
before=$(gains)
eval "leave_without_store \$pid_entry$first"
until_true 15 has_gained "$before"
next=$(last_to_gain)
eval "kill -CONT \$pid_entry$first"
[ "$next" != "$first" ] || echo "the first owner is the next one"
sleep 1
lose "$next"
run_again
doubles
