# Builds lib$(LIB).a from SRCS.
include $(TOP)/mk/common.mk

all: $(LIBDIR)/lib$(LIB).a

$(LIBDIR)/lib$(LIB).a: $(OBJS)
	@mkdir -p $(@D)
	@rm -f $@
	@echo "AR lib$(LIB).a"
	@$(AR) rcs $@ $(OBJS)

.PHONY: all
