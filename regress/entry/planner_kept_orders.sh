#!/bin/sh
# Guards against a planner whose record of orders leaves out those of the one before it.
. ./lib.subr

machines=$with_machines

before_entries()
{
	put gw/planner/orders 'w-3 0
'
}

upkeeps_are()
{
	[ "$(curl -s "$workers/stats" | jq .upkeeps)" = "$1" ]
}

start_all 1
put op/wave/1 '{"wave":1,"machines":["w-1"],"duration_s":5,"max_count":1}'
until_true 10 upkeeps_are 1
curl -s "$store/kv-key?key=gw/planner/orders" | jq -r .value | base64 -d
