# Measures the decision modules: tables per user, targets met or missed.
policy: all
	@build/$(VARIANT)/bin/gwpolicymeasure

.PHONY: policy
