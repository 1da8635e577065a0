// Fills a data folder with the log of a cluster of one box, whose last record
// is what the name says: see support/unreadable-record/run.
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>

#include "consensus/log-store.h"
#include "kernel/disk.h"
#include "proto/fleet.pb.h"

namespace kestrelreel {
namespace {

constexpr int exit_usage = 2;
constexpr int exit_disk = 4;

/// Members of a command with that number are not known.
constexpr const char* later_member = "\xd2\x05\x01x";

persist_batch make_entry(int kind, std::string payload) {
  persist_batch batch;
  batch.hard.emplace();
  batch.hard->set_term(1);
  batch.hard->set_commit(1);
  proto::log_entry& entry = batch.entries.emplace_back();
  entry.set_index(1);
  entry.set_term(1);
  entry.set_kind(static_cast<proto::entry_kind>(kind));
  entry.set_payload(std::move(payload));
  return batch;
}

persist_batch make_snapshot(const proto::membership& members) {
  persist_batch batch;
  batch.hard.emplace();
  batch.hard->set_term(1);
  batch.hard->set_commit(1);
  auto snapshot = std::make_shared<proto::log_snapshot>();
  snapshot->set_index(1);
  snapshot->set_term(1);
  *snapshot->mutable_members() = members;
  snapshot->set_data("\xff\xff");
  batch.snapshot = std::move(snapshot);
  return batch;
}

bool make_batch(const std::string& what, const proto::membership& members,
                persist_batch& batch) {
  constexpr int later_kind = 9;
  if (what == "sound") {
    fleet::fleet_command command;
    command.mutable_cancel()->add_jobs(1);
    batch = make_entry(proto::entry_command, command.SerializeAsString());
  } else if (what == "unknown-command") {
    batch = make_entry(proto::entry_command, later_member);
  } else if (what == "unknown-entry") {
    batch = make_entry(later_kind, "");
  } else if (what == "unreadable-command") {
    batch = make_entry(proto::entry_command, "\xff\xff\xff");
  } else if (what == "unreadable-state") {
    batch = make_snapshot(members);
  } else {
    return false;
  }
  return true;
}

int prepare(const std::string& path, const std::string& box,
            const std::string& what) {
  proto::membership members;
  proto::replica& voter = *members.add_voters();
  voter.set_box(box);
  voter.set_identity("founder");
  persist_batch batch;
  if (!make_batch(what, members, batch)) return exit_usage;
  auto folder = folder_disk::open_folder(path);
  if (!folder.ok()) return exit_disk;
  auto store = log_store::create(**folder, box_id(box), "founder", members);
  return store.ok() && (*store)->write(batch).ok() ? 0 : exit_disk;
}

}  // namespace
}  // namespace kestrelreel

int main(int argc, char** argv) {
  constexpr int arguments = 4;
  if (argc != arguments) {
    std::cerr << "prepare-record FOLDER BOX WHAT\n";
    return kestrelreel::exit_usage;
  }
  return kestrelreel::prepare(argv[1], argv[2], argv[3]);
}
