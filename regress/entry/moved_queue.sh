#!/bin/sh
# Guards against a job that runs twice, is said to be absent or runs on after its
# cancel, because its queue has been given to another pool since it was accepted.
. ./lib.subr

# routes VERSION [POOL NAME [SERVICES]]: the queue /q/ is in the pool and has the
# name; without these there is none.
routes()
{
	route=${2:+"{\"name\":\"$3\",\"host\":\"$host\",\"prefix\":\"/q/\",\"service\":\"$2\",\"max_attempts\":3,\"target_latency_ms\":600,\"stretch\":1.6}"}
	services=
	for pool in ${4:-p1 p2}; do
		services="$services${services:+,}{\"name\":\"$pool\",\"enforces_capacity\":true}"
	done
	put op/config "{\"version\":$1,\"routes\":[$route],\"services\":[$services],\"limits\":{}}"
}

config()
{
	routes "$1" p1 r-one
}

before_entries()
{
	start others gwworkerd --store=127.0.0.1:28501 --work-ms=100 --pool=p2 \
	    --id-prefix=x --listen=127.0.0.1:28650 --control=127.0.0.1:28598
}

cancel()
{
	curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    -X DELETE "http://127.0.0.1:$((28510 + $1))/q/$2"
}

pending()
{
	curl -s -m 3 -H "Host: $host" "http://127.0.0.1:$((28510 + $1))/q/"
}

is_dropped()
{
	[ "$(submit 1 "$(job_id 9)")" = 404 ] && [ "$(submit 2 "$(job_id 9)")" = 404 ]
}

# starts PORT: prints how many runs the workers have started.
starts()
{
	curl -s "http://127.0.0.1:$1/stats" | jq .starts
}

is_running()
{
	[ "$(curl -s "$workers/stats" | jq .running)" = "$1" ]
}

# restart_all: kills all entry processes at once and starts them again.
restart_all()
{
	kill -KILL "$pid_entry1" "$pid_entry2"
	for n in 1 2; do
		start_entry "$n"
	done
	for n in 1 2; do
		until_true 10 ready "$n"
	done
	until_true 20 is_accepted 1 "$1"
}

work_ms=6000
start_all 2
until_true 20 completed 1 255 255
echo "short: $(submit 1 "$(job_id 1)" 1)"
until_true 20 completed 1 1 1 && echo "completed"
echo "long: $(submit 1 "$(job_id 2)" 1) $(submit 2 "$(job_id 3)" 1)"
until_true 10 is_running 2
before=$(starts 28599)
routes 4
until_true 10 is_dropped && echo "the queue is dropped"
routes 7 p2 r-two
until_true 10 is_accepted 1 "$(job_id 5)"
until_true 10 is_accepted 2 "$(job_id 6)"
for n in 1 2; do
	echo "process $n: again $(submit $n "$(job_id 1)" 1), state" \
	    "$(state $n "$(job_id 2)"), pending $(pending $n)"
done
echo "cancel: $(cancel 2 "$(job_id 3)")"
until_true 5 is_running 1 && echo "its task has been stopped"
restart_all "$(job_id 7)"
echo "after a restart of all: again $(submit 2 "$(job_id 1)" 1)" \
    "$(submit 1 "$(job_id 3)" 1), state $(state 1 "$(job_id 3)")"
routes 9 p2 r-two p2
restart_all "$(job_id 8)"
until_true 20 completed 2 2 2 && echo "without the pool: the long job is completed"
echo "again $(submit 2 "$(job_id 1)" 1), state $(state 1 "$(job_id 1)")"
until_true 20 completed 2 5 8 && echo "the new jobs are completed"
echo "started in the old pool after the move: $(($(starts 28599) - before))"
echo "started in the new pool: $(starts 28598)"
doubles
