// What callers are told at each boundary of an exchange, over real sockets on
// loopback: scripted backend servers that refuse, reset, cut, cross or stall.
#include <CppUTest/TestHarness.h>

#include "routing/caller-session-test-world.h"

using namespace kestrelreel;
using namespace kestrelreel::scripted;

namespace {

struct boundary_row {
  const char* name;
  behaviour script;
  int status;
  const char* verdict;
  const char* reason;
  unsigned runs;
};

}  // namespace

TEST_GROUP(caller_session){};

TEST(caller_session, each_boundary_has_its_verdict) {
  const boundary_row rows[] = {
      {"whole answer", behaviour::answer, 200, "", "", 1},
      {"whole answer in chunks", behaviour::answer_in_chunks, 200, "", "", 1},
      {"server error", behaviour::fail, 500, "", "", 1},
      {"nothing listens", behaviour::absent, 502, "not-run", "connect-failed",
       0},
      {"closed before the request", behaviour::close_at_once, 502,
       "may-have-run", "*", 0},
      {"closed after the request", behaviour::close_after_request, 502,
       "may-have-run", "no-answer", 1},
      {"part of a header", behaviour::part_of_header, 502, "may-have-run",
       "no-answer", 1},
      {"another request's answer", behaviour::another_id, 502, "may-have-run",
       "crossed-answer", 1},
      {"refused by the server", behaviour::refuse, 503, "not-run",
       "runner-refused", 1},
      {"no answer in time", behaviour::stall, 504, "may-have-run", "deadline",
       1},
  };
  for (const boundary_row& row : rows) {
    entry_world world({row.script});
    const bool stalls = row.script == behaviour::stall;
    const auto answer =
        world.call({post(stalls ? "Kestrelreel-Deadline: 200ms\r\n" : "")})
            .at(0);
    CHECK_FALSE_TEXT(answer.cut, row.name);
    CHECK_EQUAL_TEXT(row.status, static_cast<int>(answer.it.result_int()),
                     row.name);
    STRCMP_EQUAL_TEXT(row.verdict,
                      std::string(answer.it[verdict_header]).c_str(), row.name);
    const std::string reason(answer.it[reason_header]);
    if (std::string(row.reason) != "*") {
      STRCMP_EQUAL_TEXT(row.reason, reason.c_str(), row.name);
    }
    CHECK_EQUAL_TEXT(row.runs, world.runs(), row.name);
    if (row.status == 200) STRCMP_EQUAL("echo hello", answer.it.body().c_str());
  }
}

TEST(caller_session, an_answer_cut_short_is_never_passed_off_as_whole) {
  entry_world world({behaviour::part_of_body});
  CHECK_TRUE(world.call({post()}).at(0).cut);
}

TEST(caller_session, only_what_may_be_repeated_is_tried_again) {
  struct {
    const char* name;
    behaviour first;
    const char* headers;
    int status;
    unsigned runs;
  } const rows[] = {
      {"not repeatable, may have run", behaviour::close_after_request, "", 502,
       1},
      {"repeatable, may have run", behaviour::close_after_request,
       "Kestrelreel-Repeatable: yes\r\n", 200, 2},
      {"not repeatable, not run", behaviour::absent, "", 200, 1},
      {"not repeatable, refused", behaviour::refuse, "", 200, 2},
      {"repeatable, crossed", behaviour::another_id,
       "Kestrelreel-Repeatable: yes\r\n", 200, 2},
  };
  for (const auto& row : rows) {
    entry_world world({row.first, behaviour::answer});
    const auto answer = world.call({post(row.headers)}).at(0);
    CHECK_EQUAL_TEXT(row.status, static_cast<int>(answer.it.result_int()),
                     row.name);
    CHECK_EQUAL_TEXT(row.runs, world.runs(), row.name);
  }
}

TEST(caller_session, faulty_requests_are_refused_before_they_run) {
  struct {
    std::string text;
    int status;
    const char* reason;
  } const rows[] = {
      {post("", "/other/x"), 404, "unknown-service"},
      {post("", "/"), 404, "unknown-service"},
      {post("Kestrelreel-Deadline: soon\r\n"), 400, "bad-deadline"},
      {post("Kestrelreel-Deadline: 0ms\r\n"), 400, "bad-deadline"},
      {post("Kestrelreel-Class: vip\r\n"), 400, "bad-class"},
      {post("Kestrelreel-Repeatable: perhaps\r\n"), 400, "bad-repeatable"},
      {"GET /svc/x HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
       431, "header-too-large"},
      {"POST /svc/x HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n", 413,
       "body-too-large"},
      {"what is this\r\n\r\n", 400, "bad-request"},
  };
  for (const auto& row : rows) {
    entry_world world({behaviour::answer});
    const auto answer = world.call({row.text}).at(0);
    const std::string name = row.text.substr(0, 60);
    CHECK_EQUAL_TEXT(row.status, static_cast<int>(answer.it.result_int()),
                     name.c_str());
    STRCMP_EQUAL_TEXT(row.reason, std::string(answer.it[reason_header]).c_str(),
                      name.c_str());
    STRCMP_EQUAL("not-run", std::string(answer.it[verdict_header]).c_str());
    CHECK_EQUAL(0, world.runs());
  }
}

