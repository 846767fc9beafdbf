# Guards against a gwfleetd that does not start, loses its state or returns to
# an older generation when the store is down, loses answers or ends watches by
# compaction, and against a planner that goes on after it was suspended for
# longer than its lease.
BASE=22200
. ./lib.subr
start_store
start_platform
start_fleet 1
wait_for "e1 is the planner" 5 is 1 .is_planner true
apply manifest.json --wait
control_store '{"lose_answers":2}'
control_platform '{"do":"leave","id":"i1"}'
wait_for "an instance drains although answers are lost" 5 \
    table_is 1 '.id == "i1" and .state == "drained"' 1
control_store '{"down":"refuse"}'
start_fleet 2
wait_for "e2 starts while the store is down" 5 is 2 .generation 1
wait_for "e2 has the table" 5 table_is 2 '.state == "active"' 3
wait_for "e1 steps down" 8 is 1 .is_planner false
wait_for "e1 still serves" 2 is 1 .ready true
control_store '{"down":"no"}'
wait_for "a planner is elected again" 8 sh -c \
    "curl -s 127.0.0.1:$((BASE + 21))/v1/status 127.0.0.1:$((BASE + 22))/v1/status | grep -q '\"is_planner\":true'"
control_store '{"compact":true}'
sed 's/"deadline_ms":1000/"deadline_ms":2000/' manifest.json >"$tmp/m2.json"
apply "$tmp/m2.json" --wait && echo "generation 2 is in force after compaction"
wait_for "e1 has generation 2" 3 is 1 .generation 2
wait_for "e2 has generation 2" 3 is 2 .generation 2
if [ "$(status 1 .is_planner)" = true ]; then old=1 new=2; else old=2 new=1; fi
epoch=$(status $old .epoch)
eval "kill -STOP \$pid_fleet$old"
wait_for "the other gwfleetd takes over" 15 is $new .is_planner true
[ "$(status $new .epoch)" -gt "$epoch" ] && echo "its epoch is higher"
eval "kill -CONT \$pid_fleet$old"
wait_for "the resumed gwfleetd has the new epoch" 5 is $old .epoch "$(status $new .epoch)"
[ "$(status $old .is_planner)" = false ] && echo "the resumed gwfleetd is not the planner"
