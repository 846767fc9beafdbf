# Guards against a table, a generation or a reboot that is lost or done twice.
# The store writes but loses its responses, and then is down for 10 s, during a
# wave and a manifest change.
. ./lib.subr
start_system
start_load 17000 13
start_wave 1 && echo "a wave is started"
control_store '{"lose_answers":2}'
wait_for "an instance is leaving for the wave" 5 \
    table_has 1 1 '.state == "leaving"'
apply_manifest "$(write_manifest '.routes[0].deadline_ms = 3000')" &&
    echo "a manifest is applied"
control_store '{"down":"refuse"}'
sleep 10
control_store '{"down":"no"}'
in_force()
{
	for n in 11 12 21 22; do
		curl -s -m 1 "http://127.0.0.1:284$n/metrics" |
		    grep -q '^gw_router_generation 2$' || return 1
	done
}
wait_for "generation 2 is in force in all routers" 12 in_force
wait_for "the wave continues" 8 reboots_begun 1 2
verify_run 2 false
