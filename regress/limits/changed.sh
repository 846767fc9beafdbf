#!/bin/sh
# Guards against limits of the configuration that are not in force, or not on
# connections that were open when a new version changed them.
. ./lib.subr

# count NAME: prints the value of a metric.
count()
{
	curl -s -m 2 "http://127.0.0.1:$(ready_port 1)/metrics" |
	    awk -v name="$1" '$1 == name {print $2}'
}

in_force()
{
	[ "$(count gw_entry_config_version)" = "$1" ]
}

has_closed()
{
	[ "$(count "gw_entry_callers_closed_total{reason=\"$1\"}")" -gt 0 ]
}

has_answered()
{
	[ "$(count 'gw_entry_requests_total{kind="pending",outcome="ok"}')" -gt 0 ]
}

limits()
{
	echo "\"max_header_bytes\":$1,\"max_body_bytes\":$2,\"header_timeout_ms\":$3,\"idle_timeout_ms\":$4"
}

start_all 1
config 2 "$(limits 65536 400000 60000 60000)"
until_true 10 in_force 2
echo "a body of 300000 bytes: $(submit 1 300000)"
start silent "$crowd_program" silent "$(front 1)" 5
start header "$crowd_program" header "$(front 1)" 5
until_true 20 grep -q sent "$tmp/silent.out"
until_true 20 grep -q sent "$tmp/header.out"
has_closed idle && echo "idle closed too early"
has_closed header-timeout && echo "header closed too early"

# One curl keeps its connection over all its requests.
for i in $(seq 60); do
	printf 'url = "http://127.0.0.1:%s/q/"\noutput = "/dev/null"\n' "$(front 1)"
done >"$tmp/urls"
filler=$(head -c 10000 /dev/zero | tr '\0' x)
curl -s -K "$tmp/urls" --rate 10/s -H "Host: $host" -H "X-Filler: $filler" \
    -w '%{http_code}\n' >"$tmp/open" &
open=$!
pids="$pids $open"
until_true 5 has_answered
config 3 "$(limits 4096 1000 1000 1000)"
until_true 10 in_force 3
wait $open
echo "a header of 10000 bytes on an open connection, before and after:"
uniq "$tmp/open"
echo "a body of 300000 bytes: $(submit 1 300000)"
until_true 10 has_closed idle && echo "idle connections were closed"
until_true 10 has_closed header-timeout && echo "headers without end were closed"
echo "an ordinary job: $(submit 1)"
