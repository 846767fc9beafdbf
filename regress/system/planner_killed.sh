# Guards against work lost, run twice or cut off, and against a budget exceeded,
# when a planner is killed in the middle of a wave, and another one in the
# middle of a move that a manifest change demands.
. ./lib.subr
start_system
start_load 13000 11
start_wave 1 && echo "a wave is started"
wait_for "an instance leaves for the wave" 5 table_has 1 1 '.state == "leaving"'
old=$(planner_of 1)
stop fleet1$old KILL
echo "its planner is killed"
apply "$(manifest '.pools[0].data_centres.dc2.instances = 4 |
    .pools[1].data_centres.dc2 = {instances: 2, minimum: 0}')"
wait_for "a busy instance leaves for a move" 5 \
    table_has 2 1 '.state == "leaving" and .pool == "b"'
stop fleet2"$(planner_of 2)" KILL
echo "its planner is killed"
wait_for "the move is finished" 15 table_has 2 4 \
    '.state == "active" and .home_pool == "a"'
wait_for "the wave goes on" 12 reboots 1 3
finish 2 false '{"a":6,"b":5}'
