# Guards against a request that is run again, or a connection or grant that is
# used for the wrong incarnation, when a busy instance is replaced under the
# same address.
. ./lib.subr
start_system
start_load 12000 16
sleep 2
for n in 1 4; do
	stop w1$n TERM
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
# Two instances fail; nothing else may be out of service by plan.
finish 2 true
