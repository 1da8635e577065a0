// Which changes are accepted, the outcome of a resent change, and that equal
// logs give equal states.
#include "record/record-state.h"

#include <CppUTest/TestHarness.h>

using namespace kestrelreel;

namespace {

/// Applies commands to a record state as committed entries.
struct record_with_log {
  void apply(const proto::command& command) {
    proto::log_entry entry;
    entry.set_index(state.applied() + 1);
    entry.set_term(1);
    entry.set_kind(proto::entry_command);
    entry.set_payload(command.SerializeAsString());
    log.push_back(entry);
    state.apply(entry);
  }

  proto::change_result change(const std::string& request, uint64_t replaces,
                              uint64_t version, uint64_t content,
                              bool incomplete = false) {
    proto::command command;
    proto::state_change& it = *command.mutable_change();
    it.set_request_id(request);
    it.set_author("author of " + request);
    it.set_replaces(replaces);
    it.set_version(version);
    it.set_digest(content);
    it.set_incomplete(incomplete);
    apply(command);
    const auto* outcome = state.outcome(request);
    return outcome ? outcome->result() : proto::change_unknown;
  }

  void put_job(const std::string& name, uint64_t version) {
    proto::command command;
    proto::state_change& it = *command.mutable_change();
    it.set_request_id("put " + name);
    it.set_replaces(state.version());
    it.set_version(version);
    it.set_digest(version);
    proto::spec_item& item = *it.add_puts();
    item.set_key("job/" + name);
    item.mutable_job()->set_name(name);
    apply(command);
  }

  record_state state;
  std::vector<proto::log_entry> log;
};

}  // namespace

TEST_GROUP(record_state){};

TEST(record_state, changes_are_checked_against_the_current_version) {
  struct {
    const char* name;
    uint64_t replaces;
    uint64_t version;
    uint64_t content;
    bool incomplete;
    proto::change_result result;
    uint64_t version_after;
  } const rows[] = {
      {"next", 3, 4, 40, false, proto::change_accepted, 4},
      {"next but one", 3, 9, 40, false, proto::change_accepted, 9},
      {"same again", 2, 3, 30, false, proto::change_accepted, 3},
      {"equal version, other content", 2, 3, 31, false, proto::change_conflict,
       3},
      {"older", 1, 2, 20, false, proto::change_stale, 3},
      {"newer, based on an old version", 2, 4, 40, false,
       proto::change_conflict, 3},
      {"newer, based on a future version", 5, 6, 60, false,
       proto::change_conflict, 3},
      {"incomplete, could be accepted", 3, 4, 40, true, proto::change_unknown,
       3},
      {"incomplete, must be refused", 2, 4, 40, true, proto::change_conflict,
       3},
  };
  for (const auto& row : rows) {
    record_with_log it;
    it.change("base", 0, 3, 30);
    const auto result =
        it.change("r", row.replaces, row.version, row.content, row.incomplete);
    CHECK_EQUAL_TEXT(row.result, result, row.name);
    CHECK_EQUAL_TEXT(row.version_after, it.state.version(), row.name);
  }
}

TEST(record_state, of_two_changes_with_one_version_the_second_conflicts) {
  record_with_log it;
  it.change("base", 0, 3, 30);
  CHECK_EQUAL(proto::change_accepted, it.change("first", 3, 4, 40));
  CHECK_EQUAL(proto::change_conflict, it.change("second", 3, 4, 41));
  const auto* second_outcome = it.state.outcome("second");
  STRCMP_EQUAL("first", second_outcome->winner_request().c_str());
  STRCMP_EQUAL("author of first", second_outcome->winner_author().c_str());
}

TEST(record_state, a_resend_gets_the_first_outcome) {
  record_with_log it;
  CHECK_EQUAL(proto::change_accepted, it.change("a", 0, 1, 10));
  CHECK_EQUAL(proto::change_accepted, it.change("b", 1, 2, 20));
  CHECK_EQUAL(proto::change_accepted, it.change("a", 0, 1, 10));
  CHECK_EQUAL(2, it.state.version());
  CHECK_EQUAL(1, it.state.outcome("a")->version());
}

