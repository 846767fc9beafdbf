# Guards against an example manifest that fails the check, and against a
# large.json that is out of date after a change of make-large.
. ./lib.subr
for name in coldtrace birlik large; do
	run manifest check "$GW_TOP/examples/$name.json"
done
"$GW_TOP/examples/make-large" | cmp - "$GW_TOP/examples/large.json" &&
    echo "large.json is what make-large prints"
