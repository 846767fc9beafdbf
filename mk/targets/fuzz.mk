# Runs the libFuzzer targets of fuzz/ on the committed corpus, with a fixed seed
# and a fixed number of runs, so that the results can be reproduced.
FUZZ_TARGETS = manifest store frame request
FUZZ_RUNS ?= 100000
# Each run opens real connections.
FUZZ_RUNS_request ?= 10000
FUZZ_SEED ?= 1
FUZZ_DIR = build/fuzz
FUZZ_CFLAGS = -std=gnu11 -g -O1 -D_GNU_SOURCE -Ilib \
	$(shell pkg-config --cflags glib-2.0) \
	-fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined
FUZZ_LIBS = -lh2o -luv -lssl -ljansson -lglib-2.0 -lxxhash -lcrypto -lprotobuf-c
FUZZ_SRCS_manifest = $(wildcard lib/manifest/*.c) lib/gw/err.c lib/gw/id.c
FUZZ_SRCS_store = lib/store/decode.c lib/store/base64.c lib/store/splitter.c \
	lib/gw/err.c
FUZZ_SRCS_request = lib/http/budget.c lib/http/callers.c lib/http/httpd.c \
	$(wildcard lib/gw/*.c)
FUZZ_SRCS_frame = lib/wire/frame.c lib/wire/gw.pb-c.c lib/gw/err.c

define fuzz_rule
$(FUZZ_DIR)/$(1): fuzz/$(1)_fuzz.c $$(FUZZ_SRCS_$(1))
	@mkdir -p $$(@D)
	@echo "CLANG fuzz/$(1)"
	@clang $$(FUZZ_CFLAGS) -o $$@ $$^ $$(FUZZ_LIBS)

fuzz-$(1): $(FUZZ_DIR)/$(1)
	@echo "fuzz: $(1), $$(or $$(FUZZ_RUNS_$(1)),$$(FUZZ_RUNS)) runs, seed $$(FUZZ_SEED)"
	@mkdir -p $(FUZZ_DIR)/new-$(1)
	@rm -f $(FUZZ_DIR)/new-$(1)/*
	@$(FUZZ_DIR)/$(1) -runs=$$(or $$(FUZZ_RUNS_$(1)),$$(FUZZ_RUNS)) -seed=$$(FUZZ_SEED) -timeout=5 \
	    -rss_limit_mb=1024 -max_len=8192 -verbosity=0 -print_final_stats=1 \
	    -artifact_prefix=$(FUZZ_DIR)/ $(FUZZ_DIR)/new-$(1) \
	    fuzz/corpus/$(1) 2>&1 | tee $(FUZZ_DIR)/$(1).log | \
	    grep -E 'ERROR|SUMMARY|number_of_executed|assert' ; \
	    grep -q number_of_executed $(FUZZ_DIR)/$(1).log && \
	    ! grep -qE 'ERROR|SUMMARY' $(FUZZ_DIR)/$(1).log
endef
$(foreach target,$(FUZZ_TARGETS),$(eval $(call fuzz_rule,$(target))))

fuzz: $(addprefix fuzz-,$(FUZZ_TARGETS))

.PHONY: fuzz $(addprefix fuzz-,$(FUZZ_TARGETS))
