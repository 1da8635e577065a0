// A planned stop of an entry box, over loopback: what comes until the stop's
// time is over is answered.
#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/text.h"
#include "daemon/leader-test-parts.h"
#include "daemon/seeded-process.h"
#include "platform/fronts.h"

using namespace kestrelreel;

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using std::chrono::steady_clock;

const auto callers_port = static_cast<uint16_t>(10'000 + getpid() % 2'500 * 4);
const auto readiness_port = static_cast<uint16_t>(callers_port + 1);
const auto peers_port = static_cast<uint16_t>(callers_port + 2);
constexpr const char* entry_box = "127.0.48.1";
constexpr const char* leader_box = "127.0.48.2";
constexpr milliseconds stop_time{6'000};
constexpr milliseconds retry_pause{20};
constexpr std::chrono::seconds start_patience{60};

/// A leader that takes calls and answers none.
class silent_leader {
 public:
  silent_leader() : mesh_(io_, clock_, box_id(leader_box), peers_port) {
    peer_mesh::handlers handlers;
    handlers.on_message = greet_as_leader(leader_box);
    handlers.on_request = [](const auto&, const auto&) {};
    mesh_.set_handlers(std::move(handlers));
    CHECK_TRUE(mesh_.listen().ok());
    thread_ = std::thread([this] { io_.run(); });
  }
  ~silent_leader() {
    io_.stop();
    thread_.join();
    mesh_.close();
  }

 private:
  boost::asio::io_context io_;
  boot_clock clock_;
  peer_mesh mesh_;
  std::thread thread_;
};

std::string settings_text() {
  return str_cat(R"({"box":")", entry_box, R"(","name":"e","role":"entry",)",
                 R"("data_centre":"z","stop_time":")", stop_time.count(),
                 R"(ms","peer_port":)", peers_port, R"(,"seeds":[")",
                 leader_box, ":", peers_port, R"("],"listen":{"callers":")",
                 entry_box, ":", callers_port, R"(","readiness":")", entry_box,
                 ":", readiness_port, "\"}}");
}

/// The process of an entry box, in a thread of its own.
class entry_process {
 public:
  entry_process()
      : file_(std::filesystem::temp_directory_path() /
              str_cat("planned-stop-", getpid(), ".json")) {
    std::ofstream(file_) << settings_text();
    auto settings = parse_seeded_settings(file_, settings_text());
    CHECK_TRUE(std::holds_alternative<seeded_settings>(settings));
    process_ = std::make_unique<seeded_process>(
        file_, std::get<seeded_settings>(std::move(settings)));
    thread_ = std::thread([this] {
      started_ = process_->run();
      ended_at_ = steady_clock::now();
    });
  }
  ~entry_process() {
    if (thread_.joinable()) {
      stop();
      thread_.join();
    }
    std::filesystem::remove(file_);
  }
  void stop() {
    stop_at_ = steady_clock::now();
    ::kill(getpid(), SIGTERM);
  }
  /// Waits for its end; how long the stop took.
  milliseconds end() {
    thread_.join();
    CHECK_TRUE(started_.ok());
    return std::chrono::duration_cast<milliseconds>(ended_at_ - stop_at_);
  }
  steady_clock::time_point stop_at() const { return stop_at_; }

 private:
  std::string file_;
  std::unique_ptr<seeded_process> process_;
  absl::Status started_;
  steady_clock::time_point stop_at_;
  steady_clock::time_point ended_at_;
  std::thread thread_;
};

/// A caller's connection.
class caller {
 public:
  bool connect() {
    boost::system::error_code ec;
    socket_.connect({boost::asio::ip::make_address(entry_box), callers_port},
                    ec);
    if (ec) socket_.close();
    return !ec;
  }
  /// The answer's status; 0 when the connection ends without one.
  unsigned hand_in(milliseconds deadline) {
    http::request<http::string_body> request(
        http::verb::post, "/plans/00000000000000aa", http_version);
    request.set(http::field::host, "plans.example");
    request.set(platform::deadline_header, std::to_string(deadline.count()));
    request.body() = R"({"Spec":"s","Steps":[{"Count":1,"Cpu":1}]})";
    request.prepare_payload();
    boost::system::error_code ec;
    http::write(socket_, request, ec);
    if (ec) return 0;
    boost::beast::flat_buffer buf;
    http::response<http::string_body> response;
    http::read(socket_, buf, response, ec);
    return ec ? 0 : response.result_int();
  }

 private:
  static constexpr unsigned http_version = 11;
  boost::asio::io_context io_;
  tcp::socket socket_{io_};
};

struct late_request {
  const char* name;
  /// Since the stop began.
  milliseconds sent;
  milliseconds deadline;
  bool on_open_connection;
};

/// Plays a stop; the status that each request got, in order.
std::vector<unsigned> statuses_in_a_stop(
    entry_process& box, const std::vector<late_request>& requests) {
  std::vector<caller> callers(requests.size());
  for (size_t i = 0; i < requests.size(); ++i) {
    if (requests[i].on_open_connection) CHECK_TRUE(callers[i].connect());
  }
  box.stop();
  std::vector<unsigned> out(requests.size());
  std::vector<std::thread> threads;
  for (size_t i = 0; i < requests.size(); ++i) {
    threads.emplace_back([&, i] {
      std::this_thread::sleep_until(box.stop_at() + requests[i].sent);
      if (!requests[i].on_open_connection && !callers[i].connect()) return;
      out[i] = callers[i].hand_in(requests[i].deadline);
    });
  }
  for (std::thread& it : threads) it.join();
  return out;
}

/// Asks until the box answers with that status, as it does once it runs.
bool answers(unsigned status) {
  const auto end = steady_clock::now() + start_patience;
  while (steady_clock::now() < end) {
    caller it;
    if (it.connect() && it.hand_in(milliseconds(100)) == status) return true;
    std::this_thread::sleep_for(retry_pause);
  }
  return false;
}

}  // namespace

