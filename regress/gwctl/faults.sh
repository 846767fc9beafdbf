# Guards against a crash, a false success or a wrong exit status when the store
# is down, hangs, loses responses or sends malformed ones.
. ./lib.subr
example="$GW_TOP/examples/birlik.json"
start_store

fault '{"down":"refuse"}'
run manifest apply "$example"
run manifest show
fault '{"down":"hang"}'
run manifest show --timeout-ms 200
fault '{"down":"no","lose_answers":4}'
run manifest apply "$example"
fault '{"stale_reads":1}'
run manifest apply "$example"
for answer in '' '[' '{}' '{"header":{"revision":"9"},"kvs":7}' \
    '{"header":{"revision":"9"},"header":{"revision":"9"}}' \
    '{"header":{"revision":"9"},"kvs":[{"key":"L2d3L21hbmlmZXN0L3Jvb3Q=","mod_revision":"3","value":"e30="}]}'; do
	fault "{\"raw_answer\":\"$(printf %s "$answer" | sed 's/"/\\"/g')\"}"
	run manifest show
done
fault '{"raw_answer":null}'
run status --admin "$store"
fault '{"down":"refuse"}'
run status --admin "$store"
fault '{"down":"no"}'
"$GW_BIN/gwendpoint" --listen 127.0.0.1:0 >"$work/endpoint.log" 2>&1 &
endpoint_pid=$! tries=0
trap 'kill $endpoint_pid 2>/dev/null; stop_store; rm -rf "$work"' EXIT
until [ -s "$work/endpoint.log" ]; do
	tries=$((tries + 1))
	[ $tries -lt 100 ] || break
	sleep 0.1
done
endpoint=$(grep -o '127[.]0[.]0[.]1:[0-9]*' "$work/endpoint.log" | sed -n 1p)
run status --admin "$endpoint"
put /gw/manifest/root '{"generation":5}'
run manifest apply "$example"
stop_store
run manifest history
run status --admin 127.0.0.1:1
