// How much a source sends to a subscriber behind a slow link, for any pattern
// of requests.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "base/text.h"
#include "record/feed.h"

using namespace kestrelreel;

namespace {

struct virtual_clock final : clock_source {
  time_point now() const override { return at; }
  time_point at{1'000};
};

constexpr size_t kilobyte = 1'000;
constexpr int tick_ms = 100;
/// Bytes that may be sent in excess of the missing bytes.
constexpr size_t max_excess_bytes = 600 * kilobyte;
/// Bound on the bytes in flight to a subscriber without progress.
constexpr size_t max_unacknowledged = 300 * kilobyte;

struct scenario {
  const char* name;
  // Rate of the link; 0: nothing arrives.
  int bytes_per_ms;
  int seconds;
  // Entries that the subscriber lacks; with `snapshot`, they are sent as a
  // snapshot.
  size_t entries;
  size_t entry_bytes;
  bool snapshot;
  // Interval at which the last request is duplicated; 0: never.
  int repeat_ms = 0;
  // Interval at which delayed requests arrive, all at once; 0: no delay.
  int request_delay_ms = 0;
  // Lost messages, in percent.
  unsigned loss_percent = 0;
  // The subscriber runs an earlier version, which sends requests only at its
  // own interval and doesn't support snapshot parts.
  bool earlier_version = false;
  // A second live source exists, and never answers.
  bool other_source = false;
};

struct message_in_flight {
  int due;
  proto::peer_message m;
};

/// A source and a subscriber.
class slow_feed {
 public:
  explicit slow_feed(const scenario& it)
      : scenario_(it), boxes_(box_id("fed"), entries_, clock_) {
    for (size_t i = 0; i < it.entries; ++i) commit();
    if (it.snapshot) source_.on_installed();
  }

  void advance(int ms) {
    for (const int end = now_ + ms; now_ < end;) step();
  }

  size_t missing_bytes() const {
    return scenario_.entries * scenario_.entry_bytes;
  }
  size_t sent() const { return sent_; }
  bool caught_up() const {
    return subscriber_state_.applied() == state_.applied();
  }

 private:
  void commit() {
    proto::command command;
    proto::state_change& it = *command.mutable_change();
    it.set_request_id(str_cat("c", state_.version()));
    it.set_replaces(state_.version());
    it.set_version(state_.version() + 1);
    it.set_digest(state_.version() + 1);
    it.set_author(std::string(scenario_.entry_bytes, 'a'));
    proto::log_entry entry;
    entry.set_index(state_.applied() + 1);
    entry.set_kind(proto::entry_command);
    entry.set_payload(command.SerializeAsString());
    state_.apply(entry);
    source_.on_applied(entry);
  }

  void step() {
    ++now_;
    clock_.at += milliseconds(1);
    if (now_ % tick_ms == 0) {
      proto::box_digest ahead;
      ahead.set_applied(state_.applied());
      boxes_.record_heartbeat(box_id("source"), 1, ahead);
      if (scenario_.other_source)
        boxes_.record_heartbeat(box_id("silent"), 1, ahead);
      sink_.tick(subscriber_state_.applied());
      source_.flush();
    }
    const int interval = scenario_.repeat_ms;
    if (interval > 0 && now_ % interval == 0)
      requests_.push_back(last_request_);
    const int delay = scenario_.request_delay_ms;
    if (delay == 0 || now_ % delay == 0) {
      for (const auto& it : std::exchange(requests_, {})) {
        source_.on_request(box_id("fed"), it, "leader");
      }
    }
    while (!link_.empty() && link_.front().due <= now_) {
      const proto::peer_message m = std::move(link_.front().m);
      link_.pop_front();
      if (random_.below(100) >= scenario_.loss_percent) receive_reply(m.fed());
    }
  }

  void request(proto::feed_request it) {
    if (scenario_.earlier_version) {
      const uint64_t applied = it.applied();
      it.Clear();
      it.set_applied(applied);
    }
    last_request_ = it;
    requests_.push_back(it);
  }

  void receive_reply(proto::feed_reply reply) {
    const box_id from("source");
    const auto* whole = sink_.take_snapshot(from, reply);
    if (whole) subscriber_state_.install(*whole);
    for (const auto& it : reply.entries()) subscriber_state_.apply(it);
    if (scenario_.earlier_version) reply.set_acknowledge(false);
    sink_.on_reply(from, reply, subscriber_state_.applied());
  }

  void send_on_link(proto::peer_message m) {
    const size_t n = m.ByteSizeLong();
    sent_ += n;
    if (scenario_.bytes_per_ms == 0) return;
    link_free_at_ = std::max(link_free_at_, static_cast<double>(now_)) +
                    static_cast<double>(n) / scenario_.bytes_per_ms;
    link_.push_back({static_cast<int>(link_free_at_) + 1, std::move(m)});
  }

