# Guards against state commands that contradict gwfleetd's admin port or hide a
# refused request, and against --wait missing the generation put in force.
. ./lib.subr
start_store
sed 's/"bb-[23]": [^}]*}, //g; s/, "bb-[23]": [^}]*}//g; s/"max_unavailable": [0-9]*/"max_unavailable": 1/; s/"max_instances": [0-9]*/"max_instances": 1/' \
    "$GW_TOP/examples/birlik.json" >"$work/one.json"
for n in 0 1 2 3 4 5 6 7; do
	printf '%s{"id":"w%d","incarnation":1,"address":"127.0.0.1","port":2399%d,
	    "data_centre":"bb-1","failure_domain":"r%d","kind":"worker",
	    "state":"live","capacity":{"cpu_millis":32000,
	    "memory_mib":131072,"accelerators":0}}' \
	    "$([ $n = 0 ] && echo '[' || echo ',')" $n $n $((n / 4))
done >"$work/instances.json"
echo ']' >>"$work/instances.json"
"$GW_BIN/gwplatformd" --listen 127.0.0.1:0 \
    --instances "$work/instances.json" 2>"$work/platform.log" &
platform_pid=$!
platform=$(address_of "$work/platform.log")
"$GW_BIN/gwfleetd" --admin 127.0.0.1:0 --listen 127.0.0.1:0 \
    --data-centre bb-1 --node-id e1 --platform "$platform" \
    --store "$store" --peers "" 2>"$work/fleet.log" &
fleet_pid=$!
trap 'kill $fleet_pid $platform_pid 2>/dev/null; stop_store; rm -rf "$work"' EXIT
GW_ADMIN=$(address_of "$work/fleet.log")
export GW_ADMIN
run manifest apply "$work/one.json" --wait --wait-timeout-s 30
"$gwctl" status | awk '$1 == "generation_in_force" || $1 == "data_centre"'
"$gwctl" status --json | grep '"generation_in_force"' | tr -d ' ,'
"$gwctl" pools | awk 'NR > 4 { print $1, $2, $3 }'
run waves start weekly
run waves halt weekly
run waves start nope
run explain pool
run explain instance=nope
