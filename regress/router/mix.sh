# Guards against responses to the wrong caller and requests that run twice, when
# endpoints under load answer twice, reset connections or refuse requests.
base=21200
. ./lib.in
start --service-us 1000
"$GW_BIN/gwload" --target $router --routes logs.example --concurrency 24 \
    --requests 3000 --duration-ms 20000 --id-prefix mix --json >"$dir/load" &
load_pid=$!
for fault in twice reset reset-before refuse; do
	sleep 0.1
	for port in $endpoints; do
		control 127.0.0.1:$port /fault/$fault/5
	done
done
wait $load_pid
echo "mismatched $(field "$dir/load" mismatched)"
echo "broken $(field "$dir/load" broken)"
for port in $endpoints; do
	"$build/regress/router/httpget" 127.0.0.1:$port /runs
done | tr ',{' '\n\n' | grep '^"mix-' | sed 's/}.*//' | sort >"$dir/runs"
echo "runs more than one: $(grep -vc ':1$' "$dir/runs")"
echo "ids at two endpoints: $(cut -d: -f1 "$dir/runs" | uniq -d | wc -l)"
answered=$(field "$dir/load" answered)
unknown=$(field "$dir/load" unknown)
ran=$(wc -l <"$dir/runs")
[ "$ran" -ge "$answered" ] && echo "all answered ones ran"
[ "$ran" -le $((answered + unknown)) ] && echo "no refused one ran"
# 5 of each of twice, reset and reset-before at 2 endpoints.
[ "$unknown" -ge 1 ] && [ "$unknown" -le 30 ] && echo "unknown only by faults"
