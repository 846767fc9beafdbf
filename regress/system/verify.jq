# Checks a run of a system test. Input: the samples (see run_sampler in
# lib.subr), $each (gwload's line per request) and $runs (the final counts of
# every endpoint process). Prints one line per guarantee with the number of
# violations, then the first three violations.

# Adds a line of the input to the samples. A sample also names the processes
# whose start the input reports between it and the next sample.
def add_line($line):
	if $line.at_ms then
		.all += [.current] | .current = {at: $line.at_ms, started: []}
	elif $line.started then .current.started += [$line.started]
	else .current[$line.name] = $line.body end;

def decode_table: .kvs[0].value // empty | @base64d | fromjson;

# Decodes the tables of a sample. While the store or the platform does not
# respond, its last response is used: the table cannot have changed.
def decode($last):
	. as $s
	| .tables = [0, 1 | . as $i
	    | ([$s["table\($i + 1)"] // empty | decode_table] | .[0])
	    // $last.tables[$i]]
	| .listed = (if $s.platform.instances then [$s.platform.instances[]
	    | {key: .id, value: .}] | from_entries
	    else $last.listed // {} end);

# The instances of the tables, by the name of the endpoint at their port.
def instances_by_endpoint:
	[.tables[] | select(.) | .instances[] | select(.state != "ended")
	    | {key: "w\(.port - 28500)", value: .}] | from_entries;

# Whether an instance of the platform's list is rebooting: from the response to
# the reboot operation until the instance has its next incarnation.
def is_rebooting($listed):
	$listed != null and
	    $listed.reboots >= ($listed.incarnation | split(".") | last
	    | tonumber);

# Number of runs of an endpoint that have begun.
def count_runs:
	[.runs | to_entries[] | select(.key != "")] | map(.value) | add // 0;

def report($what; $found):
	"\($what): \($found | length)",
	($found[:3][] | "  \(tojson)");

reduce (inputs | fromjson? // empty) as $line
    ({all: [], current: {started: []}}; add_line($line))
| .all[1:]
| reduce .[] as $s ([]; (.[-1] // {}) as $last | . + [$s | decode($last)])
| map(. + {instances: instances_by_endpoint}) as $samples
| ($each | split("\n") | map(select(. != "") | split("\t")
    | {id: .[0], pool: (.[1] | split(".")[0]), outcome: .[2], own: .[3],
	status: .[4]}))
    as $requests
| ($requests | map({key: .id, value: .pool}) | from_entries) as $pool_of
| ([$runs[].runs | to_entries[] | select(.key != "")]
    | reduce .[] as $r ({}; .[$r.key] += $r.value)) as $ran
| ["w11", "w12", "w13", "w14", "w15", "w16", "w17",
    "w21", "w22", "w23", "w24", "w25", "w26", "w27"] as $endpoints
| (if ($requests | map(select(.outcome == "answered")) | length) > 100
    then "more than 100 requests answered"
    else "too few requests answered" end),
(if ($samples | length) > 30 then "more than 30 samples"
    else "too few samples" end),
report("P5 ran more than once"; $ran | to_entries | map(select(.value > 1))),
report("P5 answered but not run"; $requests
    | map(select(.outcome == "answered" and $ran[.id] == null))),
report("P4 reported as not run but ran"; $requests
    | map(select(.outcome == "not_run" and $ran[.id] != null))),
report("P3 response of another request"; $requests
    | map(select(.own == "other"))),
# A request with status 504 has passed its own deadline, which may happen while
# it runs. While a router restarts, connections to it are refused: those
# requests did not run.
(if $uncertain == true then empty else
report("P7 connection broken"; $requests
    | map(select((.outcome == "unknown" or .outcome == "broken") and
	.status != "504")
	| select($uncertain == false or $ran[.id] != null))) end),
# In each data centre, one instance of a pool may be out of service by plan: its
# part of the budget is two, of which one is reserved for the loss of a failure
# domain.
report("P1 too many out of service"; [$samples[] | . as $s
    | ["a", "b"][] | . as $pool
    | ([$s.tables[] | select(.) | .instances[]
	| select(.pool == $pool and .state == "active")
	| select($s.listed[.id] as $l | $l == null or
	    ($l.state == "live" and (is_rebooting($l) | not)))] | length) as $up
    | select($home[$pool] - $up > $out_max) | {at: $s.at, $pool, $up}]),
report("P2 not in exactly one pool"; [$samples[] | . as $s
    | [.tables[] | select(.) | .instances[]] | group_by(.id)[]
    | select(length != 1 or (.[0].pool | IN("a", "b", "spare") | not))
    | {at: $s.at, id: .[0].id, pools: map(.pool)}]),
# A request that began between two samples, in which the instance was active in
# the same pool, must be one of that pool. A sample reads the tables before the
# endpoints, so a third sample must show that the instance was still in the pool
# when the second one read the endpoint.
report("P2 ran for another pool"; [range(0; ($samples | length) - 2) as $i
    | $endpoints[] | . as $e
    | [$samples[$i, $i + 1, $i + 2].instances[$e]] as $t
    | select($t | all(.[]; . != null and .state == "active"))
    | select(($t | map([.pool, .state_version]) | unique | length) == 1)
    | select($samples[$i][$e] and $samples[$i + 1][$e])
    | ($samples[$i + 1][$e].runs | keys) - ($samples[$i][$e].runs | keys)
    | .[] | select(. != "" and $pool_of[.] != $t[0].pool)
    | {endpoint: $e, id: ., pool: $t[0].pool}]),
report("P6 request started out of service";
    [range(0; ($samples | length) - 2) as $i
    | $endpoints[] | . as $e
    | [$samples[$i, $i + 1, $i + 2].instances[$e]] as $t
    | select($t | all(.[]; . != null and (.state
	| IN("drained", "free", "rebooting", "checking"))))
    | select($samples[$i][$e] and $samples[$i + 1][$e])
    | select(($samples[$i][$e] | count_runs)
	< ($samples[$i + 1][$e] | count_runs))
    | {at: $samples[$i].at, endpoint: $e, state: $t[0].state}]),
report("P6 request started 5 s after leaving"; [$endpoints[] as $e
    | foreach range(0; ($samples | length) - 2) as $i ({since: null};
	$samples[$i] as $s
	| if $s.instances[$e] == null or $s.instances[$e].state == "active" or
	    $s.instances[$e].state == "joining"
	then {since: null} else .since = (.since // $s.at)
	    | .started_late = ($s.at >= .since + 5000 and
		$samples[$i + 1].instances[$e].state != "active" and
		$samples[$i + 2].instances[$e].state != "active" and
		($s[$e] != null and $samples[$i + 1][$e] != null) and
		($s[$e] | count_runs) < ($samples[$i + 1][$e] | count_runs))
	end;
	select(.started_late) | {endpoint: $e, at: $samples[$i].at})]),
report("P7 rebooted with requests in flight";
    [range(0; ($samples | length) - 1) as $i | $endpoints[] | . as $e
    | $samples[$i].instances[$e] as $t | $samples[$i + 1].instances[$e] as $next
    | select($t and $next and
	((is_rebooting($samples[$i].listed[$t.id]) and
	is_rebooting($samples[$i + 1].listed[$t.id])) or
	($t.state == $next.state and
	($t.state | IN("drained", "rebooting")))))
    | select($samples[$i][$e] and $samples[$i][$e].in_flight > 0)
    | {at: $samples[$i].at, endpoint: $e,
	in_flight: $samples[$i][$e].in_flight}]),
report("P8 generation decreased"; [("fleet", "router") as $kind
    | ("11", "12", "21", "22") as $n | "\($kind)\($n)" as $name
    | foreach $samples[] as $s ({highest: 0, decreased: false};
	(if $kind == "fleet" then $s[$name].generation else $s[$name] end)
	    as $now
	| if ($s.started | index($name)) then .highest = 0 else . end
	| .decreased = ($now != null and $now < .highest)
	| .highest = ([.highest, $now // 0] | max);
	select(.decreased) | {process: $name, at: $s.at})])
