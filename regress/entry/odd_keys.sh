#!/bin/sh
# Guards against processes that end, or stop following a list in the store, since
# one key of it is odd: before they start, and again while jobs run.
. ./lib.subr

machines=$with_machines
# The upkeep is carried out: without it the planner gives up waiting after 15 s.
machine_ms=1500
deep=$(awk 'BEGIN { for (i = 0; i < 30000; i++) printf "[" }')
long=$(printf "%0120d" 7)
zero='"\u0000"'

# Writes an odd key to each list.
put_odd()
{
	for odd in "$deep" '{"wave":1e400}' "$zero" ''; do
		put "servers/odd" "$odd"
		put "op/wave/7$1" "$odd"
		put "gw/job/p1/odd$1" "$odd"
		put "gw/run/p1/odd$1" "$odd"
		put "gw/run/p1/a-name-that-is-longer-than-any-job-has$1" "$odd"
		put "gw/role/odd$1" "$odd"
		put "gw/role/$long" "$odd"
		put "gw/planner/wave/odd$1" "$odd"
		put "gw/planner/odd$1" "$odd"
	done
}

before_entries()
{
	put_odd 1
	put gw/planner/orders "$(printf '%s 1\n%s 2\nw-0 99999999999999999999999999 x' "$long" "$long")"
}

start_all 2
for i in $(seq 1 5); do
	submit_until "1 2" "$(job_id "$i")" || echo "job $i not accepted"
done
put_odd 2
for i in $(seq 6 10); do
	submit_until "1 2" "$(job_id "$i")" || echo "job $i not accepted"
done
until_true 20 completed 1 1 10 && echo "completed"
config 2 ",{\"name\":\"q2\",\"host\":\"$host\",\"prefix\":\"/q2/\",\"service\":\"p1\"}"
follows()
{
	for n in 1 2; do
		curl -s -m 1 "http://127.0.0.1:$((28520 + n))/metrics" |
		    grep -q '^gw_entry_config_version 2$' || return 1
	done
}
until_true 10 follows && echo "configuration followed"
put op/wave/90 '{"wave":90,"machines":["w-0"],"duration_s":5,"max_count":1}'
until_true 15 wave_is 90 completed && echo "wave completed"
for n in 1 2; do
	grep -q "ENTRY_IGNORED .*name too long" "$tmp/entry$n.log" "$tmp/entry$n.out" &&
	    echo "process $n has ignored the long name"
done
kill -0 "$pid_entry1" "$pid_entry2" && echo "both processes run"
doubles
