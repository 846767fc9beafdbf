#!/bin/sh
# Guards against a job that runs in two pools, and runs on after its cancel: the
# queue is given to another pool while the old owner does not hear from the store,
# and that one accepts the queue's first job by the old configuration.
. ./lib.subr

control1=http://127.0.0.1:28599
control2=http://127.0.0.1:28598
id=00000000000000b1

store_port_of()
{
	echo $((28501 + $1))
}

before_entries()
{
	for n in 1 2; do
		start relay$n gwrelay --listen=127.0.0.1:$((28501 + n)) \
		    --to=127.0.0.1:28501 --control=127.0.0.1:$((28503 + n))
	done
	start others gwworkerd --store=127.0.0.1:28501 --work-ms=8000 --pool=p2 \
	    --id-prefix=x --listen=127.0.0.1:28650 --control=127.0.0.1:28598
}

route()
{
	echo "{\"name\":\"$1\",\"host\":\"$host\",\"prefix\":\"/$1/\",\"service\":\"$2\",\"max_attempts\":3,\"target_latency_ms\":600,\"stretch\":1.6}"
}

# routes VERSION POOL: the queue /new/ is in the pool, and /q/ in p1.
routes()
{
	put op/config "{\"version\":$1,\"routes\":[$(route q p1),$(route new "$2")],\"services\":[{\"name\":\"p1\",\"enforces_capacity\":true},{\"name\":\"p2\",\"enforces_capacity\":true}],\"limits\":{}}"
}

# call METHOD ENTRY PATH [BODY]: prints the status of the response.
call()
{
	curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" -X "$1" \
	    "http://127.0.0.1:$((28510 + $2))/new/$3" ${4:+-d "$4"}
}

has_queue()
{
	[ "$(call GET "$1" "")" = 200 ]
}

submit_new()
{
	[ "$(call POST "$1" $id '{"spec":"x","steps":[{"count":2,"cpu":500,"mem_mb":100,"estimated_ms":150}]}')" = 200 ]
}

is_cancelled()
{
	[ "$(call DELETE "$1" $id)" = 200 ]
}

# runs ADDRESS: prints how many tasks of the job run there.
runs()
{
	curl -s "$1/running" | grep -o "$id[.0-9]*" | wc -l
}

work_ms=8000
start_all 2
routes 2 p1
until_true 5 has_queue 1
until_true 5 has_queue 2
a=$(curl -s "$store/kv-key?key=gw/role/p1" | jq -r .value | base64 -d |
    sed 's/.*:2853\([12]\).*/\1/')
b=$((3 - a))
curl -s -o /dev/null -X POST "http://127.0.0.1:$((28503 + a))/silent"
routes 3 p2
sleep 0.2
submit_new "$a" &
sleep 0.9
curl -s -o /dev/null -X POST "http://127.0.0.1:$((28503 + a))/heal"
wait $!
until_true 10 submit_new "$b" && echo "accepted"
sleep 1
in_p1=$(runs $control1) in_p2=$(runs $control2)
echo "tasks that run: $((in_p1 + in_p2)), in both pools: $((in_p1 * in_p2))"
until_true 5 is_cancelled "$b" && echo "cancelled"
sleep 1
echo "tasks that run after that: $(($(runs $control1) + $(runs $control2)))"
echo "doubles: $(curl -s "$workers/stats" | jq .doubles)"
