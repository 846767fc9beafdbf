#!/bin/sh
# Guards against an operator who cannot see what a team runs, holds and waits for,
# or why a job waits, from any process, or who is shown sums that lack a shard
# without being told; and against a key or its digest in what a process prints.
. ./lib.subr

# Two pools, a team with a quota and one without.
config()
{
	put op/config "{\"version\":$1,\"routes\":[{\"name\":\"q1\",\"host\":\"$host\",\"prefix\":\"/q/\",\"service\":\"p1\",\"target_latency_ms\":60000},{\"name\":\"q2\",\"host\":\"$host\",\"prefix\":\"/r/\",\"service\":\"p2\",\"target_latency_ms\":60000},{\"name\":\"open\",\"host\":\"$host\",\"prefix\":\"/open/\",\"service\":\"p1\",\"public\":true}],\"services\":[{\"name\":\"p1\",\"enforces_capacity\":true},{\"name\":\"p2\",\"enforces_capacity\":true}],\"limits\":{},\"tenants\":[{\"name\":\"team-a\",\"weight\":50,\"api_keys\":[\"secret-a\"],\"max_count\":{\"cpu\":4000,\"mem_mb\":0,\"gpu\":0}},{\"name\":\"team-b\",\"weight\":5,\"api_keys\":[\"secret-b\"]}]}"
}

before_entries()
{
	for n in 1 2 3 4; do
		curl -s -o /dev/null -X POST "$workers/control" \
		    -d '{"add":"p2","zone":"dc-a"}'
	done
}

is_accepted()
{
	[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" -X POST \
	    "http://127.0.0.1:$((28510 + $1))/open/$2" -d '{"spec":"x","steps":[{"count":1}]}')" = 200 ]
}

# hand_in ENTRY PREFIX NUMBER KEY: a job of four tasks of one core.
hand_in()
{
	curl -s -m 3 -o /dev/null -w '%{http_code}\n' -H "Host: $host" \
	    ${4:+-H "X-Api-Key: $4"} -X POST \
	    "http://127.0.0.1:$((28510 + $1))/$2/$(job_id "$3")" \
	    -d "{\"spec\":\"ms=60000 cpu=1000\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":10,\"estimated_ms\":60000}]}"
}

# entry ARG...: runs gwctl entry; all that it prints is kept for the search of keys.
entry()
{
	"$GW_BIN/gwctl" entry "$@" >"$tmp/gwctl.last" 2>"$tmp/gwctl.errors"
	status=$?
	cat "$tmp/gwctl.last" "$tmp/gwctl.errors" >>"$tmp/gwctl.out"
	cat "$tmp/gwctl.last"
	return $status
}

# metric TEXT: the sum of a metric over all processes.
metric()
{
	for n in 1 2 3; do
		curl -s -m 1 "http://127.0.0.1:$((28520 + n))/metrics"
	done | tee -a "$tmp/metrics.out" |
	    awk -v name="$1" '$1 == name {n += $2} END {print name, n + 0}'
}

owns_both()
{
	metric gw_entry_pools | grep -q ' 2$'
}

# teams_are ADDRESSES RUNNING WAITING: team-a runs and waits for so much.
teams_are()
{
	[ "$(entry teams --json --address "$1" | jq -c \
	    '.teams[0] | [.team, .running_cpu, .waiting]')" = "[\"team-a\",$2,$3]" ]
}

waits_for()
{
	[ "$(entry job "$1" --json --address "$all" | jq -r '.waits[0].reason')" = "$2" ]
}

# owner_of SHARD: the number of the process that owns the shard.
owner_of()
{
	curl -s -m 1 "http://127.0.0.1:28521/teams" | jq -r --arg shard "$1" \
	    '.shards[] | select(.shard == $shard) | .owner[-1:]'
}

all=127.0.0.1:28521,127.0.0.1:28522,127.0.0.1:28523
start_all 3
until_true 10 owns_both
echo "no key $(hand_in 1 q 1 ""), unknown keys $(hand_in 1 q 1 nonsense-key) $(hand_in 2 q 1 nonsense-key)"
echo "one job takes the whole quota, so the next one waits: $(hand_in 1 q 1 secret-a) $(hand_in 2 r 2 secret-a)"
until_true 10 teams_are $all 4000 1
until_true 10 waits_for "$(job_id 2)" quota
entry teams --address $all
for n in 1 2 3; do
	teams_are "127.0.0.1:2852$n" 4000 1 && echo "the same from process $n"
done
metric 'gw_entry_team_running_cpu_millis{team="team-a"}'
metric 'gw_entry_team_running_memory_mib{team="team-a"}'
metric 'gw_entry_team_jobs_waiting{team="team-a"}'
metric 'gw_entry_team_submitted_total{team="team-a"}'
metric 'gw_entry_team_submitted_total{team="team-b"}'
metric 'gw_entry_keys_refused_total{reason="no-key"}'
metric 'gw_entry_keys_refused_total{reason="unknown-key"}'

echo "jobs, from each process:"
for n in 1 2 3; do
	for job in 1 2; do
		entry job "$(job_id $job)" --json --address "127.0.0.1:2852$n" |
		    jq -c '[.id, .state, .team, .queue, .shard, .tasks, .placed,
			[.waits[] | {reason, tasks}], [.where[] | .state]]'
	done
done | sort | uniq -c | sed 's/^ *//'
entry job "$(job_id 2)" --address $all | grep -c '^shard  *p2$'

echo "what cannot be shown:"
entry job 00000000000000aa --address 127.0.0.1:28521
echo "absent: $?"
entry job nonsense --address $all
echo "no id: $?"
entry job "$(job_id 1)"
echo "no address: $?"
entry teams --address 127.0.0.1
echo "malformed address: $?"
entry teams --address 127.0.0.1:28529
echo "nobody there: $?"
curl -s -o /dev/null -w '%{http_code}\n' -X POST http://127.0.0.1:28521/teams

echo "an owner that does not answer:"
frozen=$(owner_of p2)
other=$((frozen % 3 + 1))
eval "pid=\$pid_entry$frozen"
kill -STOP "$pid"
entry teams --timeout-ms 400 --address 127.0.0.1:2852$other >"$tmp/partial"
echo "teams: $?"
grep "shard p2: " "$tmp/gwctl.errors" | sed 's/285[0-9]*/PORT/'
entry job "$(job_id 2)" --timeout-ms 400 --address 127.0.0.1:2852$other
echo "job: $?"
grep "job $(job_id 2)" "$tmp/gwctl.errors"
kill -CONT "$pid"

curl -s "http://127.0.0.1:28521/teams" "http://127.0.0.1:28522/teams" \
    "http://127.0.0.1:28523/teams" >"$tmp/teams.out"
# The search finds what is there.
grep -q team=team-a "$tmp/entry1.out" && grep -q team-a "$tmp/gwctl.out" &&
    grep -q team-a "$tmp/metrics.out" "$tmp/teams.out" && echo "the team is named"
for text in secret-a secret-b nonsense-key; do
	digest=$(printf %s "$text" | sha256sum | cut -c 1-64)
	grep -il -e "$text" -e "$digest" "$tmp"/*.out "$tmp"/*.log
done
echo "keys were searched in $(ls "$tmp"/*.out "$tmp"/*.log | wc -l) files"
