// The report of a broken promise quotes the log's lines that name its job.
#include "support/faults/log-tail.h"

#include <CppUTest/TestHarness.h>

#include "base/text.h"

using namespace kestrelreel;
using namespace kestrelreel::faults;

TEST_GROUP(log_tail){};

namespace {

const std::string job = "5c0e7a21d94b36f8";

std::string line(int at, const std::string& rest) {
  return str_cat("time=", at, " event=", rest, "\n");
}

}  // namespace

TEST(log_tail, finds_the_job) {
  struct row {
    const char* line;
    const char* job;
  };
  const row rows[] = {
      {"", ""},
      {"ENDED control-0 by itself: code 134", ""},
      {"LOST 5c0e7a21d94b36f8.0.0.0 accepted", "5c0e7a21d94b36f8"},
      {"STATE 5c0e7a21d94b36f8", "5c0e7a21d94b36f8"},
      {"a 5c0e7a21d94b36f85 digit more", ""},
      {"a 5c0e7a21d94b36f digit less", ""},
  };
  for (const row& it : rows) {
    STRCMP_EQUAL(it.job, std::string(job_named_in(it.line)).c_str());
  }
}

TEST(log_tail, quotes_the_lines_of_all_boxes_by_time) {
  const std::vector<box_log> logs = {
      {"control-0",
       line(11, "a job=" + job) + line(12, "other") + line(15, "b job=" + job)},
      {"entry-1", line(13, "c path=/plans/" + job) + line(14, "other")}};
  const auto lines = lines_naming(logs, job);
  LONGS_EQUAL(3, lines.size());
  CHECK_TRUE(lines[0] == "control-0: time=11 event=a job=" + job);
  CHECK_TRUE(lines[1] == "entry-1: time=13 event=c path=/plans/" + job);
  CHECK_TRUE(lines[2] == "control-0: time=15 event=b job=" + job);
}

TEST(log_tail, a_line_that_names_it_twice_or_has_no_end_comes_once) {
  const std::vector<box_log> logs = {
      {"control-0", "time=1 jobs=" + job + "," + job}};
  LONGS_EQUAL(1, lines_naming(logs, job).size());
}

TEST(log_tail, keeps_the_last_lines_and_the_part_with_the_name) {
  std::string text;
  for (int i = 0; i < 100; ++i) {
    text +=
        line(100 + i, std::string(2'000, 'x') + job + std::string(900, 'y'));
  }
  const auto lines = lines_naming({{"control-0", text}}, job);
  LONGS_EQUAL(most_tail_lines, lines.size());
  CHECK_TRUE(lines.back().starts_with("control-0: time=199 "));
  for (const std::string& it : lines) {
    CHECK_TRUE(it.find(job) != std::string::npos);
    CHECK_TRUE(it.size() < most_line_bytes + 40);
  }
}

TEST(log_tail, follows_only_the_first_broken_promises) {
  const std::vector<box_log> logs = {{"entry-0", line(1, "a job=" + job)}};
  std::vector<std::string> broken = {"CONFIG can't be read back"};
  for (size_t i = 0; i < most_tails + 2; ++i) broken.push_back("LOST " + job);
  const auto lines = with_logs(broken, logs);
  LONGS_EQUAL(broken.size() + most_tails, lines.size());
  CHECK_TRUE(lines[0] == broken[0]);
  CHECK_TRUE(lines[1] == broken[1]);
  CHECK_TRUE(lines[2] == "    entry-0: time=1 event=a job=" + job);
  CHECK_TRUE(lines.back() == broken.back());
}
