// An operator was told that no box was reached (exit code 6) although one had
// read the change and may have accepted it: the box stopped while the change
// waited, and said that its outcome is not known; the next address in --via was
// down, and the client took its answer for all. Whoever reads "no box reached"
// makes the change anew under another id. What shows it is the row "stops, then
// nobody": on the code as it was it gave `Unavailable`.
#include "cli/client.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/text.h"
#include "net/grpc-server.h"
#include "net/operator-server.h"

using namespace kestrelreel;

namespace {

const int first_port = 20'000 + getpid() % 5'000 * 2;

enum class box { accepts, conflicts, stops, absent };

/// A box that does one thing with each change.
class scripted_box final : public operator_handler {
 public:
  scripted_box(box does, const std::string& address) : does_(does) {
    if (does == box::absent) return;
    calls_ = std::make_unique<operator_server>(io_, *this);
    auto server = start_grpc_server(address, *calls_);
    CHECK_TRUE(server.ok());
    server_ = std::move(*server);
    thread_ = std::thread([this] { io_.run(); });
  }
  ~scripted_box() override {
    if (server_) stop_grpc_server(*server_);
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }
  void apply(const proto::apply_request&, proto::apply_reply&,
             done_function done) override {
    ++changes;
    switch (does_) {
      case box::conflicts:
        return done(absl::InvalidArgumentError("conflict"));
      case box::stops:
        return done(absl::UnavailableError("this box stops; not known"));
      default:
        return done(absl::OkStatus());
    }
  }
  void get(const proto::get_request&, proto::get_reply&,
           done_function done) override {
    done(absl::OkStatus());
  }
  void status(const proto::status_request&, proto::status_reply&,
              done_function done) override {
    done(absl::OkStatus());
  }
  void tasks(const proto::tasks_request&, proto::tasks_reply&,
             done_function done) override {
    done(absl::OkStatus());
  }
  std::atomic<int> changes = 0;

 private:
  box does_;
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{io_.get_executor()};
  std::unique_ptr<operator_server> calls_;
  std::unique_ptr<grpc::Server> server_;
  std::thread thread_;
};

}  // namespace

TEST_GROUP(operator_client){};

TEST(operator_client, a_change_that_a_box_has_read_may_be_accepted) {
  using enum box;
  struct {
    const char* name;
    std::vector<box> boxes;
    absl::StatusCode code;
  } const rows[] = {
      {"nobody", {absent, absent}, absl::StatusCode::kUnavailable},
      {"stops, then nobody",
       {stops, absent},
       absl::StatusCode::kDeadlineExceeded},
      {"nobody, then stops",
       {absent, stops},
       absl::StatusCode::kDeadlineExceeded},
      {"stops, then refuses",
       {stops, conflicts},
       absl::StatusCode::kDeadlineExceeded},
      {"refuses", {conflicts, absent}, absl::StatusCode::kInvalidArgument},
      {"stops, then accepts", {stops, accepts}, absl::StatusCode::kOk},
      {"nobody, then accepts", {absent, accepts}, absl::StatusCode::kOk},
      {"nobody, then refuses",
       {absent, conflicts},
       absl::StatusCode::kInvalidArgument},
  };
  for (const auto& row : rows) {
    std::vector<std::string> addresses;
    std::vector<std::unique_ptr<scripted_box>> boxes;
    for (size_t i = 0; i < row.boxes.size(); ++i) {
      addresses.push_back(
          str_cat("127.0.49.1:", first_port + static_cast<int>(i)));
      boxes.push_back(
          std::make_unique<scripted_box>(row.boxes[i], addresses.back()));
    }
    operator_client client(addresses, milliseconds(20'000));
    const auto reply = client.apply({});
    const std::string what = str_cat(row.name, ": ", reply.status().ToString());
    CHECK_TRUE_TEXT(reply.status().code() == row.code, what.c_str());
  }
}