TEST(caller_session, a_box_that_knows_no_services_yet_says_so) {
  entry_world world({}, false);
  const auto answer = world.call({post()}).at(0);
  CHECK_EQUAL(503, static_cast<int>(answer.it.result_int()));
  STRCMP_EQUAL("catching-up", std::string(answer.it[reason_header]).c_str());
}

TEST(caller_session, a_connection_serves_many_requests) {
  entry_world world({behaviour::answer});
  const auto answers =
      world.call({post(), post(), post("", "/other/x"), post()});
  CHECK_EQUAL(4, answers.size());
  CHECK_EQUAL(404, static_cast<int>(answers[2].it.result_int()));
  STRCMP_EQUAL("echo hello", answers[3].it.body().c_str());
}

TEST(caller_session, headers_of_one_connection_are_not_passed_on) {
  http::fields fields;
  fields.set(http::field::connection, "X-Mine, keep-alive");
  fields.set("X-Mine", "1");
  fields.set(http::field::keep_alive, "5");
  fields.set("X-Other", "2");
  remove_hop_headers(fields);
  CHECK_EQUAL(0, fields.count("X-Mine"));
  CHECK_EQUAL(0, fields.count(http::field::keep_alive));
  CHECK_EQUAL(0, fields.count(http::field::connection));
  CHECK_EQUAL(1, fields.count("X-Other"));
}

// An entry box ended with "double free" when a caller began a body and stayed
// silent for the idle limit: the fault that it was to be told was a temporary
// of a co_await, which the compiler destroyed twice.
TEST(caller_session, a_body_that_does_not_come_is_not_run) {
  entry_world world({behaviour::answer});
  world.context.limits.idle = milliseconds(200);
  const auto answer =
      world.call({"POST /svc/x HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel"})
          .at(0);
  // The connection ends, as its time limit closes it: nothing is promised.
  CHECK_TRUE(answer.cut);
  CHECK_EQUAL(0, world.runs());
}

// No byte is sent before a connection stands.
TEST(caller_session, a_server_that_takes_no_connection_ran_nothing) {
  entry_world world({behaviour::answer});
  tcp::acceptor full(world.io);
  full.open(tcp::v4());
  full.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
  full.listen(0);
  std::vector<std::unique_ptr<tcp::socket>> crowd;
  for (int i = 0; i < 4; ++i) {
    crowd.push_back(std::make_unique<tcp::socket>(world.io));
    crowd.back()->async_connect(full.local_endpoint(),
                                [](boost::system::error_code) {});
  }
  world.io.run_for(std::chrono::milliseconds(100));
  world.io.restart();
  struct {
    std::string address;
    int status;
    const char* reason;
  } const rows[] = {
      {str_cat("127.0.0.1:", full.local_endpoint().port()), 504, "deadline"},
      {"nowhere:1", 502, "bad-runner-address"},
  };
  for (const auto& row : rows) {
    proto::runner_table table;
    proto::runner& it = *table.add_runners();
    it.set_task("t9");
    it.set_attempt(1);
    it.set_service("svc");
    it.set_address(row.address);
    it.set_fixed_slots(8);
    world.router.set_runners(table, world.clock.now() + milliseconds(60'000));
    const auto answer = world.call({post()}).at(0);
    CHECK_EQUAL(row.status, static_cast<int>(answer.it.result_int()));
    STRCMP_EQUAL(row.reason, std::string(answer.it[reason_header]).c_str());
    STRCMP_EQUAL("not-run", std::string(answer.it[verdict_header]).c_str());
    CHECK_EQUAL(0, world.runs());
  }
}

// A planned stop closed connections whose request had arrived and was unread.
TEST(caller_session, arrived_requests_are_answered_in_a_stop) {
  struct {
    const char* name;
    bool accepted;
    bool before_the_stop;
  } const rows[] = {
      {"on a connection that waits to be accepted", false, true},
      {"on an idle connection as its time ends", true, false},
  };
  for (const auto& row : rows) {
    entry_world world({behaviour::answer});
    tcp::socket socket(world.io);
    socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), world.server.port()});
    const auto send = [&] {
      boost::asio::write(socket, boost::asio::buffer(post()));
    };
    if (row.accepted) {
      while (world.server.connections() == 0) world.io.run_one();
      world.io.run_for(std::chrono::milliseconds(20));
    }
    if (row.before_the_stop) send();
    bool drained = false;
    world.server.drain(milliseconds(10), [&] { drained = true; });
    if (!row.before_the_stop) {
      // Its time is over and the request is there when the loop runs again.
      const time_point due = world.clock.now() + milliseconds(20);
      while (world.clock.now() < due) continue;
      send();
    }
    world.io.restart();
    while (!drained) world.io.run_one();
    std::string got(1'000, '\0');
    boost::system::error_code ec;
    got.resize(socket.read_some(boost::asio::buffer(got), ec));
    STRCMP_CONTAINS_TEXT("HTTP/1.1 200", got.c_str(), row.name);
  }
}
