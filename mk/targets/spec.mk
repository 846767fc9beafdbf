# Checks the specification with Spin, and that each claim can be refuted.
spec:
	@spec/run

.PHONY: spec
