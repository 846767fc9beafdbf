# Guards against a graceful shutdown under load that loses or breaks requests.
# Every request that ran must be answered, none may be unknown, and the planner
# must get a Goodbye.
base=21100
. ./lib.in
start --service-us 20000
"$GW_BIN/gwload" --target $router --routes logs.example --rate 300 --seed 7 \
    --duration-ms 1500 --json >"$dir/load" &
load_pid=$!
sleep 0.7
kill -TERM $router_pid
wait $router_pid
echo "exit status $?"
wait $load_pid
echo "unknown $(field "$dir/load" unknown)"
echo "not run $(field "$dir/load" not_run)"
echo "run but not answered $(($(runs started) - $(field "$dir/load" answered)))"
[ "$(field "$dir/load" answered)" -gt 100 ] && echo "more than 100 answered"
wait_for goodbye "$dir/fleet" && echo "goodbye"
grep -c "2201 DRAINED requests=0 " "$dir/router.log"
