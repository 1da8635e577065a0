// An incomplete snapshot replaces nothing, and a command of a later version is
// recognized.
//
// A truncated snapshot was loaded as an empty state, so that every acknowledged
// job and configuration was lost without an error.
#include <CppUTest/TestHarness.h>

#include <string>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

/// Saved state with a configuration, a running job and a worker that left.
std::string make_saved() {
  test_world world;
  world.configure();
  world.submit(7, {test_world::make_step(3)});
  world.beat("a");
  world.beat("a");
  fleet::fleet_request leave;
  leave.set_worker_leaves("a");
  world.ask(leave);
  return world.controller.book().save();
}

}  // namespace

TEST_GROUP(saved_book){};

TEST(saved_book, truncated_state_replaces_current_state) {
  const std::string saved = make_saved();
  job_book whole;
  CHECK_TRUE(whole.load(saved).ok());
  int refused = 0;
  for (size_t n = 1; n < saved.size(); ++n) {
    job_book book;
    CHECK_TRUE(book.load(saved).ok());
    if (book.load(saved.substr(0, n)).ok()) continue;
    ++refused;
    CHECK_TRUE(book.save() == whole.save());
  }
  CHECK_TRUE(refused > static_cast<int>(saved.size() / 2));
}

TEST(saved_book, state_with_dangling_reference_is_loaded) {
  const std::string saved = make_saved();
  struct row {
    const char* name;
    void (*change)(fleet::saved_job&);
  };
  const row rows[] = {
      {"step", [](auto& it) { it.mutable_steps(0)->set_step(9); }},
      {"time", [](auto& it) { it.mutable_steps(0)->set_time(9); }},
      {"task",
       [](auto& it) { it.mutable_steps(0)->mutable_tasks(0)->set_index(9); }},
      {"phase",
       [](auto& it) { it.mutable_steps(0)->mutable_tasks(0)->set_phase(9); }},
  };
  for (const row& it : rows) {
    fleet::fleet_snapshot in;
    CHECK_TRUE(in.ParseFromString(saved));
    it.change(*in.mutable_jobs(0));
    job_book book;
    CHECK_FALSE_TEXT(book.load(in.SerializeAsString()).ok(), it.name);
    CHECK_TRUE_TEXT(book.jobs().empty(), it.name);
  }
}

TEST(saved_book, command_of_later_version_is_accepted) {
  fleet::fleet_command command;
  CHECK_FALSE(is_supported_command(command));
  command.mutable_cancel()->add_jobs(7);
  CHECK_TRUE(is_supported_command(command));
  fleet::fleet_command batch;
  *batch.mutable_batch()->add_commands() = command;
  CHECK_TRUE(is_supported_command(batch));
  batch.mutable_batch()->add_commands();
  CHECK_FALSE(is_supported_command(batch));
}
