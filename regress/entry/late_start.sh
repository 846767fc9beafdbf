#!/bin/sh
# Guards against a task that runs again since a start without a response is carried
# out by the next incarnation of its instance, after the task was done.
. ./lib.subr

starts()
{
	curl -s "$workers/stats" | jq .starts
}

crashes()
{
	curl -s "$workers/stats" | jq .crashes
}

# late_starts LATE_MS: the next start of each worker is carried out so much later
# and gets no response.
late_starts()
{
	for w in 0 1 2 3; do
		fault "{\"worker\":$w,\"late_starts\":1,\"late_ms\":$1}"
	done
}

crash_all()
{
	for w in 0 1 2 3; do
		fault "{\"worker\":$w,\"crash\":true}"
	done
}

# play FIRST LAST: the jobs are done, and acknowledged, before the workers crash;
# the late starts come 2 s after they have begun again.
play()
{
	late_starts 6000
	for i in $(seq "$1" "$2"); do
		submit_until 1 "$(job_id "$i")" || echo "job $i not accepted"
	done
	until_true 5 completed 1 "$1" "$2" && echo "completed"
	sleep 0.5
	before=$(starts)
	crash_all
	sleep 7
	echo "starts after the crash: $(($(starts) - before))"
}

work_ms=200
start_all 2
until_true 10 completed 1 255 255
play 1 8
play 11 18
doubles
echo "crashes: $(crashes)"
