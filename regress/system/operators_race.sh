# Guards against two manifests that are in force at once, a generation that
# decreases, and requests that are lost or run twice. Two operators apply
# conflicting manifests while the gwfleetd of one data centre are disconnected
# from the store.
. ./lib.subr
start relay gwrelay --listen=127.0.0.1:28600 --to=$store \
    --control=127.0.0.1:28601
relay_store=127.0.0.1:28600
start_system
start_load 16000 15
curl -s -d '' http://127.0.0.1:28601/silent
one=$(write_manifest '.routes[0].deadline_ms = 3000')
cp "$one" "$tmp/one.json"
two=$(write_manifest '.routes[0].deadline_ms = 3500')
apply_manifest "$tmp/one.json" --expect-generation=1 &
pid_one=$!
apply_manifest "$two" --expect-generation=1
rc_two=$?
wait $pid_one
rc_one=$?
[ $((rc_one == 0)) -ne $((rc_two == 0)) ] &&
    echo "one manifest is applied, the other is refused"
generation_is()
{
	for n in "${1}1" "${1}2"; do
		curl -s -m 1 "http://127.0.0.1:284$n/metrics" |
		    grep -q "^gw_router_generation $2\$" || return 1
	done
}
wait_for "generation 2 is in force in dc1" 12 generation_is 1 2
sleep 7
generation_is 2 1 && echo "dc2 serves with generation 1"
curl -s -d '' http://127.0.0.1:28601/heal
wait_for "generation 2 is in force in dc2" 12 generation_is 2 2
verify_run 2 false
