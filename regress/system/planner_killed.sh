# Guards against requests that are lost, run twice or cut off, and against an
# exceeded availability budget. One planner is killed during a wave, another one
# during a move that a manifest change requires.
. ./lib.subr
start_system
start_load 13000 11
start_wave 1 && echo "a wave is started"
wait_for "an instance is leaving for the wave" 5 \
    table_has 1 1 '.state == "leaving"'
old=$(find_planner 1)
send_signal fleet1$old KILL
echo "the planner of dc1 is killed"
# An instance without a request is in state leaving for less than the interval of
# the polls below, so that each instance of b is kept busy.
start_busy_load b.example 12000 12
apply_manifest "$(write_manifest '.pools[0].data_centres.dc2.instances = 4 |
    .pools[1].data_centres.dc2 = {instances: 2, minimum: 0}')"
wait_for "a busy instance is leaving for a move" 5 \
    table_has 2 1 '.state == "leaving" and .pool == "b"'
send_signal fleet2"$(find_planner 2)" KILL
echo "the planner of dc2 is killed"
wait_for "the move is finished" 15 table_has 2 4 \
    '.state == "active" and .home_pool == "a"'
wait_for "the wave continues" 12 reboots_begun 1 3
verify_run 2 false '{"a":6,"b":5}'
