# Jobs with the real programs. Guards against losing a job or starting it twice
# when a reply of the store is lost, a submission is repeated, the planner is
# killed or a worker is lost; against cancelled jobs that keep running; and
# against urgent jobs that start late.
BASE=27000
. ../fleet/lib.subr

# submit ID TEAM SERVICE_MS FLAGS: prints the outcome that gwctl reports.
submit()
{
	printf '{"id":"%s","team":"%s","service_ms":%s,"cpu_millis":4000,"memory_mib":1024%s}' \
	    "$1" "$2" "$3" "$4" >"$tmp/job.json"
	"$GW_BIN/gwctl" --json --admin=127.0.0.1:$((BASE + 20 + planner)) \
	    jobs submit "$tmp/job.json" 2>&1 |
	    jq -r '"\(.id) repeated=\(.repeated)"' 2>/dev/null ||
	    "$GW_BIN/gwctl" --admin=127.0.0.1:$((BASE + 20 + planner)) \
	    jobs submit "$tmp/job.json" 2>&1
}

# job_is ID STATE: succeeds if the planner lists the job in this state.
job_is()
{
	[ "$(admin $planner /v1/jobs | jq -r ".jobs[] | select(.id == \"$1\") | .state")" = "$2" ]
}

cancel()
{
	"$GW_BIN/gwctl" --admin=127.0.0.1:$((BASE + 20 + planner)) \
	    jobs cancel "$1" >/dev/null || echo "cannot cancel $1"
}

# count_is PREFIX STATE NUMBER: succeeds if NUMBER jobs whose id has the prefix
# are in the state.
count_is()
{
	[ "$(admin $planner /v1/jobs | jq "[.jobs[] | select((.id | startswith(\"$1\")) and .state == \"$2\")] | length")" = "$3" ]
}

# tasks ID: prints how many tasks of the job the platform has ever started.
tasks()
{
	curl -s -m 2 "http://$platform/v1/tasks" |
	    jq "[.tasks[] | select(.id | startswith(\"$1.\"))] | length"
}

start_store
start_platform
planner=1
start_fleet 1
wait_for "e1 is the planner" 10 is 1 .is_planner true
apply ../fleet/manifest.json
wait_for "four workers are active" 15 table_is 1 '.state == "active"' 4
submit first t 300
wait_for "a job is recorded, started and finished" 5 job_is first finished
submit first t 300
submit nobody none 300
submit long t 60000
wait_for "a long job runs" 5 job_is long running
control_store '{"lose_answers":1}'
submit lost t 60000
wait_for "a job whose write had no answer runs" 5 job_is lost running
start_fleet 2
wait_for "e2 knows the planner" 10 is 2 .planner e1
kill -9 "$pid_fleet1"
planner=2
wait_for "e2 is the planner" 20 is 2 .is_planner true
wait_for "the long job still runs" 5 job_is long running
echo "tasks of the long job: $(tasks long)"
cancel long
wait_for "the long job is cancelled" 5 job_is long cancelled
echo "tasks of the job without answer: $(tasks lost)"
cancel lost
wait_for "no job holds room" 5 job_is lost cancelled

submit huge t 1000 ',"accelerators":1'
for i in 1 2 3 4; do
	printf '{"id":"full%d","team":"t","service_ms":60000,"cpu_millis":16000,"memory_mib":1024,"throttleable":true}' \
	    $i >"$tmp/job.json"
	"$GW_BIN/gwctl" --admin=127.0.0.1:$((BASE + 22)) \
	    jobs submit "$tmp/job.json" >/dev/null
done
wait_for "the fleet is full" 5 count_is full running 4
begin=$(date +%s%3N)
submit rush t 500 ',"urgent":true'
until [ "$(tasks rush)" = 1 ] || [ $(($(date +%s%3N) - begin)) -gt 5000 ]; do
	sleep 0.02
done
took=$(($(date +%s%3N) - begin))
echo "urgent start after $took ms" >&2
[ $took -le 2300 ] && echo "urgent work started within 2.3 s"

worker=$(admin 2 /v1/jobs | jq -r '.jobs[] | select(.id == "full2") | .instance')
control_platform "{\"do\":\"restart\",\"id\":\"$worker\"}"
wait_for "the end of a job is unknown" 5 job_is full2 unknown
sleep 1
echo "tasks of this job: $(tasks full2)"

for i in 1 3 4; do
	cancel full$i
done
wait_for "the fleet is empty" 5 count_is full cancelled 3
for i in 0 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19; do
	submit many$i t 5000 >/dev/null
done
for i in 0 1 2 3 4 5 6 7 8 10 11 12 13 14 15 16 17 18; do
	cancel many$i
done
wait_for "nine tenths are cancelled" 5 count_is many cancelled 18
wait_for "the others finish" 15 count_is many finished 2
admin 2 /metrics | grep '^gwfleetd_jobs{' | grep -v ' 0$'
