# Shared by the scripts of this review. Starts a store, three entry processes with
# the command of the deploy file, and workers as one process each, all on
# 127.0.0.1. A script sets here (its own folder) before it reads this file.
root=$(cd "$here/../.." && pwd)
bin=$root/target/release/bin
call=$root/target/review-3/call
record=$here/record.txt
trouble=${TROUBLE:-1}
tmp=$(mktemp -d)
pids=
host=jobs.example

cleanup()
{
	for pid in $pids; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$tmp"
}
trap cleanup EXIT
trap 'exit 2' INT TERM HUP

# note TEXT...: writes a line with the time since the start into the record.
note()
{
	now=$(date +%s%3N)
	printf '%6d ms  %s\n' $((now - started_ms)) "$*" >>"$record"
}

cannot_run()
{
	note "could not run: $*"
	echo "could not run: $*"
	exit 2
}

# Finds 100 free ports in a row.
find_ports()
{
	base=$((20000 + $$ % 79 * 100))
	for try in 1 2 3 4 5 6 7 8 9 10; do
		taken=
		for port in $(awk 'NR > 1 { print substr($2, index($2, ":") + 1) }' \
		    /proc/net/tcp); do
			port=$(printf '%d' "0x$port")
			[ "$port" -ge $base ] && [ "$port" -lt $((base + 100)) ] &&
			    taken=1
		done
		[ -z "$taken" ] && return 0
		base=$((20000 + (base - 20000 + 100) % 7900))
	done
	return 1
}

# run NAME PROGRAM ARG...: starts a program; sets pid_NAME.
run()
{
	name=$1 program=$2
	shift 2
	"$bin/$program" "$@" >>"$tmp/$name.out" 2>>"$tmp/$name.log" &
	eval "pid_$name=$!"
	pids="$pids $!"
}

# until_true SECONDS COMMAND...: waits until the command succeeds, at most so long.
until_true()
{
	end_ms=$(($(date +%s%3N) + $1 * 1000))
	shift
	while ! "$@"; do
		[ "$(date +%s%3N)" -lt $end_ms ] || return 1
		sleep 0.05
	done
}

# put KEY VALUE: writes a key of the store.
put()
{
	$call POST $store_port /kv-txn store "{\"precondition\":[],\"writes\":[{\"key\":\"$1\",\"value\":\"$(printf '%s' "$2" | base64 -w0)\"}],\"remove\":[]}" >/dev/null
}

store_is_up()
{
	case $($call GET $store_port /stats store) in 200*) return 0 ;; esac
	return 1
}

is_ready()
{
	case $($call GET $((base + 20 + $1)) /ready entry) in 200*) return 0 ;; esac
	return 1
}

# start_entry NUMBER: settings like those of DEPLOY.md.
start_entry()
{
	cat >"$tmp/settings$1" <<EOT
{"node":"e$1","zone":"dc-a","ip":"127.0.0.1",
 "listen":{"front":"127.0.0.1:$((base + 10 + $1))","ready":"127.0.0.1:$((base + 20 + $1))"},
 "internal_ports":[$((base + 30 + $1)),$((base + 30 + $1))],
 "heartbeat_ms":1500,
 "cloud":{"address":"127.0.0.1:$((base + 40))","rate_per_s":64.0,"duty_per_s":64.0},
 "platform":{"address":"127.0.0.1:$store_port","ttl_min_ms":1000,"value_bytes":1048576},
 "bounds":{"contact_ms":3000,"grace_s":6,"hold_max_ms":6000,"stop_grace_ms":900,"cancel_ms":3000,"visible_ms":3000,"finish_s":14,"status_s":120,"notice_ms":4500,"lease_ms":3000},
 "limits":{"cpu_share":0.25,"link_mbps":1000,"max_fds":1000}}
EOT
	GODWITLINE_SETTINGS=$tmp/settings$1
	export GODWITLINE_SETTINGS
	run "entry$1" gwentryd
}

# start_workers COUNT: the workers, each on a port of its own.
start_workers()
{
	run workers gwworkerd --workers="$1" --store=127.0.0.1:$store_port \
	    --listen=127.0.0.1:$((base + 41)) --control=127.0.0.1:$((base + 40)) \
	    --work-ms=200 --machine-ms=1500 --cpu-millis=16000
}

# start_all WORKERS: starts the system; the queue q1 allows three failed ends.
start_all()
{
	: >"$record"
	started_ms=$(date +%s%3N)
	[ -x "$bin/gwentryd" ] && [ -x "$bin/gwworkerd" ] && [ -x "$call" ] ||
	    cannot_run "programs are missing; build first"
	find_ports || cannot_run "no free ports"
	store_port=$base
	worker_count=$1
	run store gwstored --listen=127.0.0.1:$store_port
	until_true 5 store_is_up || cannot_run "the store does not start"
	put op/config "{\"version\":1,\"routes\":[{\"name\":\"q1\",\"host\":\"$host\",\"prefix\":\"/q/\",\"service\":\"p1\",\"max_attempts\":3,\"target_latency_ms\":600,\"stretch\":1.6}],\"services\":[{\"name\":\"p1\",\"enforces_capacity\":true}],\"limits\":{}}"
	start_workers "$1"
	for n in 1 2 3; do
		start_entry $n
	done
	for n in 1 2 3; do
		until_true 15 is_ready $n || cannot_run "entry $n is not ready"
	done
}

# submit ENTRY ID BODY: prints the response.
submit()
{
	$call POST $((base + 10 + $1)) "/q/$2" $host "$3"
}

# state ENTRY ID: prints the response to a request for the job's state.
state()
{
	$call GET $((base + 10 + $1)) "/q/$2" $host
}

# workers METHOD PATH [BODY]: prints the response of the workers' control address.
workers()
{
	$call "$1" $((base + 40)) "$2" workers "${3:-}"
}

# stat NAME: prints a count of the workers.
stat()
{
	workers GET /stats | sed "s/.*\"$1\":\([0-9]*\).*/\1/"
}
