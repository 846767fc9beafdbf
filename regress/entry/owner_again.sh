#!/bin/sh
# Guards against tasks that run twice after an owner loses its role and gains it
# again. If it then asks the owner before itself for the leases, the response lists
# only that owner's leases, which expired long ago, while leases that this process
# granted itself may keep tasks running on instances that cannot be reached.
. ./lib.subr

remove_role()
{
	curl -s -o /dev/null -X POST "$store/kv-txn" \
	    -d '{"precondition":[],"writes":[],"remove":["gw/role/p1"]}'
}

# gains NUMBER: how often the process has gained the role.
gains()
{
	grep -c 'ROLE_GAINED role=p1 ' "$tmp/entry$1.out"
}

# gained_again COUNT: the role was gained more often than that.
gained_again()
{
	[ "$(($(gains 1) + $(gains 2)))" -gt "$1" ]
}

start_all 2
first=$(owner)
eval "kill -STOP \$pid_entry$first"
other=$((3 - first))
until_true 15 owns $other && echo "another owner"
eval "kill -CONT \$pid_entry$first"
sleep 1
for round in 1 2 3; do
	before=$(owner)
	count=$(($(gains 1) + $(gains 2)))
	responses=$(grep -c "FORMER_GONE .*leases=[1-9]" "$tmp/entry$before.out")
	remove_role
	until_true 15 gained_again $count
	until_true 15 owner >/dev/null
	[ "$(owner)" = "$before" ] || continue
	sleep 1
	echo "gained again," \
	    "$(($(grep -c "FORMER_GONE .*leases=[1-9]" "$tmp/entry$before.out") - responses))" \
	    "responses with leases from an earlier owner"
	break
done
