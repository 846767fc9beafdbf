#!/bin/sh
# Guards against a machine that is maintained twice: the planner is killed right
# after the maintenance began, when it has nothing else to write. The machine must
# be recorded as done by then.
. ./lib.subr

machines=$with_machines

upkeeps_are()
{
	[ "$(curl -s "$workers/stats" | jq .upkeeps)" = "$1" ]
}

# recorded_done: prints how many machines are recorded as done; the next planner
# does not order these.
recorded_done()
{
	curl -s "$store/kv-key?key=gw/planner/wave/1" | jq -r .value |
	    base64 -d | grep -c '^done '
}

start_all 1
put op/wave/1 '{"wave":1,"machines":["w-0","w-1"],"duration_s":60,"max_count":1}'
until_true 10 upkeeps_are 1
sleep 0.5
kill -9 "$pid_entry1"
echo "upkeeps $(curl -s "$workers/stats" | jq .upkeeps), recorded $(recorded_done)"
