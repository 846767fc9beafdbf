# Guards against a request that runs twice, and against a connection or grant of
# one incarnation that is used for the next, when a busy instance is replaced at
# the same address.
. ./lib.subr
start_system
start_load 12000 16
sleep 2
for n in 1 4; do
	send_signal w1$n TERM
	start_endpoint 1 $n
	control_platform "{\"do\":\"replace\",\"id\":\"w1$n\"}"
	sleep 2
done
replaced()
{
	table_has 1 2 '(.id | startswith("w11-") or startswith("w14-")) and
	    .state == "active"'
}
wait_for "the new incarnations are active" 10 replaced
# OUT_MAX 2 is for the replaced instances: no other may be out of service.
verify_run 2 true
