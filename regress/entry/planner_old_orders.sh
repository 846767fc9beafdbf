#!/bin/sh
# Guards against a wait after orders of the previous planner that begins with the next.
. ./lib.subr

machines=$with_machines

upkeeps()
{
	curl -s "$workers/stats" | jq .upkeeps
}

upkeeps_are()
{
	[ "$(upkeeps)" = "$1" ]
}

# planner: prints the number of the process that has the planner's role.
planner()
{
	curl -s "$store/kv-key?key=gw/role/@planner" | jq -r .value |
	    base64 -d | sed 's/.* e//'
}

# order_after_kill WAVE MACHINE: requests maintenance of the machine. Prints how
# many upkeeps the next planner has ordered 4.8 s after the kill of the previous one:
# a machine that moves by then serves 7 s after it.
order_after_kill()
{
	put "op/wave/$1" "{\"wave\":$1,\"machines\":[\"$2\"],\"duration_s\":5,\"max_count\":1}"
	sleep 4.8
	echo "after 4.8 s: $(upkeeps) upkeeps"
}

start_all 3
put gw/planner/orders 'w-0 0
'
sleep 6
eval "kill -9 \$pid_entry$(planner)"
order_after_kill 1 w-0
eval "kill -9 \$pid_entry$(planner)"
put gw/planner/orders 'w-1 0
'
order_after_kill 2 w-1
until_true 10 upkeeps_are 2 && echo "then 2 upkeeps"
