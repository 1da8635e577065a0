// Guards against orders of an operator that were undone by an earlier one,
// which lay unread at a frozen control box while the operator turned to
// another.
#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/text.h"
#include "support/crowds/boxes.h"

using namespace kestrelreel;
using namespace kestrelreel::crowds;

namespace {

constexpr size_t box_count = 3;
constexpr int first_port = 20'000;
constexpr int port_shares = 2'500;
constexpr int ports_each = 2;

uint16_t port(int i) {
  return static_cast<uint16_t>(first_port +
                               getpid() % port_shares * ports_each + i);
}

endpoint control(size_t i) { return {str_cat("127.0.53.", i + 1), port(1)}; }

std::string settings(size_t i, const std::filesystem::path& folder) {
  const std::filesystem::path data = folder / str_cat("data-", i);
  std::filesystem::create_directories(data);
  std::string seeds;
  for (size_t n = 0; n < box_count; ++n) {
    str_append(seeds, n == 0 ? "" : ",", "\"", control(n).ip, ":", port(0),
               "\"");
  }
  return str_cat(R"({"box":")", control(i).ip, R"(","role":"control",)",
                 R"("data_centre":"north","data_centres":["north","south"],)",
                 R"("peer_port":)", port(0), R"(,"seeds":[)", seeds,
                 R"(],"found_cluster":true,"losses_tolerated":1,)",
                 R"("data_folder":")", data.string(),
                 R"(","listen":{"control":")", control(i).ip, ":", port(1),
                 "\"}}\n");
}

/// Three control boxes.
class control_boxes {
 public:
  control_boxes() {
    for (size_t i = 0; i < box_count; ++i) {
      boxes_.push_back(
          std::make_unique<box_process>(folder_.path(), str_cat("control-", i),
                                        settings(i, folder_.path()), false));
    }
  }
  box_process& operator[](size_t i) { return *boxes_[i]; }

 private:
  scratch_folder folder_;
  std::vector<std::unique_ptr<box_process>> boxes_;
};

std::string order(bool evacuates) {
  return str_cat(evacuates ? "POST" : "DELETE",
                 " /evacuate/south HTTP/1.1\r\nHost: control\r\n"
                 "Content-Length: 0\r\n\r\n");
}

/// What the box applied last.
bool has_evacuated(const box_process& box) {
  const std::string log = box.log_text();
  const size_t at = log.rfind("event=evacuation-applied");
  const std::string line = log.substr(at, log.find('\n', at) - at);
  return line.find("in-force=south") != std::string::npos;
}

struct row {
  const char* name;
  /// What the operator orders last.
  bool evacuates;
  /// The caller keeps its connection when it turns to another box.
  bool stays_connected;
  std::chrono::milliseconds frozen_for;
};

}  // namespace

TEST_GROUP(late_order){};

TEST(late_order, undoes_a_later_one) {
  constexpr std::chrono::seconds caller_limit{1};
  constexpr std::chrono::seconds until_read{1};
  const row rows[] = {
      {"late end of an evacuation", true, false, std::chrono::seconds(4)},
      {"late evacuation", false, false, std::chrono::seconds(3)},
      {"caller stays connected", true, true, std::chrono::seconds(3)},
  };
  control_boxes boxes;
  CHECK_TRUE(is_answered(control(0), order(false), 200));
  size_t frozen = 0;
  for (const row& it : rows) {
    const size_t next = (frozen + 1) % box_count;
    const size_t last = (frozen + 2) % box_count;
    CHECK_TRUE_TEXT(is_answered(control(next), order(it.evacuates), 200),
                    it.name);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    boxes[frozen].freeze();
    const auto thaws_at = std::chrono::steady_clock::now() + it.frozen_for;
    crowd caller;
    caller.send(control(frozen), 1, {order(!it.evacuates), "", 0, ""});
    std::this_thread::sleep_for(caller_limit);
    if (!it.stays_connected) caller.leave();
    CHECK_TRUE_TEXT(is_answered(control(next), order(!it.evacuates), 200),
                    it.name);
    CHECK_TRUE_TEXT(is_answered(control(last), order(it.evacuates), 200),
                    it.name);
    std::this_thread::sleep_until(thaws_at);
    boxes[frozen].thaw();
    std::this_thread::sleep_for(until_read);
    for (const size_t box : {next, last}) {
      CHECK_TRUE_TEXT(has_evacuated(boxes[box]) == it.evacuates, it.name);
    }
    frozen = next;
  }
}

// A caller that is still there gets its order through after a short freeze, and
// right after the opposite order.
TEST(late_order, order_that_is_merely_slow_is_refused) {
  control_boxes boxes;
  CHECK_TRUE(is_answered(control(0), order(false), 200));
  // Longer than an election and what follows it.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  for (size_t i = 0; i < box_count; ++i) {
    LONGS_EQUAL(200, ask(control(i), order(true)));
    LONGS_EQUAL(200, ask(control((i + 1) % box_count), order(false)));
    boxes[i].freeze();
    crowd caller;
    caller.send(control(i), 1, {order(true), "", 0, ""});
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    boxes[i].thaw();
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    CHECK_TRUE(has_evacuated(boxes[i]));
    LONGS_EQUAL(200, ask(control(i), order(false)));
  }
}
