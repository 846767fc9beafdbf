# Measures the costs from which the figures of docs/CAPACITY.md are calculated.
capacity: all
	@$(BUILD_BIN)/gwcapacity

BUILD_BIN = build/$(VARIANT)/bin

.PHONY: capacity
