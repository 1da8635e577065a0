// Which log entries are decoded, skipped, or rejected, which ends the process.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/log-command.h"

using namespace kestrelreel;

namespace {

std::string make_cancel() {
  fleet::fleet_command command;
  command.mutable_cancel()->add_jobs(7);
  return command.SerializeAsString();
}

/// A batch with a cancel and, unless `known`, a command without a kind, as this
/// version reads one whose kind a later version adds.
std::string make_batch(bool known) {
  fleet::fleet_command command;
  command.mutable_batch()->add_commands()->mutable_cancel()->add_jobs(7);
  if (!known) command.mutable_batch()->add_commands()->set_token(3);
  return command.SerializeAsString();
}

/// An encoded protobuf field with this number that holds a one-byte string.
std::string make_field(int number) {
  constexpr int length_delimited = 2;
  constexpr int low_bits = 0x7f;
  const int tag = number << 3 | length_delimited;
  return {static_cast<char>((tag & low_bits) | ~low_bits),
          static_cast<char>(tag >> 7), 1, 'x'};
}

enum class outcome { decoded, skipped, rejected };

struct row {
  const char* name;
  int kind;
  std::string payload;
  outcome expected;
};
constexpr int later_kind = 9;
constexpr int later_field = 90;
const std::string cancel = make_cancel();
const row rows[] = {
    {"a command", proto::entry_command, cancel, outcome::decoded},
    {"a batch", proto::entry_command, make_batch(true), outcome::decoded},
    {"a command with a field of a later version", proto::entry_command,
     cancel + make_field(later_field), outcome::decoded},
    {"a leader's first entry", proto::entry_noop, "", outcome::skipped},
    {"a membership change", proto::entry_membership, "x", outcome::skipped},
    {"an empty command", proto::entry_command, "", outcome::rejected},
    {"a command of a later version", proto::entry_command,
     make_field(later_field), outcome::rejected},
    {"a command of a later version in a batch", proto::entry_command,
     make_batch(false), outcome::rejected},
    {"a command cut short", proto::entry_command,
     cancel.substr(0, cancel.size() - 1), outcome::rejected},
    {"bytes that can't be parsed", proto::entry_command, "\xff\xff\xff",
     outcome::rejected},
    {"an entry of a later version", later_kind, cancel, outcome::rejected},
};

}  // namespace

TEST_GROUP(log_command){};

TEST(log_command, entries_are_decoded_skipped_or_rejected) {
  for (const row& it : rows) {
    proto::log_entry entry;
    entry.set_kind(static_cast<proto::entry_kind>(it.kind));
    entry.set_payload(it.payload);
    const auto command = read_command(entry);
    const outcome actual = !command.ok()          ? outcome::rejected
                           : command->has_value() ? outcome::decoded
                                                  : outcome::skipped;
    CHECK_TRUE_TEXT(it.expected == actual, it.name);
  }
}
