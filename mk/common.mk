.DEFAULT_GOAL := all
# Settings shared by all directories. TOP is the root of the tree.
# VARIANT is release (default) or asan (AddressSanitizer and UBSan).
VARIANT ?= release
# BUILD_ROOT is the directory of all build output.
BUILD_ROOT ?= build
BUILD = $(TOP)/$(BUILD_ROOT)/$(VARIANT)
HERE := $(patsubst $(realpath $(TOP))/%,%,$(CURDIR))
OBJDIR = $(BUILD)/$(HERE)
LIBDIR = $(BUILD)/lib
BINDIR = $(BUILD)/bin

CC = gcc
AR = ar
WARNINGS = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wpointer-arith -Wformat=2
PKG_CFLAGS := $(shell pkg-config --cflags glib-2.0)
CPPFLAGS += -D_GNU_SOURCE -I$(TOP)/lib -I$(TOP) -I$(OBJDIR) $(PKG_CFLAGS)
CFLAGS_release = -O2 -g
CFLAGS_asan = -O1 -g -fsanitize=address,undefined \
	-fno-sanitize-recover=undefined -fno-omit-frame-pointer
LDFLAGS_asan = -fsanitize=address,undefined
CFLAGS += -std=gnu11 -fno-common -fstack-protector-strong $(WARNINGS) \
	$(CFLAGS_$(VARIANT))
LDFLAGS += $(LDFLAGS_$(VARIANT))

# External libraries, in link order. A directory names the tree's own libraries
# that it needs in GWLIBS.
LDLIBS_ext = -lh2o -luv -lprotobuf-c -ljansson -lglib-2.0 -lxxhash -lssl \
	-lcrypto -lm -lpthread -ldl
OBJS = $(addprefix $(OBJDIR)/,$(SRCS:.c=.o))

$(OBJDIR)/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $(HERE)/$<"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

-include $(OBJS:.o=.d)
