#include "consensus/soak/fake-disk.h"

#include <utility>

#include "base/text.h"

namespace kestrelreel {

class fake_disk::file final : public append_file {
 public:
  file(fake_disk& owner, std::string name)
      : owner_(owner), name_(std::move(name)) {}

  absl::Status append(std::string_view bytes) override {
    if (!owner_.consume_operation()) return absl::InternalError("disk failed");
    (*owner_.files_)[name_].unsynced += bytes;
    return absl::OkStatus();
  }

  absl::Status sync() override {
    if (!owner_.consume_operation()) return absl::InternalError("disk failed");
    fake_file& it = (*owner_.files_)[name_];
    it.synced += it.unsynced;
    it.unsynced.clear();
    return absl::OkStatus();
  }

 private:
  fake_disk& owner_;
  std::string name_;
};

bool fake_disk::consume_operation() {
  if (operations_left_ == unlimited) return true;
  if (operations_left_ == 0) return false;
  --operations_left_;
  return true;
}

absl::StatusOr<std::string> fake_disk::read(const std::string& name) {
  const auto it = files_->find(name);
  if (it == files_->end()) return absl::NotFoundError("no such file");
  return it->second.synced + it->second.unsynced;
}

absl::StatusOr<std::unique_ptr<append_file>> fake_disk::open(
    const std::string& name, size_t keep) {
  const auto it = files_->find(name);
  if (it == files_->end()) return absl::NotFoundError("no such file");
  it->second.synced += std::exchange(it->second.unsynced, {});
  it->second.synced.resize(keep);
  return std::make_unique<file>(*this, name);
}

absl::Status fake_disk::replace(const std::string& name,
                                std::string_view content) {
  if (!consume_operation()) return absl::InternalError("disk failed");
  (*files_)[name] = {std::string(content), ""};
  return absl::OkStatus();
}

void fake_disk::crash(random_source& random) {
  for (auto& [name, it] : *files_) {
    std::string kept = it.unsynced.substr(
        0, static_cast<size_t>(random.below(it.unsynced.size() + 1)));
    const bool flip = !kept.empty() && random.below(4) == 0;
    if (flip) kept.back() = static_cast<char>(kept.back() ^ 0x10);
    it.unsynced.clear();
    it.synced += kept;
  }
}

void fake_disk::lose_unsynced() {
  for (auto& [name, it] : *files_) it.unsynced.clear();
}

}  // namespace kestrelreel
