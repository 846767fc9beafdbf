#!/bin/sh
# One odd entry beside sound ones, in each list that the processes read.
decode()
{
	echo "== $1"
	"$GW_TOP/build/${VARIANT:-release}/regress/platform/platplay"
}

# A JSON array nested this deep.
nested()
{
	awk -v n="$1" 'BEGIN {
		for (i = 0; i < n; i++) printf "["
		for (i = 0; i < n; i++) printf "]" }'
}

deep=$(nested 3000)
digits=123456789012345678901234567890

# Odd JSON values, one a line.
odd_values()
{
	printf '%s\n' "$deep" "$(nested 1900)" 1e400 -1e400 $digits \
	    9223372036854775807 -1 '"\u0000"' '"\ud800"' '{"a":{"a":1e999}}'
}

# Guards against an instance that is taken as sound although no capacity, port or
# start time is like that.
odd_values | while read -r odd; do
	echo "instance {\"service\":\"p1\",\"address\":\"10.1.0.9:8080\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":$odd,\"mem_mb\":1},\"labels\":[],\"sequence\":4}"
	echo "instance {\"service\":\"p1\",\"address\":\"10.1.0.9:8080\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":16000,\"mem_mb\":1},\"labels\":[],\"sequence\":4,\"born\":$odd}"
done | decode "registry: capacity and start time"
for port in 70000 0 -1 '' 8080x $digits; do
	echo "instance {\"service\":\"p1\",\"address\":\"10.1.0.9:$port\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":16000,\"mem_mb\":1},\"labels\":[],\"sequence\":4}"
done | decode "registry: port"

# Guards against a planner that never has the list of machines, since one row of
# it cannot be parsed.
odd_values | while read -r odd; do
	echo "machines {\"machines\":[{\"machine\":\"m-1\",\"pool\":\"p1\",\"state\":\"up\",\"capacity\":{\"cpu\":1,\"mem_mb\":1},\"id\":\"i-1\"},{\"machine\":\"m-2\",\"pool\":\"p1\",\"state\":\"up\",\"capacity\":{\"cpu\":$odd,\"mem_mb\":1},\"id\":\"i-2\"},{\"machine\":\"m-3\",\"pool\":\"p1\",\"state\":\"up\",\"capacity\":{\"cpu\":1,\"mem_mb\":1},\"id\":\"a ] \\\" }\"}],\"next_token\":\"t2\"}"
done | decode "list of machines"

# Guards against a process that follows nothing more in the store, since one item
# of a page or of a poll cannot be parsed.
odd_values | while read -r odd; do
	for kind in "range items" "poll events"; do
		set -- $kind
		echo "$1 200 {\"$2\":[{\"key\":\"a\",\"value\":\"YQ==\",\"revision\":4},{\"key\":\"b\",\"value\":$odd,\"revision\":5},{\"key\":\"c\",\"value\":\"Yw==\",\"revision\":6}],\"store_revision\":7}"
	done
done | decode "items of the store"

# Guards against a maintenance wave whose time or limit is cut to a small number.
odd_values | while read -r odd; do
	echo "wave {\"wave\":1,\"machines\":[\"m-1\"],\"duration_s\":$odd,\"max_count\":2}"
	echo "wave {\"wave\":2,\"machines\":[\"m-1\",$odd],\"duration_s\":20,\"max_count\":2}"
done | decode "maintenance waves"

# Guards against an odd row of a report that ends the process or is taken as a run.
odd_values | while read -r odd; do
	echo "report {\"clock_ms\":1,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"00bb\",41,250],[\"5c0e7a21d94b36f8.0.1.18\",$odd,\"\",0,1]],\"finished\":[]}"
	echo "report {\"clock_ms\":1,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"00bb\",$odd,250]],\"finished\":[[$odd,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}"
done | decode "reports of instances"

# Guards against a configuration that takes effect without its odd part.
odd_values | while read -r odd; do
	echo "config {\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/x/\",\"service\":\"p1\",\"timeout_ms\":$odd}],\"services\":[{\"name\":\"p1\"}],\"limits\":{}}"
done | decode "configurations"
