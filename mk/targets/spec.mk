# Checks the models of spec/ with Spin: every claim holds, and each mutant
# violates the claim that spec/runs names for it.
spec:
	@spec/run

.PHONY: spec
