# Wrapper around the CMake build.
#
#   make            build everything
#   make demo       install packages, build, run the demo on this machine
#   make test       install packages, build, run every test
#   make lint       check formatting and run clang-tidy
#   make bench      run the benchmarks (not part of CI)
#   make proto      regenerate the protobuf code

BUILD ?= build
PACKAGES := libulfius-dev libmicrohttpd-dev libcurl4-gnutls-dev libzmq3-dev cppzmq-dev libprotobuf-dev \
  protobuf-compiler libboost-log-dev libboost-thread-dev libgflags-dev \
  libcpputest-dev nlohmann-json3-dev libxxhash-dev libpcg-cpp-dev
TOOLS := git g++ cmake ninja-build pkg-config curl
PROTOS := $(wildcard src/lib*/*.proto)
SOURCES = $(shell git ls-files '*.cc' '*.h' | grep -v '\.pb\.')

all: $(BUILD)/build.ninja
	@ninja -C $(BUILD) --quiet >$(BUILD)-ninja.log 2>&1 || (cat $(BUILD)-ninja.log; exit 1)

$(BUILD)/build.ninja: CMakeLists.txt
	@cmake -G Ninja -B $(BUILD) . >$(BUILD)-cmake.log 2>&1 || \
	  (cat $(BUILD)-cmake.log; exit 1)

packages:
	@src/cmake/install_packages.sh $(TOOLS) $(PACKAGES)

demo: packages all
	@testsuite/demo/run $(CURDIR)/$(BUILD)/bin $(CURDIR)/examples

test: packages all
	@testsuite/run_all $(CURDIR)/$(BUILD) $(CURDIR)

lint:
	@src/cmake/lint.sh $(BUILD) $(SOURCES)

bench: all
	@$(BUILD)/bin/savoryring_bench
	@$(BUILD)/bin/savoryring_bench_jobs
	@$(BUILD)/bin/savoryring_bench_routing
	@testsuite/bench/measure $(CURDIR)/$(BUILD)/bin $(CURDIR)
	@for trace in testsuite/traces/*.trace; do echo "== $$trace"; \
	  $(BUILD)/bin/savoryring replay $$trace --all; done

proto:
	cd src && protoc -I. --cpp_out=. $(PROTOS:src/%=%)

clean:
	rm -rf $(BUILD) $(BUILD)-cmake.log

.PHONY: all packages demo test lint bench proto clean
