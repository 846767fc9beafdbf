# Guards against a planner that is paused for longer than its lease and then
# continues a wave, although another planner has taken over. Requests would run
# on an instance that reboots, an instance would reboot twice, or the table
# would mix the writes of two planners.
. ./lib.subr
start_system
start_load 17000 12
start_wave 1 && echo "a wave is started"
wait_for "an instance is leaving for the wave" 5 \
    table_has 1 1 '.state == "leaving"'
old=$(find_planner 1)
send_signal fleet1$old STOP
wait_for "the other gwfleetd takes over" 12 \
    sh -c "curl -s -m 1 127.0.0.1:2821$((3 - old))/v1/status |
    grep -q '\"is_planner\":true'"
send_signal fleet1$old CONT
sleep 1
get_admin 1$old /v1/status |
    jq -r '"the paused gwfleetd is planner: \(.is_planner)"'
wait_for "the wave continues" 10 reboots_begun 1 3
verify_run 2 false
