# Guards against an invalid manifest that is accepted, and against a problem that
# is reported at the wrong path or hides the other problems.
. ./lib.subr

teams='{"name":"t1","weight":1},{"name":"t2","weight":1}'
pools='{"name":"p1","team":"t1","service":"s","data_centres":{"a":{"instances":4,"minimum":2},"b":{"instances":4,"minimum":2}}},
{"name":"p2","team":"t2","service":"s","data_centres":{"b":{"instances":4}}},
{"name":"sp","team":"t1","spare":true,"data_centres":{"a":{"instances":2},"c":{"instances":9}}}'

# refuse TITLE [TEAMS=..|POOLS=..|BUDGETS=..|LENDING=..|ROUTES=..|WAVES=..|TOP=..]
refuse()
{
	title=$1 T=$teams P=$pools B= L= R= W= X=
	shift
	for part; do
		value=${part#*=}
		case $part in
		TEAMS=*) T=$value ;;
		POOLS=*) P=$value ;;
		BUDGETS=*) B=$value ;;
		LENDING=*) L=$value ;;
		ROUTES=*) R=$value ;;
		WAVES=*) W=$value ;;
		TOP=*) X=$value ;;
		esac
	done
	printf '{"version":1,"teams":[%s],"pools":[%s],"budgets":[%s],
	    "lending":[%s],"routes":[%s],"waves":[%s]%s}' \
	    "$T" "$P" "$B" "$L" "$R" "$W" "$X" >"$work/m.json"
	echo "== $title"
	"$gwctl" manifest check "$work/m.json" 2>&1 | sed "s|$work/||"
}

refuse "nothing wrong"
refuse "unknown keys" 'TOP=,"color":1' 'TEAMS={"name":"t1","weight":1,"we ight":2},{"name":"t2","weight":1,"quota":{"gpus":1}}'
refuse "wrong types" 'TEAMS={"name":1,"weight":"1"},{"name":"t1","weight":1.5},{"name":"t2","weight":1,"quota":[]},7' \
    'ROUTES={"path_prefix":"/a","pool":"p1","class":"slow","deadline_ms":true,"idempotent":1}' \
    'WAVES={"name":"w","pools":"p1","concurrency":1,"domain_limit":1,"action":"format"},{"name":"v","pools":[1],"concurrency":1,"domain_limit":1}'
refuse "lists and objects" 'TEAMS={"name":"t1","weight":1},{"name":"t2","weight":1}' \
    'POOLS={"name":"p1","team":"t1","service":"s","data_centres":[]},{"name":"p2","team":"t1","service":"s","data_centres":{"a":7}}'
refuse "missing members" 'TEAMS={},{"name":"t1","weight":1},{"name":"t2","weight":1}' 'BUDGETS={}' 'LENDING={}' 'ROUTES={}' 'WAVES={}'
refuse "ranges" 'TEAMS={"name":"t1","weight":0},{"name":"t2","weight":1001}' \
    'LENDING={"from":"p1","to":"p2","max_instances":0,"return_after_ms":-1}'
refuse "names and texts" 'TEAMS={"name":"t1","weight":1},{"name":"t2","weight":1},{"name":"../x","weight":1},{"name":"","weight":1}' \
    'ROUTES={"host":"A.example","pool":"p1","class":"quick","deadline_ms":1},{"path_prefix":"a","pool":"p1","class":"quick","deadline_ms":1},{"path_prefix":"/a?b","pool":"p1","class":"quick","deadline_ms":1}' \
    'POOLS={"name":"p1","team":"t1","service":"s","data_centres":{"a/b":{"instances":1}}}'
refuse "repeated names" 'TEAMS={"name":"t1","weight":1},{"name":"t2","weight":1},{"name":"t1","weight":1}' \
    "POOLS=$pools,{\"name\":\"p1\",\"team\":\"t1\",\"service\":\"s\",\"data_centres\":{\"a\":{\"instances\":1}}}" \
    'WAVES={"name":"w","pools":["p1"],"concurrency":1,"domain_limit":1},{"name":"w","pools":["p2"],"concurrency":1,"domain_limit":1}'
refuse "undefined names" 'TEAMS={"name":"t1","weight":1}' \
    'BUDGETS={"team":"t3","pool":"p1","max_unavailable":1},{"team":"t1","pool":"p9","max_unavailable":1}' \
    'LENDING={"from":"p8","to":"p7","max_instances":1,"return_after_ms":1}' \
    'ROUTES={"path_prefix":"/","pool":"p9","class":"quick","deadline_ms":1}' \
    'WAVES={"name":"w","pools":["p9"],"concurrency":1,"domain_limit":1}'
refuse "pools" 'POOLS={"name":"p1","team":"t1","data_centres":{"a":{"instances":1,"minimum":2}}},{"name":"p2","team":"t1","service":"s","data_centres":{}},{"name":"sp","team":"t1","spare":true,"service":"s","data_centres":{"a":{"instances":0}}}'
refuse "budgets" 'BUDGETS={"team":"t1","pool":"p1","max_unavailable":5},{"team":"t1","pool":"p2","max_unavailable":4},{"team":"t1","pool":"p1","max_unavailable":1}'
refuse "lending" 'LENDING={"from":"sp","to":"p1","max_instances":3,"return_after_ms":1},{"from":"sp","to":"p1","max_instances":1,"return_after_ms":1},{"from":"p1","to":"p1","max_instances":1,"return_after_ms":1},{"from":"sp","to":"p2","max_instances":1,"return_after_ms":1}'
refuse "routes" 'ROUTES={"path_prefix":"/a","pool":"sp","class":"quick","deadline_ms":1},{"pool":"p1","class":"quick","deadline_ms":1},{"path_prefix":"/a","pool":"p1","class":"quick","deadline_ms":1}'
refuse "waves" 'BUDGETS={"team":"t1","pool":"p1","max_unavailable":0}' 'WAVES={"name":"w","pools":["p1","p2","p2"],"concurrency":1,"domain_limit":1},{"name":"v","pools":[],"concurrency":1,"domain_limit":1}'
refuse "duplicate keys" 'TOP=,"version":1'
refuse "version" 'TOP=' | sed -n 1p
sed 's/"version":1/"version":2/' "$work/m.json" >"$work/v.json"
run manifest check "$work/v.json"

echo "== not a manifest"
printf '{"version":1' >"$work/m.json"
run manifest check "$work/m.json"
printf '{"version":"\377"}' >"$work/m.json"
run manifest check "$work/m.json"
printf '[]' >"$work/m.json"
run manifest check "$work/m.json"
run manifest check "$work/none.json"

echo "== a section over the limit"
routes=$(awk 'BEGIN { for (i = 0; i < 9900; i++)
	printf "%s{\"host\":\"host-%d.a-long-name-of-a-service.example\"," \
	    "\"pool\":\"p1\",\"class\":\"settlement\",\"deadline_ms\":1000}",
	    i ? "," : "", i }')
printf '{"version":1,"teams":[%s],"pools":[%s],"routes":[%s]}' \
    "$teams" "$pools" "$routes" >"$work/m.json"
run manifest check "$work/m.json"
