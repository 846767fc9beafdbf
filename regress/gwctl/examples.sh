# Guards against an example that does not pass the check or is out of date.
. ./lib.subr
for name in coldtrace birlik large; do
	run manifest check "$GW_TOP/examples/$name.json"
done
"$GW_TOP/examples/make-large" | cmp - "$GW_TOP/examples/large.json" &&
    echo "large.json is what make-large prints"
