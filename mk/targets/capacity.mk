# Measures the costs that docs/CAPACITY.md is worked out from.
capacity: all
	@$(BUILD_BIN)/gwcapacity

BUILD_BIN = build/$(VARIANT)/bin

.PHONY: capacity
