# Guards against a manifest that is read back differently from how it was
# applied, a wrong generation number, and wrong exit statuses.
. ./lib.subr
examples="$GW_TOP/examples"
start_store
run manifest show
run manifest history
run manifest apply "$examples/coldtrace.json" --expect-generation 1
run manifest apply "$examples/coldtrace.json" --expect-generation 0
run manifest apply "$examples/coldtrace.json"
sed 's/"max_instances": 2, "return_after_ms": 60000/"max_instances": 1, "return_after_ms": 60000/; /"path_prefix": "\/weighing"/d' \
    "$examples/coldtrace.json" >"$work/next.json"
run manifest diff "$work/next.json"
run manifest diff "$work/next.json" --json
run manifest apply "$work/next.json" --expect-generation 1 --json
run manifest diff "$work/next.json"
run manifest history
run manifest show
"$gwctl" manifest show --json >"$work/shown.json"
run manifest check "$work/shown.json"
run manifest apply "$work/shown.json" --by someone
run manifest apply "$examples/large.json" --by "a pipeline"
"$gwctl" manifest show --json >"$work/shown.json"
run manifest apply "$work/shown.json"
"$http_call" "$store" /stats | grep -o '"/v3/kv/txn":[0-9]*'
