// Peers and operators whose messages don't come whole, or who read nothing.
#include <cstdint>
#include <string>

#include "proto/fleet.pb.h"
#include "support/crowds/crowd-test-parts.h"

using namespace kestrelreel;
using namespace kestrelreel::crowds;

// A frame's bytes were kept before it was known whose they are.
TEST_GROUP(unfinished_frames) { verdict_list all; };

TEST(unfinished_frames, control_box) {
  constexpr size_t n = 50;
  constexpr uint32_t size = 8 << 20;
  constexpr size_t missing = 6;
  transmission frame;
  frame.head.assign(reinterpret_cast<const char*>(&size), sizeof(size));
  frame.pattern = letters;
  frame.repeated_bytes = size - missing;
  play_at_control({{"frames", {{seeded_pair::peers(), n, frame}}, {heartbeat}}},
                  all);
  all.check();
}

// What a peer asked for was kept until it was read.
TEST_GROUP(unread_frames) { verdict_list all; };

TEST(unread_frames, control_box) {
  constexpr size_t n = 30;
  constexpr size_t questions = 20;
  constexpr size_t routes = 3'000;
  fleet::fleet_frame question;
  question.set_from("127.0.52.9");
  question.set_call(1);
  question.mutable_request()->set_get_config(true);
  const std::string message = question.SerializeAsString();
  const auto size = static_cast<uint32_t>(message.size());
  transmission asked;
  asked.pattern.assign(reinterpret_cast<const char*>(&size), sizeof(size));
  asked.pattern += message;
  asked.repeated_bytes = asked.pattern.size() * questions;
  asked.reads = false;
  play_at_control(
      {{"answers", {{seeded_pair::peers(), n, asked}}, {heartbeat}}}, all,
      routes);
  all.check();
}

// Each message was kept until it was whole, however long it was said to be.
TEST_GROUP(unfinished_messages) { verdict_list all; };

TEST(unfinished_messages, listed_box) {
  constexpr size_t n = 50;
  constexpr uint32_t length = 60 << 20;
  constexpr size_t sent = 8 << 20;
  play_at_listed({{"operators",
                   {{listed_box::operators(),
                     n,
                     {},
                     {"/kestrelreel.proto.operator_api/apply", length, sent}}},
                   {an_operator}},
                  {"peers",
                   {{listed_box::peers(),
                     n,
                     {},
                     {"/kestrelreel.proto.peer/deliver", length, sent}}},
                   {an_operator}}},
                 all);
  all.check();
}
