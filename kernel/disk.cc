#include "kernel/disk.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <utility>
#include "base/text.h"

namespace kestrelreel {
namespace detail {

constexpr mode_t file_mode = 0640;

absl::Status error(std::string_view doing, const std::string& name) {
  return absl::ErrnoToStatus(errno, str_cat(doing, " '", name, "'"));
}

absl::Status write_all(int fd, std::string_view bytes,
                       const std::string& name) {
  while (!bytes.empty()) {
    const ssize_t n = ::write(fd, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return error("cannot write", name);
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return absl::OkStatus();
}

/// Takes away what follows `keep` bytes.
absl::Status cut(int fd, size_t keep, const std::string& name) {
  struct stat info {};
  if (::fstat(fd, &info) != 0) return error("cannot examine", name);
  if (static_cast<size_t>(info.st_size) <= keep) return absl::OkStatus();
  if (::ftruncate(fd, static_cast<off_t>(keep)) == 0) return absl::OkStatus();
  return error("cannot truncate", name);
}

class folder_file final : public append_file {
 public:
  folder_file(int fd, std::string name) : fd_(fd), name_(std::move(name)) {}
  ~folder_file() override { ::close(fd_); }

  absl::Status append(std::string_view bytes) override {
    return write_all(fd_, bytes, name_);
  }

  absl::Status sync() override {
    if (::fdatasync(fd_) != 0) return error("cannot sync", name_);
    return absl::OkStatus();
  }

 private:
  int fd_;
  std::string name_;
};

}  // namespace detail

absl::Status not_full(const absl::Status& error) {
  if (!absl::IsResourceExhausted(error)) return error;
  return absl::InternalError(error.message());
}

absl::StatusOr<std::unique_ptr<folder_disk>> folder_disk::open_folder(
    const std::string& path) {
  const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return detail::error("cannot open data folder", path);
  const int lock =
      ::openat(folder, "lock", O_RDWR | O_CREAT | O_CLOEXEC, detail::file_mode);
  if (lock < 0) {
    const absl::Status status =
        detail::error("cannot write in data folder", path);
    ::close(folder);
    return status;
  }
  if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock);
    ::close(folder);
    return absl::FailedPreconditionError(
        str_cat("data folder '", path, "' is in use by another process"));
  }
  return std::unique_ptr<folder_disk>(new folder_disk(path, folder, lock));
}

folder_disk::~folder_disk() {
  ::close(lock_);
  ::close(folder_);
}

absl::StatusOr<std::string> folder_disk::read(const std::string& name) {
  const int fd = ::openat(folder_, name.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return detail::error("cannot read", str_cat(path_, "/", name));
  std::string content;
  char buf[1 << 16];
  for (;;) {
    const ssize_t n = ::read(fd, buf, sizeof(buf));
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) {
      const absl::Status status = detail::error("cannot read", name);
      ::close(fd);
      return status;
    }
    if (n == 0) break;
    content.append(buf, static_cast<size_t>(n));
  }
  ::close(fd);
  return content;
}

absl::StatusOr<std::unique_ptr<append_file>> folder_disk::open(
    const std::string& name, size_t keep) {
  const int fd =
      ::openat(folder_, name.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (fd < 0) return detail::error("cannot open", name);
  absl::Status status = detail::cut(fd, keep, name);
  if (status.ok() && ::fsync(fd) != 0) {
    status = detail::error("cannot sync", name);
  }
  if (status.ok() && ::fsync(folder_) != 0) {
    status = detail::error("cannot sync folder", path_);
  }
  if (!status.ok()) {
    ::close(fd);
    return status;
  }
  return std::make_unique<detail::folder_file>(fd, name);
}

absl::Status folder_disk::replace(const std::string& name,
                                  std::string_view content) {
  const std::string temporary = name + ".new";
  const int fd =
      ::openat(folder_, temporary.c_str(),
               O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, detail::file_mode);
  if (fd < 0) return detail::error("cannot create", temporary);
  absl::Status status = detail::write_all(fd, content, temporary);
  if (status.ok() && ::fsync(fd) != 0) {
    status = detail::error("cannot sync", temporary);
  }
  ::close(fd);
  if (!status.ok()) return status;
  if (::renameat(folder_, temporary.c_str(), folder_, name.c_str()) != 0) {
    return detail::error("cannot rename", temporary);
  }
  if (::fsync(folder_) != 0) {
    return not_full(detail::error("cannot sync folder", path_));
  }
  return absl::OkStatus();
}

}  // namespace kestrelreel
