# Builds one GLib test program per file named in TESTS (NAME.c), linked with
# GWLIBS and with the objects of EXTRA_SRCS (paths relative to the directory).
# regress/run runs them, and the directory's scripts.
include $(TOP)/mk/common.mk

GWARCHIVES = $(patsubst %,$(LIBDIR)/lib%.a,$(GWLIBS))
PROGS = $(addprefix $(OBJDIR)/,$(TESTS))
# Separate objects, so that the targets in their dependency files are right.
EXTRA_OBJS = $(addprefix $(OBJDIR)/extra/,$(notdir $(EXTRA_SRCS:.c=.o)))

define EXTRA_RULE
$(OBJDIR)/extra/$(notdir $(1:.c=.o)): $(1)
	@mkdir -p $$(@D)
	@echo "CC $(HERE)/$(1)"
	@$$(CC) $$(CPPFLAGS) $$(CFLAGS) -MMD -MP -c -o $$@ $$<
endef
$(foreach source,$(EXTRA_SRCS),$(eval $(call EXTRA_RULE,$(source))))

all: $(PROGS)

$(PROGS): $(OBJDIR)/%: $(OBJDIR)/%.o $(EXTRA_OBJS) $(GWARCHIVES)
	@echo "LD $(HERE)/$(@F)"
	@$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $< $(EXTRA_OBJS) -Wl,--start-group \
	    $(GWARCHIVES) -Wl,--end-group $(LDLIBS_ext)

-include $(PROGS:=.d) $(EXTRA_OBJS:.o=.d)

.PHONY: all
.SECONDARY:
