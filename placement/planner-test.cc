// Which data centre a new job is given to.
#include "placement/planner.h"

#include <CppUTest/TestHarness.h>

#include "base/text.h"

using namespace kestrelreel;

namespace {

/// A record with one job for each list of allowed data centres.
record_state record_of(const std::vector<std::vector<std::string>>& jobs) {
  proto::command command;
  proto::state_change& change = *command.mutable_change();
  change.set_request_id("r");
  change.set_version(1);
  change.set_digest(1);
  for (size_t i = 0; i < jobs.size(); ++i) {
    proto::spec_item& item = *change.add_puts();
    const std::string name = str_cat("j", i);
    item.set_key("job/" + name);
    item.mutable_job()->set_name(name);
    item.mutable_job()->set_tasks(2);
    item.mutable_job()->mutable_size()->set_cpu_milli(3'000);
    for (const std::string& it : jobs[i]) {
      item.mutable_job()->add_data_centres(it);
    }
  }
  proto::log_entry entry;
  entry.set_index(1);
  entry.set_kind(proto::entry_command);
  entry.set_payload(command.SerializeAsString());
  record_state state;
  state.apply(entry);
  return state;
}

data_centre_rooms rooms_of(
    const std::vector<std::pair<const char*, uint64_t>>& rows) {
  data_centre_rooms rooms;
  for (const auto& [name, cpu] : rows) {
    rooms[data_centre_id(name)].cpu.value = cpu;
  }
  return rooms;
}

}  // namespace

TEST_GROUP(planner){};

TEST(planner, jobs_go_where_they_may_and_where_most_room_is) {
  struct {
    const char* name;
    std::vector<std::vector<std::string>> jobs;
    std::vector<std::pair<const char*, uint64_t>> rooms;
    const char* plan;
  } const rows[] = {
      {"roomiest", {{}}, {{"a", 10'000}, {"b", 20'000}}, "j0:b "},
      {"only allowed", {{"a"}}, {{"a", 10'000}, {"b", 20'000}}, "j0:a "},
      {"allowed has no holder", {{"c"}}, {{"a", 10'000}}, ""},
      {"no holder anywhere", {{}}, {}, ""},
      {"what one takes the next has not",
       {{}, {}},
       {{"a", 18'000}, {"b", 20'000}},
       "j0:b j1:a "},
      {"full is still given, to wait there", {{}}, {{"a", 0}}, "j0:a "},
  };
  for (const auto& row : rows) {
    const auto plan = plan_jobs(record_of(row.jobs), rooms_of(row.rooms));
    std::string text;
    for (const auto& it : plan.grants()) {
      str_append(text, it.job(), ":", it.data_centre(), " ");
    }
    STRCMP_EQUAL_TEXT(row.plan, text.c_str(), row.name);
  }
}

TEST(planner, no_job_is_given_to_an_evacuated_data_centre) {
  record_state state = record_of({{}, {"a"}});
  proto::command command;
  proto::state_change& change = *command.mutable_change();
  change.set_request_id("evacuates");
  change.set_replaces(state.version());
  change.set_version(state.version() + 1);
  change.set_digest(1);
  proto::spec_item& item = *change.add_puts();
  item.set_key("evacuation/a");
  item.mutable_evacuation()->set_data_centre("a");
  proto::log_entry entry;
  entry.set_index(2);
  entry.set_kind(proto::entry_command);
  entry.set_payload(command.SerializeAsString());
  state.apply(entry);
  const auto plan = plan_jobs(state, rooms_of({{"a", 20'000}, {"b", 10'000}}));
  LONGS_EQUAL(1, plan.grants_size());
  STRCMP_EQUAL("b", plan.grants(0).data_centre().c_str());
}

TEST(planner, a_job_that_was_given_is_not_given_again) {
  record_state state = record_of({{}});
  const auto rooms = rooms_of({{"a", 10'000}});
  proto::command command;
  *command.mutable_delegate() = plan_jobs(state, rooms);
  proto::log_entry entry;
  entry.set_index(2);
  entry.set_kind(proto::entry_command);
  entry.set_payload(command.SerializeAsString());
  state.apply(entry);
  CHECK_EQUAL(0, plan_jobs(state, rooms).grants_size());
}
