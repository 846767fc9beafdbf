# Guards against a planner that goes on with a wave after a pause longer than
# its lease, when another one has taken over: work on an instance that reboots,
# a second reboot, or two planners' tables mixed.
. ./lib.subr
start_system
start_load 17000 12
start_wave 1 && echo "a wave is started"
wait_for "an instance leaves for the wave" 5 table_has 1 1 '.state == "leaving"'
old=$(planner_of 1)
stop fleet1$old STOP
wait_for "the other gwfleetd takes over" 12 \
    sh -c "curl -s -m 1 127.0.0.1:2821$((3 - old))/v1/status |
    grep -q '\"is_planner\":true'"
stop fleet1$old CONT
sleep 1
admin 1$old /v1/status | jq -r '"the paused one is planner: \(.is_planner)"'
wait_for "the wave goes on" 10 reboots 1 3
finish 2 false