  scenario scenario_;
  virtual_clock clock_;
  seeded_random random_{1};
  record_state state_;
  record_state subscriber_state_;
  feed_source source_{state_, clock_, [this](const box_id&, auto m) {
                        send_on_link(std::move(m));
                      }};
  std::vector<box_entry> entries_{
      {box_id("source"), data_centre_id("d"), "", true},
      {box_id("silent"), data_centre_id("d"), "", true},
      {box_id("fed"), data_centre_id("d"), "", false}};
  box_table boxes_;
  feed_sink sink_{boxes_, clock_, [this](const box_id& to, const auto& m) {
                    if (to == box_id("source")) request(m.feed());
                  }};
  proto::feed_request last_request_;
  std::deque<message_in_flight> link_;
  std::deque<proto::feed_request> requests_;
  int now_ = 0;
  double link_free_at_ = 0;
  size_t sent_ = 0;
};

void check_sent_at_most(size_t limit, size_t found, const scenario& it) {
  CHECK_TEXT(found <= limit,
             str_cat(it.name, ": sent ", found, " of ", limit).c_str());
}

}  // namespace

TEST_GROUP(feed_window){};

// Guards against sending all missing data again at each request, although it is
// already in flight.
TEST(feed_window, a_slow_subscriber_gets_missing_data_about_once) {
  const scenario rows[] = {
      {"snapshot", 1'000, 10, 700, kilobyte, true},
      {"snapshot, slow", 200, 20, 700, kilobyte, true},
      {"snapshot, duplicate requests", 200, 20, 700, kilobyte, true, 100},
      {"snapshot, requests in bursts", 200, 30, 700, kilobyte, true, 0, 2'000},
      {"snapshot, requests after the subscription timeout", 200, 40, 700,
       kilobyte, true, 0, 5'000},
      {"large snapshot", 1'000, 60, 15'000, kilobyte, true},
      {"snapshot, another source", 200, 20, 700, kilobyte, true, 0, 0, 0, false,
       true},
      {"large snapshot, another source", 1'000, 60, 15'000, kilobyte, true, 0,
       0, 0, false, true},
      {"entries, another source", 200, 60, 3'000, kilobyte, false, 0, 0, 0,
       false, true},
      {"late requests, another source", 200, 40, 700, kilobyte, true, 0, 5'000,
       0, false, true},
      {"entries", 1'000, 20, 3'000, kilobyte, false},
      {"entries, slow", 200, 60, 3'000, kilobyte, false},
      {"entries, duplicate requests", 200, 60, 3'000, kilobyte, false, 100},
      {"entries, requests in bursts", 400, 60, 3'000, kilobyte, false, 0,
       2'000},
      {"small entries", 1'000, 20, 15'000, 100, false},
      {"snapshot, earlier version", 200, 20, 700, kilobyte, true, 0, 0, 0,
       true},
      {"entries, earlier version", 1'000, 20, 3'000, kilobyte, false, 0, 0, 0,
       true},
  };
  for (const scenario& it : rows) {
    slow_feed feed(it);
    feed.advance(it.seconds * 1'000);
    CHECK_TEXT(feed.caught_up(), str_cat(it.name, ": not caught up").c_str());
    // Each entry has up to 60 bytes of overhead; small entries nearly double in
    // size.
    const size_t overhead = it.entries * 60;
    // Each request that arrives after the retry delay causes the data in flight
    // to be sent again.
    const size_t late_request_bytes =
        it.request_delay_ms > 2'000 ? max_excess_bytes : 0;
    check_sent_at_most(
        feed.missing_bytes() + overhead + max_excess_bytes + late_request_bytes,
        feed.sent(), it);
  }
}

// Guards against sending a subscriber without progress 0.5 MB or the whole
// state at each request.
TEST(feed_window, data_in_flight_without_progress_is_bounded) {
  const scenario rows[] = {
      {"entries for 3 s", 0, 3, 3'000, kilobyte, false},
      {"entries, duplicate requests", 0, 3, 3'000, kilobyte, false, 100},
      {"small entries", 0, 3, 25'000, 80, false},
      {"more entries than the source keeps", 0, 3, 50'000, 80, false},
      {"snapshot", 0, 3, 700, kilobyte, true},
      {"snapshot, duplicate requests", 0, 3, 700, kilobyte, true, 100},
      {"large snapshot", 0, 3, 15'000, kilobyte, true},
  };
  for (const scenario& it : rows) {
    slow_feed feed(it);
    feed.advance(it.seconds * 1'000);
    check_sent_at_most(2 * max_unacknowledged, feed.sent(), it);
    feed.advance(27'000);
    check_sent_at_most(10 * max_unacknowledged, feed.sent(), it);
  }
}

TEST(feed_window, lost_data_is_sent_again) {
  const scenario rows[] = {
      {"entries", 1'000, 60, 1'000, kilobyte, false, 0, 0, 20},
      {"snapshot", 1'000, 60, 700, kilobyte, true, 0, 0, 20},
      {"entries, earlier version", 1'000, 60, 1'000, kilobyte, false, 0, 0, 20,
       true},
      {"snapshot, earlier version", 1'000, 60, 700, kilobyte, true, 0, 0, 20,
       true},
  };
  for (const scenario& it : rows) {
    slow_feed feed(it);
    feed.advance(it.seconds * 1'000);
    CHECK_TEXT(feed.caught_up(), str_cat(it.name, ": not caught up").c_str());
  }
}
