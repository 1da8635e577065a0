// A control box that passes a request on to the leader answers for a try that
// it does not see to its end. What its connection has carried may be in the
// leader's log: without the leader's word it may say `unknown` alone.
#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>

#include "daemon/fleet-record-service.h"
#include "daemon/mesh-service.h"

using namespace kestrelreel;

namespace {

const auto relay_port = static_cast<uint16_t>(20'000 + getpid() % 10'000);
constexpr const char* relay_box = "127.0.48.1";
constexpr const char* leader_box = "127.0.48.2";
constexpr const char* asker_box = "127.0.48.3";
constexpr std::chrono::seconds relay_patience{60};
constexpr std::chrono::milliseconds heartbeat{100};
constexpr uint64_t leader_term = 5;

/// What the leader does with a call that it has read.
enum class leader_does {
  answers,
  stays_silent,
  closes,
  /// Closes, and takes no new connection.
  goes_away
};

}  // namespace

TEST_GROUP(relay) {
  seeded_context context;
  service_registry registry;
  std::unique_ptr<peer_mesh> leader;
  std::unique_ptr<peer_mesh> asker;
  std::string folder;
  leader_does does = leader_does::answers;
  fleet::fleet_status says = fleet::fleet_ok;
  int calls = 0;
  bool relayed = false;
  std::chrono::steady_clock::time_point beat_at{};

  void setup() override {
    char name[] = "/tmp/kestrelreel-relay-XXXXXX";
    folder = ::mkdtemp(name);
    context.settings.role = seeded_role::control;
    context.settings.box = box_id(relay_box);
    context.settings.peer_port = relay_port;
    context.settings.found_cluster = true;
    context.settings.data_folder = folder;
    context.settings.seeds = {box_id(relay_box), box_id(leader_box),
                              box_id(asker_box)};
    CHECK_TRUE(registry.add(std::make_unique<mesh_service>(context)).ok());
    CHECK_TRUE(
        registry.add(std::make_unique<fleet_record_service>(context)).ok());
    CHECK_TRUE(registry.start().ok());
    start_leader();
    asker = make_mesh(asker_box);
  }
  void teardown() override {
    asker->close();
    leader->close();
    registry.stop();
    std::filesystem::remove_all(folder);
  }
  std::unique_ptr<peer_mesh> make_mesh(const char* box) {
    auto mesh = std::make_unique<peer_mesh>(context.io, context.clock,
                                            box_id(box), relay_port);
    peer_mesh::handlers handlers;
    handlers.on_message = [](const auto&, const auto&, const auto&) {};
    handlers.on_request = [](const auto&, const auto& respond) { respond({}); };
    mesh->set_handlers(handlers);
    return mesh;
  }
  void start_leader() {
    leader = make_mesh(leader_box);
    peer_mesh::handlers handlers;
    handlers.on_message = [](const auto&, const auto&, const auto&) {};
    handlers.on_request = [this](const auto& frame, const auto& respond) {
      ++calls;
      relayed = frame.relayed();
      if (does == leader_does::stays_silent) return;
      if (does == leader_does::answers) {
        fleet::fleet_response response;
        response.set_status(says);
        return respond(response);
      }
      // Not from within the connection's own handler.
      boost::asio::post(context.io, [this] {
        leader->close();
        if (does == leader_does::closes) start_leader();
      });
    };
    leader->set_handlers(handlers);
    CHECK_TRUE(leader->listen().ok());
  }
  /// The relay takes the leader for one while it hears it.
  void lead() {
    const auto now = std::chrono::steady_clock::now();
    if (now - beat_at < heartbeat) return;
    beat_at = now;
    fleet::fleet_frame frame;
    proto::raft_message& m = *frame.mutable_raft();
    m.set_kind(proto::raft_append);
    m.set_from(leader_box);
    m.set_from_identity("founder");
    m.set_to(relay_box);
    m.set_term(leader_term);
    leader->send(box_id(relay_box), frame);
  }
  template <typename Holds>
  bool eventually(const Holds& holds, bool leads = true) {
    const auto end = std::chrono::steady_clock::now() + relay_patience;
    while (std::chrono::steady_clock::now() < end) {
      if (holds()) return true;
      if (leads) lead();
      context.io.run_one_for(std::chrono::milliseconds(20));
    }
    return false;
  }
  fleet_record_service& service() {
    return *registry.find<fleet_record_service>(seeded_names::record);
  }
  static fleet::fleet_request submission() {
    fleet::fleet_request request;
    request.mutable_job()->set_job(7);
    request.mutable_job()->mutable_submit()->set_job(7);
    return request;
  }
  /// By the box itself, as its own front asks.
  fleet::fleet_response ask_here(milliseconds limit) {
    std::optional<fleet::fleet_response> out;
    service().ask(submission(), limit,
                  [&](const fleet::fleet_response& it) { out = it; });
    CHECK_TRUE(eventually([&] { return out.has_value(); }));
    return *out;
  }
  /// By another box, as an entry box asks.
  fleet::fleet_response ask_from_afar(bool passed_on) {
    std::optional<fleet::fleet_response> out;
    asker->call(box_id(relay_box), submission(), passed_on,
                milliseconds(10'000),
                [&](const fleet::fleet_response& it) { out = it; });
    CHECK_TRUE(eventually([&] { return out.has_value(); }));
    return *out;
  }
  /// Until the relay has found the leader and calls reach it.
  void follow() {
    does = leader_does::answers;
    calls = 0;
    CHECK_TRUE(eventually([this] {
      std::optional<fleet::fleet_response> out;
      service().ask(submission(), milliseconds(500),
                    [&](const fleet::fleet_response& it) { out = it; });
      eventually([&] { return out.has_value(); });
      return calls > 0;
    }));
    calls = 0;
  }
};

TEST(relay, leaders_word_is_passed_on_as_it_is) {
  follow();
  for (const auto status :
       {fleet::fleet_ok, fleet::fleet_unavailable, fleet::fleet_refused,
        fleet::fleet_no_queue, fleet::fleet_no_job, fleet::fleet_invalid,
        fleet::fleet_unknown}) {
    says = status;
    LONGS_EQUAL(status, ask_here(milliseconds(10'000)).status());
    LONGS_EQUAL(status, ask_from_afar(false).status());
    CHECK_TRUE(relayed);
  }
}

TEST(relay, a_call_without_the_leaders_answer_may_have_run) {
  struct {
    const char* name;
    leader_does does;
  } const rows[] = {
      {"silent", leader_does::stays_silent},
      {"closes", leader_does::closes},
      {"goes away", leader_does::goes_away},
  };
  for (const auto& row : rows) {
    for (const bool afar : {false, true}) {
      follow();
      does = row.does;
      const bool silent = row.does == leader_does::stays_silent;
      const milliseconds limit(silent ? 1'000 : 10'000);
      const auto response = afar ? ask_from_afar(false) : ask_here(limit);
      CHECK_TRUE_TEXT(eventually([this] { return calls == 1; }), row.name);
      LONGS_EQUAL_TEXT(fleet::fleet_unknown, response.status(), row.name);
      if (row.does == leader_does::goes_away) start_leader();
    }
  }
}

// Nothing was sent, as no connection stood and none could be made.
TEST(relay, a_leader_out_of_reach_was_asked_nothing) {
  follow();
  leader->close();
  // Its old connection is noticed to be closed, and the next dial is refused.
  context.io.run_for(std::chrono::milliseconds(200));
  std::optional<fleet::fleet_response> out;
  service().ask(submission(), milliseconds(5'000),
                [&](const fleet::fleet_response& it) { out = it; });
  CHECK_TRUE(eventually([&] { return out.has_value(); }, false));
  LONGS_EQUAL(fleet::fleet_unavailable, out->status());
  LONGS_EQUAL(0, calls);
}

// A call that was passed on once ends here, so that two boxes which take each
// other for the leader don't pass it to and fro.
TEST(relay, what_was_passed_on_is_not_passed_on_again) {
  follow();
  LONGS_EQUAL(fleet::fleet_unavailable, ask_from_afar(true).status());
  LONGS_EQUAL(0, calls);
}

TEST(relay, without_a_leader_nobody_is_asked) {
  std::optional<fleet::fleet_response> out;
  service().ask(submission(), milliseconds(5'000),
                [&](const fleet::fleet_response& it) { out = it; });
  CHECK_TRUE(eventually([&] { return out.has_value(); }, false));
  LONGS_EQUAL(fleet::fleet_unavailable, out->status());
  LONGS_EQUAL(0, calls);
}

// A stop that is under way takes nothing any more, and says so.
TEST(relay, a_stopped_box_takes_nothing) {
  follow();
  service().stop();
  LONGS_EQUAL(fleet::fleet_unavailable, ask_here(milliseconds(5'000)).status());
  LONGS_EQUAL(0, calls);
}
