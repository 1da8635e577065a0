// The micro-kernel: services with names, started in the order of their
// dependencies and stopped in reverse.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace kestrelreel {

class service_registry;

/// A part of a process that others find by its name.
class service {
 public:
  virtual ~service() = default;
  /// Unique within a registry.
  virtual std::string_view name() const = 0;
  /// Names of the services that must have started before this one.
  virtual std::vector<std::string> dependencies() const = 0;
  /// Called once, after all dependencies started.
  virtual absl::Status start(service_registry& registry) = 0;
  /// Called once, before any dependency stops.
  virtual void stop() = 0;
};

/// Owns the services of one process.
class service_registry {
 public:
  /// Takes a service in; fails when its name is taken.
  absl::Status add(std::unique_ptr<service> it);

  /// Starts all. On a failure those already started are stopped again and
  /// the failure is returned.
  absl::Status start();

  /// Stops all started ones, in reverse.
  void stop();

  /// The service of that name as `T`; null when there is none or when it is
  /// of another type.
  template <typename T>
  T* find(std::string_view name) const {
    const auto it = services_.find(name);
    if (it == services_.end()) return nullptr;
    return dynamic_cast<T*>(it->second.get());
  }

 private:
  absl::StatusOr<std::vector<service*>> order() const;

  std::map<std::string, std::unique_ptr<service>, std::less<>> services_;
  std::vector<service*> started_;
};

}  // namespace kestrelreel
