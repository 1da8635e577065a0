#include "consensus/log-store.h"

#include <boost/crc.hpp>
#include <cstring>
#include <utility>
#include "base/text.h"

namespace kestrelreel {
namespace detail {

constexpr const char* log_file = "log";
constexpr uint32_t format_version = 1;
constexpr uint32_t record_magic = 0x6b726c31;

/// Precedes the bytes of each record.
struct record_prefix {
  uint32_t magic;
  uint32_t length;
  uint32_t checksum;
};
static_assert(sizeof(record_prefix) == 12, "the format has no padding");

uint32_t checksum(std::string_view bytes) {
  boost::crc_optimal<32, 0x1edc6f41, 0xffffffff, 0xffffffff, true, true> crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::string encode(const proto::disk_record& record) {
  const std::string body = record.SerializeAsString();
  record_prefix prefix{record_magic, static_cast<uint32_t>(body.size()),
                       checksum(body)};
  std::string out(sizeof(prefix), '\0');
  std::memcpy(out.data(), &prefix, sizeof(prefix));
  return out + body;
}

/// Decodes the record at offset `at` and sets `end` to the offset after it;
/// returns false when none is valid there.
bool decode(std::string_view bytes, size_t at, proto::disk_record& record,
            size_t& end) {
  record_prefix prefix{};
  if (bytes.size() - at < sizeof(prefix)) return false;
  std::memcpy(&prefix, bytes.data() + at, sizeof(prefix));
  if (prefix.magic != record_magic) return false;
  const std::string_view rest = bytes.substr(at + sizeof(prefix));
  if (prefix.length > rest.size()) return false;
  const std::string_view body = rest.substr(0, prefix.length);
  if (checksum(body) != prefix.checksum) return false;
  end = at + sizeof(prefix) + prefix.length;
  return record.ParseFromArray(body.data(), static_cast<int>(body.size()));
}

/// True when a valid record begins anywhere after offset `at`.
bool has_valid_record_after(std::string_view bytes, size_t at) {
  const std::string magic(reinterpret_cast<const char*>(&record_magic),
                          sizeof(record_magic));
  proto::disk_record record;
  size_t end = 0;
  for (size_t i = bytes.find(magic, at + 1); i != std::string_view::npos;
       i = bytes.find(magic, i + 1)) {
    if (decode(bytes, i, record, end)) return true;
  }
  return false;
}

absl::Status add_entry(raft_state& state, proto::log_entry entry) {
  const uint64_t base = state.snapshot ? state.snapshot->index() : 0;
  const uint64_t last = base + state.entries.size();
  if (entry.index() <= base || entry.index() > last + 1) {
    return absl::DataLossError(
        str_cat("log entry ", entry.index(), " follows entry ", last));
  }
  state.entries.resize(entry.index() - base - 1);
  state.entries.push_back(std::move(entry));
  return absl::OkStatus();
}

absl::Status add_record(parsed_log& log, proto::disk_record record) {
  raft_state& state = log.state;
  if (record.has_header()) log.header = record.header();
  if (record.has_hard()) state.hard = record.hard();
  if (record.has_snapshot()) {
    state.snapshot =
        std::make_shared<const proto::log_snapshot>(record.snapshot());
    state.entries.clear();
  }
  for (proto::log_entry& it : *record.mutable_entries()) {
    const absl::Status status = add_entry(state, std::move(it));
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

absl::Status check_header(const proto::log_header& header, const box_id& box) {
  if (header.format_version() > format_version) {
    return absl::FailedPreconditionError(str_cat(
        "data folder has format ", header.format_version(),
        "; this program reads up to ", format_version, "; use a newer one"));
  }
  if (header.box() != box.str()) {
    return absl::FailedPreconditionError(str_cat("data folder belongs to box '",
                                                 header.box(), "', not to '",
                                                 box.str(), "'"));
  }
  return absl::OkStatus();
}

}  // namespace detail

absl::StatusOr<parsed_log> parse_log(const std::string& bytes) {
  parsed_log log;
  proto::disk_record record;
  size_t end = 0;
  while (detail::decode(bytes, log.valid_bytes, record, end)) {
    const absl::Status status = detail::add_record(log, std::move(record));
    if (!status.ok()) return status;
    log.valid_bytes = end;
  }
  if (log.valid_bytes == 0) {
    return absl::DataLossError("log file does not begin with a valid record");
  }
  if (detail::has_valid_record_after(bytes, log.valid_bytes)) {
    return absl::DataLossError(str_cat(
        "log file is corrupt at byte ", log.valid_bytes,
        "; move the data folder away, so that this box is repaired from the "
        "other replicas"));
  }
  log.state.founding = log.header.founding();
  return log;
}

log_store::log_store(disk& folder, proto::log_header header, raft_state state)
    : folder_(folder),
      header_(std::move(header)),
      state_(std::move(state)),
      hard_(state_.hard) {}

absl::StatusOr<std::unique_ptr<log_store>> log_store::open(disk& folder,
                                                           const box_id& box) {
  const auto bytes = folder.read(detail::log_file);
  if (!bytes.ok()) return bytes.status();
  auto log = parse_log(*bytes);
  if (!log.ok()) return log.status();
  const absl::Status header_status = detail::check_header(log->header, box);
  if (!header_status.ok()) return header_status;
  std::unique_ptr<log_store> store(
      new log_store(folder, std::move(log->header), std::move(log->state)));
  const absl::Status opened = store->reopen(log->valid_bytes);
  if (!opened.ok()) return opened;
  return store;
}

absl::StatusOr<std::unique_ptr<log_store>> log_store::create(
    disk& folder, const box_id& box, const std::string& identity,
    const proto::membership& founding) {
  proto::disk_record record;
  proto::log_header& header = *record.mutable_header();
  header.set_format_version(detail::format_version);
  header.set_box(box.str());
  header.set_identity(identity);
  *header.mutable_founding() = founding;
  const std::string bytes = detail::encode(record);
  const absl::Status written = folder.replace(detail::log_file, bytes);
  if (!written.ok()) return written;
  raft_state state;
  state.founding = founding;
  std::unique_ptr<log_store> store(
      new log_store(folder, header, std::move(state)));
  const absl::Status opened = store->reopen(bytes.size());
  if (!opened.ok()) return opened;
  return store;
}

absl::Status log_store::reopen(size_t keep) {
  auto file = folder_.open(detail::log_file, keep);
  // The bytes after `keep` may still be there, and `file_` may be unlinked. A
  // caller that saw "disk full" would go on using this store.
  if (!file.ok()) return not_full(file.status());
  file_ = std::move(*file);
  size_ = keep;
  return absl::OkStatus();
}

absl::Status log_store::write(const persist_batch& batch) {
  if (batch.hard) hard_ = *batch.hard;
  if (batch.snapshot) return rewrite(*batch.snapshot, batch.entries);
  proto::disk_record record;
  if (batch.hard) *record.mutable_hard() = *batch.hard;
  for (const proto::log_entry& it : batch.entries) *record.add_entries() = it;
  const std::string bytes = detail::encode(record);
  absl::Status status = file_->append(bytes);
  if (status.ok()) status = file_->sync();
  if (status.ok()) size_ += bytes.size();
  if (!absl::IsResourceExhausted(status)) return status;
  // Truncates the part of the record that reached the full disk, so that the
  // record can be written again later.
  const absl::Status truncated = reopen(size_);
  return truncated.ok() ? status : truncated;
}

absl::Status log_store::compact(const proto::log_snapshot& snapshot,
                                const std::vector<proto::log_entry>& entries) {
  return rewrite(snapshot, entries);
}

absl::Status log_store::rewrite(const proto::log_snapshot& snapshot,
                                const std::vector<proto::log_entry>& entries) {
  proto::disk_record record;
  *record.mutable_header() = header_;
  *record.mutable_hard() = hard_;
  *record.mutable_snapshot() = snapshot;
  for (const proto::log_entry& it : entries) *record.add_entries() = it;
  const std::string bytes = detail::encode(record);
  const absl::Status status = folder_.replace(detail::log_file, bytes);
  if (!status.ok()) return status;
  return reopen(bytes.size());
}

}  // namespace kestrelreel
