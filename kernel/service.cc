#include "kernel/service.h"

#include <set>
#include "base/text.h"

namespace kestrelreel {
namespace detail {

using service_map =
    std::map<std::string, std::unique_ptr<service>, std::less<>>;

/// Depth-first walk that lists each service after its dependencies.
class order_walk {
 public:
  explicit order_walk(const service_map& services) : services_(services) {}

  absl::Status visit(const std::string& name, const std::string& wanted_by) {
    if (done_.contains(name)) return absl::OkStatus();
    const auto it = services_.find(name);
    if (it == services_.end()) {
      return absl::NotFoundError(str_cat(
          "service '", wanted_by, "' depends on unknown service '", name, "'"));
    }
    if (!open_.insert(name).second) {
      return absl::FailedPreconditionError(
          str_cat("service '", name, "' depends on itself"));
    }
    for (const std::string& need : it->second->dependencies()) {
      const absl::Status status = visit(need, name);
      if (!status.ok()) return status;
    }
    open_.erase(name);
    done_.insert(name);
    result_.push_back(it->second.get());
    return absl::OkStatus();
  }

  std::vector<service*> take() { return std::move(result_); }

 private:
  const service_map& services_;
  std::set<std::string> open_;
  std::set<std::string> done_;
  std::vector<service*> result_;
};

}  // namespace detail

absl::Status service_registry::add(std::unique_ptr<service> it) {
  std::string name(it->name());
  if (!services_.try_emplace(name, std::move(it)).second) {
    return absl::AlreadyExistsError(
        str_cat("service '", name, "' is registered twice"));
  }
  return absl::OkStatus();
}

absl::StatusOr<std::vector<service*>> service_registry::order() const {
  detail::order_walk walk(services_);
  for (const auto& [name, it] : services_) {
    const absl::Status status = walk.visit(name, name);
    if (!status.ok()) return status;
  }
  return walk.take();
}

absl::Status service_registry::start() {
  auto services = order();
  if (!services.ok()) return services.status();
  for (service* it : *services) {
    const absl::Status status = it->start(*this);
    if (!status.ok()) {
      stop();
      return status;
    }
    started_.push_back(it);
  }
  return absl::OkStatus();
}

void service_registry::stop() {
  while (!started_.empty()) {
    service* it = started_.back();
    started_.pop_back();
    it->stop();
  }
}

}  // namespace kestrelreel
