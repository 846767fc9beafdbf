#!/bin/sh
# Runs the decoders of the platform's documents on valid and malformed input.
decode()
{
	echo "== $1"
	"$GW_TOP/build/${VARIANT:-release}/regress/platform/platplay"
}

# Guards against routing to a malformed entry, such as one that was not written
# by an instance, and against one malformed entry hiding the others.
decode "registry entries" <<'EOT'
instance {"service":"p1","address":"10.1.0.9:8080","zone":"z-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"born":1789748725030,"machine":"m-1"}
instance {"service":"p1","address":"10.1.0.9:8080","zone":"z-a","version":"v1","slots":8,"state":"draining","remaining_ms":2500,"cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768},"labels":[],"sequence":4.0,"new_field":{}}
instance {"service":"p1","address":"10.1.0.9:8080","zone":"z-a","version":"v1","slots":8,"state":"resting","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768},"labels":[],"sequence":4}
instance {"service":7,"address":"10.1.0.9:8080","zone":"z-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768},"labels":[],"sequence":4}
instance {"service":"p1","address":"10.1.0.9","zone":"z-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768},"labels":[],"sequence":4}
instance {"service":"p1","address":"10.1.0.9:8080","zone":"z-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":"big","labels":[],"sequence":4}
instance {"service":"p1","address":"10.1.0.9:8080","zone":"z-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768},"labels":[3],"sequence":4}
instance {"service":"p1","address":"10.1.0.9:8080","zone":"z-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768},"labels":[]}
instance {"service":"p1","addr
instance []
EOT

# Guards against a configuration taking effect in part when one of its routes is
# malformed.
decode "configurations" <<'EOT'
config {"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/x/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":2500,"priority":0,"service":"p1","max_attempts":2,"stretch":2.2},{"name":"r2","host":"a.example","prefix":"/y/","service":"p1","target_latency_ms":600,"max_attempts":3,"stretch":1.6,"advice":{"decide_ms":10,"per_item_ms":2,"valid_ms":3000}}],"services":[{"name":"p1","enforces_capacity":true,"standby":false},{"name":"p2","standby":true}],"limits":{"max_body_bytes":1000,"max_header_bytes":2000,"header_timeout_ms":300,"idle_timeout_ms":400}}
config {"version":8,"routes":[{"name":"r1"}],"services":[]}
config {"version":-1,"routes":[],"services":[]}
config {"version":9,"routes":[],"services":[]}
EOT

# Guards against one malformed team that ends the service of all, and against a
# key that two teams have.
decode "teams" <<'EOT'
config {"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/x/","service":"p1","public":true}],"services":[],"tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"weight":2.5,"max_count":{"cpu":8000,"mem_mb":100,"gpu":0}},{"name":"t2","api_keys":["k2","k3",7,""]},{"name":"t1","api_keys":["k4"]},{"name":"t3","weight":-1,"api_keys":["k5"]},{"name":"t4","max_count":{"cpu":-5}},7,{"api_keys":["k6"]},{"name":"t5","weight":0}]}
config {"version":8,"routes":[],"services":[],"tenants":[]}
config {"version":9,"routes":[],"services":[],"tenants":{}}
EOT

# Guards against a job being accepted although a member has the wrong type or an
# impossible value, so that it would run otherwise than submitted.
decode "jobs" <<'EOT'
job {"spec":"(text)","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,"estimated_ms":7000,"after":[0],"saves_progress":true}]}
job {"steps":[{"count":5,"cpu":1500,"mem_mb":10,"daemon":true,"max_unavailable":1,"new_field":1}]}
job {"spec":"x","steps":[{"count":1,"after":[0]}]}
job {"spec":"x","steps":[{"count":0}]}
job {"spec":"x","steps":[]}
job {"spec":"x","steps":[{"count":2,"cpu":"many"}]}
job {"spec":"x","steps":[{"count":2,"gang":1}]}
job {"spec":"x"
EOT

# Guards against one malformed row of an instance's report hiding the others,
# and against a response without a known reason counting as success.
decode "reports" <<'EOT'
report {"clock_ms":482113,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00bb",41,250],["nonsense",1,"",0]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",1,"gone",""],[60,"5c0e7a21d94b36f8.0.1.7",3,"lapsed","00cc"]]}
report {"clock_ms":"late"}
report {"clock_ms":1}
result 200 {"clock_ms":5}
result 409 {"clock_ms":5,"reason":"fence"}
result 409 {"clock_ms":5,"reason":"room"}
result 409 {"clock_ms":5,"reason":"unheard"}
result 409 garbage
result 421 {}
result 503 {}
EOT

# Guards against one malformed machine hiding the others of its page, and against
# a wave without a number being planned.
decode "machines and waves" <<'EOT'
machines {"machines":[{"machine":"m-1","pool":"p1","state":"up","zone":"z-a","labels":[],"capacity":{"cpu":1,"mem_mb":1},"id":"i-1"},{"machine":"m-2","pool":"p2","state":"down","zone":"z-a","id":null},{"machine":"m-3","state":"up"}],"next_token":"t2"}
machines {"machines":[],"next_token":null}
wave {"wave":1,"machines":["m-1","m-2"],"duration_s":20,"max_count":2}
wave {"machines":[]}
EOT

# Guards against truncating a name that is too long, since two names that differ
# only in the last byte would become the same. m-4 has the longest pool name that
# is allowed.
decode "names that are too long" <<'EOT'
machines {"machines":[{"machine":"pppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppm","pool":"p1","state":"up","zone":"z-a","id":"i-1"},{"machine":"m-2","pool":"pppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppq","state":"up","zone":"z-a","id":"i-2"},{"machine":"m-3","pool":"p1","state":"up","zone":"z-a","id":"pppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppi"},{"machine":"m-4","pool":"ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp","state":"up","zone":"z-a","id":"i-4"}],"next_token":null}
instance {"service":"p1","address":"10.1.0.9:8080","zone":"z-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":[],"sequence":4,"machine":"pppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppm"}
EOT

# Guards against starting with settings that lack a required member, and against
# an optional one being required.
decode "settings" <<'EOT'
settings {"node":"n1","zone":"z-a","ip":"10.1.0.9","listen":{"front":"10.1.0.9:8624","ready":"10.1.0.9:8622"},"internal_ports":[7060,7075],"bounds":{"grace_s":6,"hold_max_ms":6000,"remote_factor":1.5},"advice":"10.200.1.9:8621","platform":{"address":"10.200.1.7:8621"},"cloud":{"address":"10.200.0.107:8621"},"limits":{"max_fds":4100,"memory_mb":160}}
settings {"node":"n1","zone":"z-a","ip":"10.1.0.9","listen":{"front":"10.1.0.9:8624","ready":"10.1.0.9:8622"},"internal_ports":[7060]}
settings {"node":"","zone":"z-a"}
settings {"node":"n1","zone":"z-a","ip":"10.1.0.9","listen":{"front":"10.1.0.9:8624","ready":"10.1.0.9:8622"},"internal_ports":[7060,7075],"platform":{"address":"10.200.1.7:8621"},"limits":{"link_mbps":"fast"}}
settings {"node":"n1","zone":"z-a","ip":"10.1.0.9","listen":{"front":"10.1.0.9:8624","ready":"10.1.0.9:8622"},"internal_ports":[7060,7075],"platform":{"address":"10.200.1.7:8621"},"limits":{"link_mbps":2.5}}
EOT

# Guards against mistaking one outcome of a store call for another, such as a
# write that may have taken effect (500) for one that has not (503).
decode "responses of the store" <<'EOT'
range 200 {"items":[{"key":"a","value":"bm9kZS0x","revision":412,"created":410,"lease":7}],"truncated":true,"store_revision":530}
range 200 {"items":[{"key":"a","value":"!!","revision":412}],"store_revision":530}
range 200 {"items":[{"value":"bm9kZS0x","revision":412}],"store_revision":530}
poll 200 {"events":[{"key":"a","revision":413,"removed":true}],"store_revision":413}
poll 410 {}
range 429 {}
txn 200 {"revision":9}
txn 412 {"items":[{"key":"a","value":"","revision":0}]}
txn 404 {}
txn 503 {}
txn 500 {}
EOT
