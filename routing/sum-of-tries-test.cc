// A caller was told that its request did not run although it may have: a
// request that may be repeated was passed to a second backend server after the
// first had read it and closed without an answer; nothing listened at the
// second one, and the caller got the verdict of that try alone, `not-run`. What
// shows it is the row "may have run, then nothing listens": on the code as it
// was, its verdict was `not-run` though the first server had run the request.
#include <CppUTest/TestHarness.h>

#include "routing/caller-session-test-world.h"

using namespace kestrelreel;
using namespace kestrelreel::scripted;

TEST_GROUP(sum_of_tries){};

TEST(sum_of_tries, one_that_may_have_run_stands_for_all) {
  constexpr const char* yes = "Kestrelreel-Repeatable: yes\r\n";
  struct {
    const char* name;
    std::vector<behaviour> scripts;
    const char* headers;
    int status;
    const char* verdict;
    const char* reason;
  } const rows[] = {
      {"may have run, then nothing listens",
       {behaviour::close_after_request, behaviour::absent},
       yes,
       502,
       "may-have-run",
       "no-answer"},
      {"may have run, then refused",
       {behaviour::close_after_request, behaviour::refuse},
       yes,
       502,
       "may-have-run",
       "no-answer"},
      {"crossed, then nothing listens",
       {behaviour::another_id, behaviour::absent},
       yes,
       502,
       "may-have-run",
       "crossed-answer"},
      {"nothing listens, then may have run",
       {behaviour::absent, behaviour::close_after_request},
       yes,
       502,
       "may-have-run",
       "no-answer"},
      {"may have run twice",
       {behaviour::another_id, behaviour::close_after_request},
       yes,
       502,
       "may-have-run",
       "no-answer"},
      {"nothing listens, then refused",
       {behaviour::absent, behaviour::refuse},
       yes,
       503,
       "not-run",
       "runner-refused"},
      {"refused, then nothing listens; not to be repeated",
       {behaviour::refuse, behaviour::absent},
       "",
       502,
       "not-run",
       "connect-failed"},
      {"may have run, then answered",
       {behaviour::close_after_request, behaviour::answer},
       yes,
       200,
       "",
       ""},
  };
  for (const auto& row : rows) {
    entry_world world(row.scripts);
    const auto answer = world.call({post(row.headers)}).at(0);
    CHECK_FALSE_TEXT(answer.cut, row.name);
    STRCMP_EQUAL_TEXT(row.verdict,
                      std::string(answer.it[verdict_header]).c_str(), row.name);
    STRCMP_EQUAL_TEXT(row.reason, std::string(answer.it[reason_header]).c_str(),
                      row.name);
    CHECK_EQUAL_TEXT(row.status, static_cast<int>(answer.it.result_int()),
                     row.name);
    // Who may come back at once is told so only of what did not run.
    const bool not_run = std::string(row.verdict) == "not-run";
    CHECK_EQUAL_TEXT(not_run, answer.it.count(http::field::retry_after) > 0,
                     row.name);
  }
}
