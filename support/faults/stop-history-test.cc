// A planned stop that cuts a request off is told, what other strikes cut is
// not.
#include "support/faults/stop-history.h"

#include <CppUTest/TestHarness.h>

#include <functional>

using namespace kestrelreel;
using namespace kestrelreel::faults;

TEST_GROUP(stop_history){};

namespace {

/// Told to stop then, and its time is over.
constexpr int stop = 10'000;
constexpr int over = stop + static_cast<int>(stop_ends_by.count());
constexpr int deadline = static_cast<int>(caller_deadline.count());

void cut(stop_history& it, int sent, int ended) {
  it.cut({"e", time_point(sent), time_point(ended), "end of stream"});
}

void struck(stop_history& it, const char* entry, int from, int until) {
  it.struck(entry, time_point(from), time_point(until));
}

struct row {
  const char* name;
  size_t broken;
  std::function<void(stop_history&)> seen;
};

const row rows[] = {
    {"nothing", 0, [](auto&) {}},
    {"a request from before the stop", 1,
     [](auto& it) { cut(it, stop - 100, stop + 50); }},
    {"a request on an open connection during the stop", 1,
     [](auto& it) { cut(it, stop + 3'000, stop + 3'010); }},
    {"cut at the end, with time enough", 1,
     [](auto& it) { cut(it, over - deadline, over + 10); }},
    {"cut at the end, sent too late", 0,
     [](auto& it) { cut(it, over - deadline + 1, over + 10); }},
    {"sent as late, cut before the end", 1,
     [](auto& it) { cut(it, over - deadline + 1, over - 10); }},
    {"long after the stop", 0, [](auto& it) { cut(it, stop, over + 2'000); }},
    {"before the stop", 0, [](auto& it) { cut(it, stop - 100, stop - 1); }},
    {"at another box", 0,
     [](auto& it) {
       it.cut({"f", time_point(stop), time_point(stop + 50), ""});
     }},
    {"killed meanwhile", 0,
     [](auto& it) {
       struck(it, "e", stop + 20, stop + 20);
       cut(it, stop - 100, stop + 50);
     }},
    {"frozen when it was told to stop", 0,
     [](auto& it) {
       struck(it, "e", stop - 500, stop + 10);
       cut(it, stop + 20, stop + 50);
     }},
    {"another box is killed meanwhile", 1,
     [](auto& it) {
       struck(it, "f", stop + 20, stop + 20);
       cut(it, stop - 100, stop + 50);
     }},
    {"killed later", 1,
     [](auto& it) {
       struck(it, "e", stop + 60, stop + 60);
       cut(it, stop - 100, stop + 50);
     }},
    {"frozen long before", 1,
     [](auto& it) {
       struck(it, "e", stop - 500, stop - 200);
       cut(it, stop - 100, stop + 50);
     }},
    {"told again while it stops, cut at the first one's end", 0,
     [](auto& it) {
       it.told_to_stop("e", time_point(stop + 2'000));
       cut(it, over - 500, over + 10);
     }},
    {"told to stop again once it was started again", 1,
     [](auto& it) {
       it.started("e");
       it.told_to_stop("e", time_point(stop + 8'000));
       cut(it, stop + 8'000, stop + 9'000);
     }},
    {"each is told once", 2,
     [](auto& it) {
       it.started("e");
       it.told_to_stop("e", time_point(stop + 1));
       cut(it, stop - 100, stop + 50);
       cut(it, stop - 100, stop + 50);
     }},
};

}  // namespace

TEST(stop_history, tells_what_a_stop_cut_off) {
  for (const row& it : rows) {
    stop_history seen;
    seen.told_to_stop("e", time_point(stop));
    it.seen(seen);
    const auto lines = seen.broken();
    LONGS_EQUAL_TEXT(it.broken, lines.size(), it.name);
    for (const auto& line : lines) CHECK_TRUE(line.starts_with("CUT "));
  }
}
