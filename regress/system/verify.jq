# Judges the record of a run: samples (see sampler in lib.subr), $each (gwload's
# line per request) and $runs (the final counts of every endpoint process).
# Prints one line per guarantee with the number of violations, and the first
# few of them.

# Adds a line of the record to the samples; remembers process starts.
def add($line):
	if $line.at_ms then
		.all += [.now] | .now = {at: $line.at_ms, started: []}
	elif $line.started then .now.started += [$line.started]
	else .now[$line.name] = $line.body end;

def table: .kvs[0].value // empty | @base64d | fromjson;

# The sample with the tables decoded. While the store or the platform does not
# answer, the last answer counts: the table cannot have changed.
def decoded($last):
	. as $s
	| .tables = [0, 1 | . as $i
	    | ([$s["table\($i + 1)"] // empty | table] | .[0])
	    // $last.tables[$i]]
	| .listed = (if $s.platform.instances then [$s.platform.instances[]
	    | {key: .id, value: .}] | from_entries
	    else $last.listed // {} end);

# The instances of the tables by the name of the endpoint at their port.
def by_endpoint:
	[.tables[] | select(.) | .instances[] | select(.state != "ended")
	    | {key: "w\(.port - 28500)", value: .}] | from_entries;

# An instance reboots from the platform's answer to the operation until it has
# its next incarnation.
def rebooting($listed):
	$listed != null and
	    $listed.reboots >= ($listed.incarnation | split(".") | last
	    | tonumber);

def work: [.runs | to_entries[] | select(.key != "")] | map(.value) | add // 0;

def report($what; $found):
	"\($what): \($found | length)",
	($found[:3][] | "  \(tojson)");

reduce (inputs | fromjson? // empty) as $line
    ({all: [], now: {started: []}}; add($line))
| .all[1:]
| reduce .[] as $s ([]; (.[-1] // {}) as $last | . + [$s | decoded($last)])
| map(. + {inst: by_endpoint}) as $samples
| ($each | split("\n") | map(select(. != "") | split("\t")
    | {id: .[0], pool: (.[1] | split(".")[0]), outcome: .[2], own: .[3],
	status: .[4]}))
    as $calls
| ($calls | map({key: .id, value: .pool}) | from_entries) as $pool_of
| ([$runs[].runs | to_entries[] | select(.key != "")]
    | reduce .[] as $r ({}; .[$r.key] += $r.value)) as $ran
| ["w11", "w12", "w13", "w14", "w15", "w16", "w17",
    "w21", "w22", "w23", "w24", "w25", "w26", "w27"] as $endpoints
| (if ($calls | map(select(.outcome == "answered")) | length) > 100
    then "more than 100 requests answered" else "too few answers" end),
(if ($samples | length) > 30 then "more than 30 samples"
    else "too few samples" end),
report("P5 ran more than once"; $ran | to_entries | map(select(.value > 1))),
report("P5 answered but not run"; $calls
    | map(select(.outcome == "answered" and $ran[.id] == null))),
report("P4 refused as not run but ran"; $calls
    | map(select(.outcome == "not_run" and $ran[.id] != null))),
report("P3 answer of another request"; $calls | map(select(.own == "other"))),
# 504 is the request's own deadline: it may pass while the request runs.
# While a router restarts, connections to it are refused: those did not run.
(if $uncertain == true then empty else
report("P7 connection broken"; $calls
    | map(select((.outcome == "unknown" or .outcome == "broken") and
	.status != "504")
	| select($uncertain == false or $ran[.id] != null))) end),
# One instance of a pool and data centre may be out by plan: its share is two,
# and one must be left for the loss of a failure domain.
report("P1 too many out of service"; [$samples[] | . as $s
    | ["a", "b"][] | . as $pool
    | ([$s.tables[] | select(.) | .instances[]
	| select(.pool == $pool and .state == "active")
	| select($s.listed[.id] as $l | $l == null or
	    ($l.state == "live" and (rebooting($l) | not)))] | length) as $up
    | select($home[$pool] - $up > $out_max) | {at: $s.at, $pool, $up}]),
report("P2 not in exactly one pool"; [$samples[] | . as $s
    | [.tables[] | select(.) | .instances[]] | group_by(.id)[]
    | select(length != 1 or (.[0].pool | IN("a", "b", "spare") | not))
    | {at: $s.at, id: .[0].id, pools: map(.pool)}]),
# A request that began between two samples in which the instance was active in
# one pool must be that pool's; the third sample guards the end of the second.
report("P2 ran for another pool"; [range(0; ($samples | length) - 2) as $i
    | $endpoints[] | . as $e
    | [$samples[$i, $i + 1, $i + 2].inst[$e]] as $t
    | select($t | all(.[]; . != null and .state == "active"))
    | select(($t | map([.pool, .state_version]) | unique | length) == 1)
    | select($samples[$i][$e] and $samples[$i + 1][$e])
    | ($samples[$i + 1][$e].runs | keys) - ($samples[$i][$e].runs | keys)
    | .[] | select(. != "" and $pool_of[.] != $t[0].pool)
    | {endpoint: $e, id: ., pool: $t[0].pool}]),
report("P6 new work out of service"; [range(0; ($samples | length) - 2) as $i
    | $endpoints[] | . as $e
    | [$samples[$i, $i + 1, $i + 2].inst[$e]] as $t
    | select($t | all(.[]; . != null and (.state
	| IN("drained", "free", "rebooting", "checking"))))
    | select($samples[$i][$e] and $samples[$i + 1][$e])
    | select(($samples[$i][$e] | work) < ($samples[$i + 1][$e] | work))
    | {at: $samples[$i].at, endpoint: $e, state: $t[0].state}]),
report("P6 new work 5 s after leaving"; [$endpoints[] as $e
    | foreach range(0; ($samples | length) - 2) as $i ({since: null};
	$samples[$i] as $s
	| if $s.inst[$e] == null or $s.inst[$e].state == "active" or
	    $s.inst[$e].state == "joining"
	then {since: null} else .since = (.since // $s.at)
	    | .late = ($s.at >= .since + 5000 and
		$samples[$i + 1].inst[$e].state != "active" and
		$samples[$i + 2].inst[$e].state != "active" and
		($s[$e] != null and $samples[$i + 1][$e] != null) and
		($s[$e] | work) < ($samples[$i + 1][$e] | work))
	end;
	select(.late) | {endpoint: $e, at: $samples[$i].at})]),
report("P7 rebooted with work in flight";
    [range(0; ($samples | length) - 1) as $i | $endpoints[] | . as $e
    | $samples[$i].inst[$e] as $t | $samples[$i + 1].inst[$e] as $next
    | select($t and $next and
	((rebooting($samples[$i].listed[$t.id]) and
	rebooting($samples[$i + 1].listed[$t.id])) or
	($t.state == $next.state and
	($t.state | IN("drained", "rebooting")))))
    | select($samples[$i][$e] and $samples[$i][$e].in_flight > 0)
    | {at: $samples[$i].at, endpoint: $e,
	in_flight: $samples[$i][$e].in_flight}]),
report("P8 generation fell"; [("fleet", "router") as $kind
    | ("11", "12", "21", "22") as $n | "\($kind)\($n)" as $name
    | foreach $samples[] as $s ({high: 0, fell: false};
	(if $kind == "fleet" then $s[$name].generation else $s[$name] end)
	    as $now
	| if ($s.started | index($name)) then .high = 0 else . end
	| .fell = ($now != null and $now < .high)
	| .high = ([.high, $now // 0] | max);
	select(.fell) | {process: $name, at: $s.at})])