TEST(record_state, entries_apply_once_and_in_order) {
  record_with_log it;
  it.change("a", 0, 1, 10);
  it.change("b", 1, 2, 20);
  record_state other;
  other.apply(it.log[1]);
  CHECK_EQUAL(0, other.applied());
  other.apply(it.log[0]);
  other.apply(it.log[0]);
  other.apply(it.log[1]);
  STRCMP_EQUAL(it.state.save().c_str(), other.save().c_str());
}

TEST(record_state, a_snapshot_is_installed_only_when_later) {
  record_with_log it;
  it.put_job("j", 1);
  proto::log_snapshot early;
  early.set_index(it.state.applied());
  early.set_data(it.state.save());
  it.change("b", 1, 2, 20);
  it.state.install(early);
  CHECK_EQUAL(2, it.state.version());
  record_state other;
  other.install(early);
  CHECK_EQUAL(1, other.version());
  CHECK_EQUAL(1, other.jobs().size());
}

TEST(record_state, only_the_granted_data_centre_completes_tasks) {
  record_with_log it;
  it.put_job("j", 1);
  proto::command give;
  auto& grant = *give.mutable_delegate()->add_grants();
  grant.set_job("j");
  grant.set_data_centre("kumluca");
  it.apply(give);
  grant.set_data_centre("demre");
  it.apply(give);
  STRCMP_EQUAL("kumluca", it.state.jobs().at("j").data_centre.str().c_str());
  for (const char* name : {"demre", "kumluca"}) {
    proto::command end;
    end.mutable_complete()->set_data_centre(name);
    auto& done = *end.mutable_complete()->add_jobs();
    done.set_job("j");
    done.add_tasks(name[0] == 'd' ? 1 : 2);
    it.apply(end);
  }
  CHECK_EQUAL(1, it.state.jobs().at("j").done.size());
  CHECK_TRUE(it.state.jobs().at("j").done.contains(2));
}

// The first change that orders an evacuation sets its version and age, also
// after a snapshot. An evacuation that a later change still orders continues.
TEST(record_state, an_evacuation_keeps_the_version_that_first_ordered_it) {
  record_with_log record;
  const auto put = [&](uint64_t version, const char* evacuate,
                       const char* take_back) {
    proto::command command;
    proto::state_change& it = *command.mutable_change();
    it.set_request_id("r" + std::to_string(version));
    it.set_author("ayse");
    it.set_replaces(record.state.version());
    it.set_version(version);
    it.set_digest(version);
    it.set_proposed_at_ms(1'000 * version);
    if (*evacuate != 0) {
      proto::spec_item& item = *it.add_puts();
      item.set_key(evacuation_key(evacuate));
      item.mutable_evacuation()->set_data_centre(evacuate);
    }
    if (*take_back != 0) it.add_deletes(evacuation_key(take_back));
    record.apply(command);
  };
  struct row {
    uint64_t version;
    const char* evacuate;
    const char* take_back;
    bool kumluca;
    bool demre;
    uint64_t kumluca_since;
  };
  const row rows[] = {{1, "kumluca", "", true, false, 1},
                      {2, "kumluca", "", true, false, 1},
                      {3, "demre", "", true, true, 1},
                      {4, "", "kumluca", false, true, 0},
                      {5, "kumluca", "demre", true, false, 5}};
  for (const row& it : rows) {
    put(it.version, it.evacuate, it.take_back);
    proto::log_snapshot snapshot;
    snapshot.set_index(record.state.applied());
    snapshot.set_data(record.state.save());
    record_state other;
    other.install(snapshot);
    const record_state* const states[] = {&record.state, &other};
    for (const record_state* state : states) {
      CHECK_EQUAL(it.kumluca, state->evacuated(data_centre_id("kumluca")));
      CHECK_EQUAL(it.demre, state->evacuated(data_centre_id("demre")));
      if (!it.kumluca) continue;
      const auto& order = state->evacuations().at("kumluca");
      CHECK_EQUAL(it.kumluca_since, order.version());
      CHECK_EQUAL(1'000 * it.kumluca_since, order.ordered_at_ms());
      STRCMP_EQUAL("ayse", order.author().c_str());
    }
  }
}
