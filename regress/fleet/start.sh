# Guards against a data centre that does not start serving, a manifest that does
# not reach every gwfleetd, a planner that is not replaced after SIGTERM, and an
# exit status other than 0 on SIGTERM.
BASE=22100
. ./lib.subr

same_planner()
{
	first=$(status 1 .planner)
	[ -n "$first" ] && [ "$first" = "$(status 2 .planner)" ]
}

start_store
start_platform
start_fleet 1
start_fleet 2
wait_for "both name the same planner" 5 same_planner
planner=$(status 1 .planner | tr -d e)
other=$((3 - planner))
[ "$(curl -s -o /dev/null -w '%{http_code}' \
    http://127.0.0.1:$((BASE + 20 + planner))/readyz)" = 503 ] &&
    echo "not ready without a manifest"
apply manifest.json --wait && echo "the manifest is applied and in force"
wait_for "four instances are active" 5 \
    table_is "$planner" '.state == "active"' 4
wait_for "the follower has the table" 5 table_is "$other" '.state == "active"' 4
wait_for "the follower has the generation" 5 is "$other" .generation 1
wait_for "the follower is ready" 5 curl -sf "http://127.0.0.1:$((BASE + 20 + other))/readyz"
admin "$planner" /metrics | grep -q '^gwfleetd_planner 1$' &&
    echo "metrics name the planner"
control_platform '{"do":"replace","id":"i1"}'
wait_for "a replacement has the address" 10 \
    table_is "$planner" '.id == "i1-r1" and .state == "active"' 1
admin "$planner" '/v1/explain?instance=i1-r1' |
    jq -r '.decisions[0] | .what + ": " + .reason'
eval "pid=\$pid_fleet$planner"
kill "$pid"
wait "$pid" && echo "SIGTERM: exit 0"
wait_for "the other gwfleetd is the planner" 5 is "$other" .is_planner true
wait_for "its table lists the instances" 5 \
    table_is "$other" '.state == "active"' 4
