#!/bin/sh
# Guards against a caller that is served without a key of a team, by one that was
# withdrawn, or by another team's: on a new connection, on an open one, and while
# the request is on its way to the owner.
. ./lib.subr

# config VERSION [KEYS_OF_A]: the queue q1 needs a key, the queue open needs none.
config()
{
	put op/config "{\"version\":$1,\"routes\":[{\"name\":\"q1\",\"host\":\"$host\",\"prefix\":\"/q/\",\"service\":\"p1\",\"target_latency_ms\":600,\"stretch\":1.6},{\"name\":\"open\",\"host\":\"$host\",\"prefix\":\"/open/\",\"service\":\"p1\",\"public\":true}],\"services\":[{\"name\":\"p1\",\"enforces_capacity\":true}],\"limits\":{},\"tenants\":[{\"name\":\"team-a\",\"weight\":5,\"api_keys\":[${2:-\"secret-a1\",\"secret-a2\"}]},{\"name\":\"team-b\",\"weight\":5,\"api_keys\":[\"secret-b1\"]}]}"
}

# ask METHOD ENTRY PATH KEY [BODY]: prints the status and the error, if any.
ask()
{
	curl -s -m 3 -w ' %{http_code}' -X "$1" -H "Host: $host" \
	    ${4:+-H "X-Api-Key: $4"} ${5:+-d "$5"} \
	    "http://127.0.0.1:$((28510 + $2))$3" |
	    sed 's/.*"error":"\([^"]*\)".*} /\1 /; s/^{} //'
	echo
}

job='{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":150}]}'
is_accepted()
{
	[ "$(ask POST "$1" "/open/$2" "" "$job")" = 200 ]
}

in_force()
{
	for n in 1 2 3; do
		curl -s -m 1 "http://127.0.0.1:$((28520 + n))/metrics" |
		    grep -q "^gw_entry_config_version $1\$" || return 1
	done
}

work_ms=100
start_all 3
echo "no key: $(ask POST 1 "/q/$(job_id 1)" "" "$job")"
echo "an unknown key: $(ask POST 1 "/q/$(job_id 1)" nonsense "$job")"
echo "a key of team-a: $(ask POST 1 "/q/$(job_id 1)" secret-a1 "$job")"
echo "its other key, at another process: $(ask DELETE 2 "/q/$(job_id 1)" secret-a2)"
echo "the count without a key: $(ask GET 2 /q/ "")"
echo "the count with a key: $(ask GET 2 /q/ secret-b1)"
echo "another team's key: $(ask GET 3 "/q/$(job_id 1)" secret-b1), $(ask DELETE 3 "/q/$(job_id 1)" secret-b1), $(ask POST 3 "/q/$(job_id 1)" secret-b1 "$job")"
echo "a public queue: $(ask POST 3 "/open/$(job_id 2)" "" "$job")"

# One curl keeps its connection over all its requests.
echo "on an open connection, a withdrawn key:"
for i in $(seq 60); do
	printf 'url = "http://127.0.0.1:28511/q/"\noutput = "/dev/null"\n'
done >"$tmp/urls"
curl -s -K "$tmp/urls" --rate 10/s -H "Host: $host" -H "X-Api-Key: secret-a1" \
    -w '%{http_code} %{num_connects}\n' >"$tmp/open" &
open=$!
pids="$pids $open"
sleep 1
config 2 '"secret-a2"'
until_true 5 in_force 2
wait $open
awk '{print $1} {n += $2} END {print "connections " n}' "$tmp/open" | uniq

echo "a submission on its way to a frozen owner:"
owner=$(owner)
a=$((owner % 3 + 1))
eval "frozen=\$pid_entry$owner"
kill -STOP "$frozen"
ask POST $a "/q/$(job_id 3)" secret-a2 "$job" >"$tmp/late" &
late=$!
sleep 0.4
config 3 '"secret-a3"'
sleep 0.6
kill -CONT "$frozen"
wait $late
case $(cat "$tmp/late") in
*" 503" | *" 504") echo "not accepted" ;;
*) cat "$tmp/late" ;;
esac
until_true 5 in_force 3
until_true 10 is_accepted $a "$(job_id 4)"
echo "by the new key: $(ask GET $a "/q/$(job_id 3)" secret-a3)"
echo "by the old one: $(ask GET $a "/q/$(job_id 3)" secret-a2)"
grep -l secret "$tmp"/*.out "$tmp"/*.log
doubles | jq -c '{doubles}'
