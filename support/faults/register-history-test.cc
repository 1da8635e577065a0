// The checker of the configuration's history: what no order of the writes and
// reads explains is told, and what one explains is not.
#include "support/faults/register-history.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <vector>

using namespace kestrelreel;
using namespace kestrelreel::faults;

TEST_GROUP(register_history){};

namespace {

/// One thing that an operator does or sees; a read has a name.
struct step {
  enum class kind { sends, told, begins, ends };
  kind what;
  uint64_t version = 0;
  char read = ' ';
};

step sends(uint64_t version) { return {step::kind::sends, version}; }
step told(uint64_t version) { return {step::kind::told, version}; }
step begins(char read) { return {step::kind::begins, 0, read}; }
step ends(char read, uint64_t version) {
  return {step::kind::ends, version, read};
}

struct row {
  const char* name;
  size_t broken;
  std::vector<step> steps;
};

const row rows[] = {
    {"no read", 0, {sends(1), told(1)}},
    {"what was acknowledged",
     0,
     {sends(1), sends(2), told(2), begins('a'), ends('a', 2)}},
    {"older than what was acknowledged",
     1,
     {sends(1), told(1), sends(2), told(2), begins('a'), ends('a', 1)}},
    {"older, and sent before the acknowledgement",
     0,
     {sends(1), told(1), sends(2), begins('a'), told(2), ends('a', 1)}},
    {"newer, of a write without an answer",
     0,
     {sends(1), told(1), sends(2), begins('a'), ends('a', 2)}},
    {"back behind an earlier read of a write without an answer",
     1,
     {sends(1), told(1), sends(2), begins('a'), ends('a', 2), begins('b'),
      ends('b', 1)}},
    {"two reads beside each other, the later end older",
     0,
     {sends(1), told(1), sends(2), begins('a'), begins('b'), ends('a', 2),
      ends('b', 1)}},
    {"a read that ends late is no proof against one that began before",
     0,
     {sends(1), told(1), sends(2), begins('a'), begins('b'), ends('b', 1),
      ends('a', 2)}},
    {"back behind a read that isn't the last one",
     1,
     {sends(1), sends(2), sends(3), begins('a'), begins('b'), ends('a', 3),
      ends('b', 1), begins('c'), ends('c', 2)}},
    {"a late acknowledgement of a lower version changes nothing",
     0,
     {sends(1), sends(2), told(2), told(1), begins('a'), ends('a', 2)}},
    {"older than an acknowledgement that a lower one followed",
     1,
     {sends(1), sends(2), told(2), told(1), begins('a'), ends('a', 1)}},
    {"of the other operator, acknowledged while one's own is under way",
     1,
     {sends(1), told(1), sends(2), sends(3), told(3), begins('a'),
      ends('a', 2)}},
    {"one that nobody sent", 1, {sends(1), begins('a'), ends('a', 2)}},
    {"one that was sent only after the read ended",
     1,
     {sends(1), begins('a'), ends('a', 2), sends(2)}},
    {"one that was sent while it was read",
     0,
     {sends(1), begins('a'), sends(2), ends('a', 2)}},
    {"each is told",
     2,
     {sends(1), sends(2), told(2), begins('a'), ends('a', 1), begins('b'),
      ends('b', 1)}},
};

void play(const std::vector<step>& steps, register_history& seen) {
  std::map<char, register_history::reading> under_way;
  time_point now{0};
  for (const step& it : steps) {
    const config_number version(it.version);
    ++now;
    switch (it.what) {
      case step::kind::sends:
        seen.sent(version);
        break;
      case step::kind::told:
        seen.acknowledged(version, now);
        break;
      case step::kind::begins:
        under_way[it.read] = seen.begin_read(now);
        break;
      case step::kind::ends:
        seen.end_read(under_way.at(it.read), version, now);
        break;
    }
  }
}

}  // namespace

TEST(register_history, tells_what_no_order_explains) {
  for (const row& it : rows) {
    register_history seen;
    play(it.steps, seen);
    const auto& lines = seen.broken();
    LONGS_EQUAL_TEXT(it.broken, lines.size(), it.name);
    for (const auto& line : lines) CHECK_TRUE(line.starts_with("CONFIG "));
  }
}

TEST(register_history, names_what_was_known) {
  register_history seen;
  play({sends(1), sends(2), told(2), begins('a'), ends('a', 1)}, seen);
  STRCMP_EQUAL("CONFIG version 1 read [4..5] after 2 was acknowledged at 3",
               seen.broken().at(0).c_str());
}

TEST(register_history, newest_sent) {
  register_history seen;
  CHECK_TRUE(seen.newest_sent() == config_number());
  play({sends(4), sends(2)}, seen);
  CHECK_TRUE(seen.newest_sent() == config_number(4));
}
