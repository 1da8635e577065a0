#include "kernel/service.h"

#include <CppUTest/TestHarness.h>

#include "base/text.h"
#include "kernel/metrics.h"

using namespace kestrelreel;

namespace {

/// Notes its starts and stops in a log that all share.
class noted_service final : public service {
 public:
  noted_service(std::string name, std::vector<std::string> needs,
                std::string& log, bool fails = false)
      : name_(std::move(name)),
        needs_(std::move(needs)),
        log_(log),
        fails_(fails) {}
  std::string_view name() const override { return name_; }
  std::vector<std::string> dependencies() const override { return needs_; }
  absl::Status start(service_registry&) override {
    if (fails_) return absl::InternalError("refuses");
    log_ += "+" + name_;
    return absl::OkStatus();
  }
  void stop() override { log_ += "-" + name_; }

 private:
  std::string name_;
  std::vector<std::string> needs_;
  std::string& log_;
  bool fails_;
};

struct service_row {
  const char* name;
  std::vector<std::string> needs;
  bool fails;
};

struct registry_row {
  const char* title;
  std::vector<service_row> services;
  bool starts;
  const char* log;
};

}  // namespace

TEST_GROUP(service){};

TEST(service, start_and_stop_follow_the_dependencies) {
  const registry_row rows[] = {
      {"chain",
       {{"a", {"b"}, false}, {"b", {"c"}, false}, {"c", {}, false}},
       true,
       "+c+b+a-a-b-c"},
      {"unknown dependency", {{"a", {"x"}, false}}, false, ""},
      {"circle", {{"a", {"b"}, false}, {"b", {"a"}, false}}, false, ""},
      {"failure stops what had started",
       {{"a", {}, false}, {"b", {"a"}, true}, {"c", {"b"}, false}},
       false,
       "+a-a"},
  };
  for (const registry_row& row : rows) {
    std::string log;
    service_registry registry;
    for (const service_row& it : row.services) {
      CHECK_TRUE(registry
                     .add(std::make_unique<noted_service>(it.name, it.needs,
                                                          log, it.fails))
                     .ok());
    }
    CHECK_EQUAL_TEXT(row.starts, registry.start().ok(), row.title);
    registry.stop();
    STRCMP_EQUAL_TEXT(row.log, log.c_str(), row.title);
  }
}

TEST(service, names_are_unique_and_found_with_their_type) {
  std::string log;
  service_registry registry;
  CHECK_TRUE(registry
                 .add(std::make_unique<noted_service>(
                     "a", std::vector<std::string>(), log))
                 .ok());
  CHECK_TRUE(absl::IsAlreadyExists(registry.add(
      std::make_unique<noted_service>("a", std::vector<std::string>(), log))));
  CHECK_TRUE(registry.find<noted_service>("a") != nullptr);
  CHECK_TRUE(registry.find<noted_service>("b") == nullptr);
}

TEST(service, histograms_tell_quantiles_within_a_bin) {
  latency_histogram it;
  for (int i = 1; i <= 1'000; ++i) it.add_ms(i);
  const double p50 = it.quantile(0.5);
  CHECK_TRUE(p50 >= 500 && p50 < 500 * 1.13);
  const double p99 = it.quantile(0.99);
  CHECK_TRUE(p99 >= 990 && p99 < 990 * 1.13);
  CHECK_EQUAL(1'000, it.count());
}
