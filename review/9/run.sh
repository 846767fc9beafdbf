#!/bin/bash
# The owner of a pool freezes for up to 4 s. One client in four gets no response to
# its job, leaves and cancels it; the others stay. A job whose cancelling has been acknowledged must not be
# started later.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../standin-2/lib.sh"
control=127.0.0.1:$((base + 49))
jobs=48 leavers_of=4
cancel_ms=3000

start_store
start workers "$bin/gwworkerd" --store="$store" --workers=8 --pool=p1 \
    --listen="127.0.0.1:$((base + 50))" --control="$control" --work-ms=3500 \
    --stop-ms=200
config 1 "$(route r-q /q/ p1)" p1 >/dev/null
for n in 1 2 3; do
	start_entry $n
done
for n in 1 2 3; do
	until_true 15 is_ready $n || unable "not ready"
done
until_true 15 owner_of p1 || unable "no owner"
is_served()
{
	[ "$(status_of "$(client 1 POST 00000000000000ff "$(job cpu=100 1 100)")")" = 200 ]
}
until_true 20 is_served || unable "no job accepted"
sleep 2
owner=$(owner_of p1)
a=$((owner % 3 + 1))
c=$((a % 3 + 1))
note "entry $owner owns p1; jobs go to entry $a, cancels to entry $c"

# A job of two steps, each of one task of 3.5 s.
body='{"spec":"cpu=100","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":3500},{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":3500,"after":[0]}]}'

# staying_client NUMBER: hands a job in and waits for the response.
staying_client()
{
	patience=3000 client "$a" POST "$(printf '%016x' $((0xe00 + $1)))" "$body" >/dev/null
}

# leaving_client NUMBER: hands a job in; after 300 ms without a response it leaves, and
# cancels the job until that is acknowledged.
leaving_client()
{
	id=$(printf '%016x' $((0xd00 + $1)))
	patience=300 client "$a" POST "$id" "$body" >/dev/null
	for try in 1 2 3 4 5 6 7 8 9 10 11 12; do
		answer=$(patience=3000 client "$c" DELETE "$id")
		case $(status_of "$answer") in
		2??|410)
			date +%s%3N >"$tmp/ack-$id"
			return
			;;
		esac
		sleep 0.1
	done
}

if [ "$trouble" != 0 ]; then
	eval "frozen=\$pid_entry$owner"
	note "entry $owner freezes"
	kill -STOP "$frozen"
fi
clients=
for number in $(seq 1 $jobs); do
	if [ $((number % leavers_of)) = 0 ]; then
		leaving_client "$number" &
	else
		staying_client "$number" &
	fi
	clients="$clients $!"
	sleep 0.02
done
if [ "$trouble" != 0 ]; then
	sleep 2.4
	kill -CONT "$frozen"
	note "entry $owner wakes"
fi
# shellcheck disable=SC2086
wait $clients
# Notes when a task is first seen to run.
end=$(($(date +%s%3N) + 12000))
while [ "$(date +%s%3N)" -lt $end ]; do
	for task in $(call GET "$control" /running | grep -o '[0-9a-f]\{16\}\.[0-9.]*'); do
		[ -e "$tmp/task-$task" ] && continue
		date +%s%3N >"$tmp/task-$task"
		note "runs: $task"
	done
	sleep 0.1
done
late=0 acked=0
for file in "$tmp"/ack-*; do
	[ -e "$file" ] || continue
	acked=$((acked + 1))
	id=${file##*ack-}
	task=$tmp/task-$id.0.1.0
	[ -e "$task" ] || continue
	after=$(($(cat "$task") - $(cat "$file")))
	note "task $id.0.1.0 was seen to start $after ms after the cancelling was acknowledged"
	[ $after -gt $((cancel_ms + 200)) ] && late=$((late + 1))
done
note "stats: $(call GET "$control" /stats)"
[ $acked -gt 0 ] || unable "no cancelling was acknowledged"
echo "cancelled jobs: $acked; started later than $cancel_ms ms after that: $late"
[ $late = 0 ]
