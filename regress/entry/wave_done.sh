#!/bin/sh
# Guards against a machine that is maintained twice: its maintenance has begun,
# and the planner is killed before it has another reason to write.
. ./lib.subr

machines=$with_machines

upkeeps_are()
{
	[ "$(curl -s "$workers/stats" | jq .upkeeps)" = "$1" ]
}

# recorded_done: the machines that the next planner leaves alone.
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
