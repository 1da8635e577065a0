// An entry box's gateway and a leader that does with each try what its test
// says, over a real mesh.
#pragma once

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/entry-gateway-service.h"
#include "daemon/leader-test-parts.h"
#include "daemon/mesh-service.h"

namespace kestrelreel {

inline const auto gateway_port =
    static_cast<uint16_t>(20'000 + getpid() % 10'000);
constexpr const char* entry_box = "127.0.46.1";
constexpr const char* leader_box = "127.0.46.2";
constexpr std::chrono::seconds gateway_patience{60};
/// Of callers that wait for longer than the box holds.
constexpr milliseconds long_limit{10'000};

/// What the leader does with one try; `silent` leaves it without an answer, and
/// `later` until the test gives it one.
enum class reply {
  silent,
  later,
  ok,
  refused,
  no_queue,
  no_job,
  invalid,
  unavailable
};

inline fleet::fleet_status status_of(reply it) {
  switch (it) {
    case reply::ok:
      return fleet::fleet_ok;
    case reply::refused:
      return fleet::fleet_refused;
    case reply::no_queue:
      return fleet::fleet_no_queue;
    case reply::no_job:
      return fleet::fleet_no_job;
    case reply::invalid:
      return fleet::fleet_invalid;
    case reply::unavailable:
      return fleet::fleet_unavailable;
    case reply::silent:
    case reply::later:
      break;
  }
  return fleet::fleet_unknown;
}

enum class asked { submit, state, cancel };

inline fleet::fleet_request request_of(asked what) {
  fleet::fleet_request request;
  fleet::job_call& job = *request.mutable_job();
  job.set_job(7);
  if (what == asked::submit) job.mutable_submit()->set_job(7);
  if (what == asked::state) job.set_state(true);
  if (what == asked::cancel) job.set_cancel(true);
  return request;
}

struct gateway_world {
  seeded_context context;
  service_registry registry;
  std::unique_ptr<peer_mesh> leader;
  std::vector<reply> replies;
  size_t tries = 0;
  std::vector<time_point> tried_at;
  fleet::box_hello hello = hello_of_leader(leader_box);
  std::vector<peer_mesh::respond_function> waiting;
  std::vector<fleet::fleet_response> answers;

  void begin() {
    context.settings.box = box_id(entry_box);
    context.settings.peer_port = gateway_port;
    context.settings.seeds = {box_id(leader_box)};
    hello.set_config_version(1);
    start_leader();
    CHECK_TRUE(registry.add(std::make_unique<mesh_service>(context)).ok());
    CHECK_TRUE(
        registry.add(std::make_unique<entry_gateway_service>(context)).ok());
    CHECK_TRUE(registry.start().ok());
  }
  void start_leader() {
    leader = std::make_unique<peer_mesh>(context.io, context.clock,
                                         box_id(leader_box), gateway_port);
    peer_mesh::handlers handlers;
    handlers.on_message = greet_with(leader_box, [this] { return hello; });
    handlers.on_request = [this](const auto&, const auto& respond) {
      const reply it = replies.at(std::min(tries, replies.size() - 1));
      ++tries;
      tried_at.push_back(context.clock.now());
      if (it == reply::silent) return;
      if (it == reply::later) return waiting.push_back(respond);
      fleet::fleet_response response;
      response.set_status(status_of(it));
      respond(response);
    };
    leader->set_handlers(handlers);
    CHECK_TRUE(leader->listen().ok());
  }
  ~gateway_world() {
    registry.stop();
    if (leader) leader->close();
  }
  /// The leader goes away, and the box has noticed.
  void lose_leader() {
    leader->close();
    run_for(milliseconds(100));
  }
  entry_gateway_service& gateway() {
    return *registry.find<entry_gateway_service>(seeded_names::gateway);
  }
  template <typename Holds>
  bool eventually(const Holds& holds) {
    const auto end = std::chrono::steady_clock::now() + gateway_patience;
    while (std::chrono::steady_clock::now() < end) {
      if (holds()) return true;
      context.io.run_one_for(std::chrono::milliseconds(20));
    }
    return false;
  }
  fleet::fleet_status ask(asked what, std::vector<reply> of,
                          milliseconds limit = milliseconds(1'500)) {
    replies = std::move(of);
    tries = 0;
    tried_at.clear();
    CHECK_TRUE(eventually([this] { return gateway().ready(); }));
    std::optional<fleet::fleet_status> status;
    gateway().ask(
        request_of(what), limit,
        [&](const fleet::fleet_response& it) { status = it.status(); });
    CHECK_TRUE(eventually([&] { return status.has_value(); }));
    return *status;
  }
  void run_for(milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      context.io.run_one_for(std::chrono::milliseconds(5));
    }
  }
  uint64_t held() {
    return context.metrics.counter("kestrelreel_submissions_held_total");
  }
  uint64_t released() {
    return context.metrics.counter("kestrelreel_submissions_released_total");
  }
  /// Submissions of that many bytes come; their answers go to `answers`.
  void submit(size_t n, milliseconds limit, size_t bytes = 0) {
    fleet::fleet_request request = request_of(asked::submit);
    request.mutable_job()->mutable_submit()->set_text(std::string(bytes, 'x'));
    for (size_t i = 0; i < n; ++i) {
      gateway().ask(request, limit, [this](const fleet::fleet_response& it) {
        answers.push_back(it);
      });
    }
  }
  /// So many are held while the leader does that with each try, or is away.
  void hold(size_t n, std::optional<reply> at_leader) {
    context.settings.hold_without_leader = true;
    replies = {at_leader.value_or(reply::ok)};
    CHECK_TRUE(eventually([this] { return gateway().ready(); }));
    if (!at_leader) lose_leader();
    submit(n, long_limit);
    CHECK_TRUE(eventually([&] { return held() == n; }));
    LONGS_EQUAL(0, answers.size());
    tries = 0;
  }
};

/// For test groups whose tests have one each.
struct gateway_group : public Utest, public gateway_world {
  void setup() override { begin(); }
};

}  // namespace kestrelreel
