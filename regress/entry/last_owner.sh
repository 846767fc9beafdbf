#!/bin/sh
# Guards against a new owner that takes another process than the last owner for it:
# an owner that came and went unseen may have renewed leases.
. ./lib.subr

# key KEY MEMBER: prints a member of a key of the store.
key()
{
	curl -s "$store/kv-key?key=$1" | jq -r ".$2"
}

# revisions: whether the last claim wrote the role's key and the name of its owner
# at once.
revisions()
{
	[ "$(key gw/role/p1 created)" = "$(key gw/role/@last/p1 revision)" ] &&
	    echo "written with the claim" || echo "not written with the claim"
}

# gained NUMBER: prints what the process knew of the owner before it.
gained()
{
	grep -h "ROLE_GAINED role=p1 " "$tmp/entry$1.out" | tail -n 1 |
	    sed 's/.* previous_owner=\([^ ]*\) .*/\1/'
}

start_all 2
first=$(owner)
other=$((3 - first))
echo "previous owner: $(gained "$first")"
revisions
eval "kill -STOP \$pid_entry$other; kill -KILL \$pid_entry$first"
sleep 3
put gw/role/@last/p1 "127.0.0.1:28577 0123456789abcdef 99"
eval "kill -CONT \$pid_entry$other"
until_true 10 owns "$other"
echo "previous owner: $(gained "$other")"
revisions
