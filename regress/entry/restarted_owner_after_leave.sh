#!/bin/sh
# Guards against tasks that last and wait too long after their instance left,
# because a process that was killed and has started again while the store was away
# gains the role, and knows no owner before it.
. ./leave.subr

start_lasting
before=$(gains)
restarted=$((first % 3 + 1))
third=$((6 - first - restarted))
eval "kill -KILL \$pid_entry$restarted"
lost=$(fullest)
fault "{\"worker\":$lost,\"leave_ms\":100}"
until_true 3 has_left "$lost"
store_fault '{"down":"refuse"}'
start_entry $restarted
sleep 3
eval "kill -STOP \$pid_entry$first \$pid_entry$third"
store_fault '{"down":"no"}'
until_true 15 has_gained "$before"
eval "kill -CONT \$pid_entry$first \$pid_entry$third"
calm_from_ms=$(now_ms)
[ "$(last_to_gain)" = "$restarted" ] || echo "another process gained the role"
run_again
doubles