TEST_GROUP(planned_stop){};

// A quiet box ended 3 s into its stop and cut off the request of that moment.
TEST(planned_stop, request_is_cut_as_a_quiet_box_ends) {
  entry_process box;
  CHECK_TRUE(answers(503));
  const std::vector<late_request> rows = {
      {"at the stop's begin", milliseconds(0), milliseconds(3'000), true},
      {"before 3 s", milliseconds(2'800), milliseconds(3'000), true},
      {"after 3 s", milliseconds(3'300), milliseconds(3'000), true},
      {"on a new connection", milliseconds(4'000), milliseconds(3'000), false},
      {"near the stop's end", milliseconds(4'800), milliseconds(3'000), true},
  };
  const std::vector<unsigned> statuses = statuses_in_a_stop(box, rows);
  const milliseconds length = box.end();
  for (size_t i = 0; i < rows.size(); ++i) {
    LONGS_EQUAL_TEXT(503, statuses[i], rows[i].name);
  }
  CHECK_TRUE(length < stop_time);
}

// A request was cut off at the stop's end, with time left to its deadline.
TEST(planned_stop, request_without_an_answer_is_cut_at_the_stops_end) {
  silent_leader leader;
  entry_process box;
  CHECK_TRUE(answers(504));
  const std::vector<late_request> rows = {
      {"late", milliseconds(4'000), milliseconds(3'000), true},
      {"from its begin, with more time than the stop has", milliseconds(0),
       milliseconds(20'000), true},
  };
  const std::vector<unsigned> statuses = statuses_in_a_stop(box, rows);
  const milliseconds length = box.end();
  for (size_t i = 0; i < rows.size(); ++i) {
    LONGS_EQUAL_TEXT(504, statuses[i], rows[i].name);
  }
  CHECK_TRUE(length < stop_time);
}

// A reload during a box's start ended the process: the signal came before it
// was watched.
TEST(planned_stop, reload_during_the_start_ends_the_box) {
  const std::string file = std::filesystem::temp_directory_path() /
                           str_cat("early-reload-", getpid(), ".json");
  auto settings = parse_seeded_settings(file, settings_text());
  seeded_process it(file, std::get<seeded_settings>(std::move(settings)));
  for (const int signal : {SIGHUP, SIGTERM}) LONGS_EQUAL(0, raise(signal));
}
