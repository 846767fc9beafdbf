# Guards against a wave that reboots an instance twice, not at all, or while
# requests run on it. Runs real routers, endpoints and availability budgets, and
# kills the planner during the wave.
BASE=22400
. ./lib.subr

total()
{
	curl -sS -m 5 "http://$platform/v1/instances" |
	    jq '[.instances[].reboots] | add'
}

at_least()
{
	[ "$(total)" -ge "$1" ]
}

wave_ended()
{
	admin "$1" /v1/waves |
	    jq -e '.waves[0] | .started == false and (.done | length) == 6'
}

send_requests()
{
	i=0
	while [ ! -e "$tmp/stop" ] && [ $i -lt 2000 ]; do
		i=$((i + 1))
		curl -s -m 5 -o /dev/null -w '%{http_code}\n' -d x \
		    "http://127.0.0.1:$((BASE + 31 + i % 2))/" >>"$tmp/codes"
		sleep 0.02
	done
}

start_store
for i in 1 2 3 4 5 6; do
	start "endpoint$i" gwendpoint --listen="127.0.0.1:$((BASE + 50 + i))" \
	    >"$tmp/endpoint$i.out"
	echo "{\"id\":\"i$i\",\"port\":$((BASE + 50 + i)),\"failure_domain\":\"rack$i\"}" \
	    >>"$tmp/list"
done
jq -s . "$tmp/list" >"$tmp/instances.json"
start platform gwplatformd --listen=$platform \
    --instances="$tmp/instances.json" --reboot-ms=200
start_fleet 1
start_fleet 2
for i in 1 2; do
	start "router$i" gwrouted --node-id=e$i --data-centre=dc1 \
	    --listen="127.0.0.1:$((BASE + 30 + i))" \
	    --admin="127.0.0.1:$((BASE + 40 + i))" \
	    --fleet="127.0.0.1:$((BASE + 11)),127.0.0.1:$((BASE + 12))"
done
jq '.pools = [.pools[0]] | .pools[0].data_centres.dc1 =
    {instances: 6, minimum: 2} | .budgets[0].max_unavailable = 3 |
    .waves[0].concurrency = 2' manifest.json >"$tmp/manifest.json"
wait_for "a planner is elected" 5 sh -c "curl -s 127.0.0.1:$((BASE + 21))/v1/status \
    127.0.0.1:$((BASE + 22))/v1/status | grep -q '\"is_planner\":true'"
apply "$tmp/manifest.json" --wait && echo "the manifest is in force"
if [ "$(status 1 .is_planner)" = true ]; then old=1 new=2; else old=2 new=1; fi
wait_for "six instances are active" 5 table_is $old '.state == "active"' 6
# In production a load balancer checks /readyz before it sends callers to a
# router. A router that the table did not list yet when the generation came into
# force refuses requests, with the outcome "not run".
wait_for "both routers are ready" 5 curl -sf --fail-early \
    "http://127.0.0.1:$((BASE + 41))/readyz" "http://127.0.0.1:$((BASE + 42))/readyz"
send_requests &
pids="$pids $!"
"$GW_BIN/gwctl" --admin="127.0.0.1:$((BASE + 20 + old))" waves start w \
    >/dev/null && echo "the wave is started"
wait_for "two instances have rebooted" 15 at_least 2
eval "kill -KILL \$pid_fleet$old"
wait_for "the other gwfleetd is the planner" 15 is $new .is_planner true
wait_for "the wave is finished" 40 wave_ended $new
wait_for "six instances are active" 5 table_is $new '.state == "active"' 6
echo "reboots: $(total)"
touch "$tmp/stop"
echo "responses other than 200: $(grep -vc '^200$' "$tmp/codes")"
sort "$tmp/codes" | uniq -c >&2
# grep fails when there is no refusal, which is the expected case.
grep -h ' REFUSE ' "$tmp"/router*.log >&2 || :
