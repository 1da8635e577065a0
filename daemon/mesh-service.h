// The service `mesh`: messages and calls to the other boxes.
#pragma once

#include <memory>

#include "daemon/seeded-context.h"
#include "kernel/service.h"
#include "net/peer-mesh.h"

namespace kestrelreel {

/// Owns the connections. Control boxes listen, entry boxes only connect.
class mesh_service final : public service {
 public:
  explicit mesh_service(seeded_context& context)
      : context_(context),
        mesh_(context.io, context.clock, context.settings.box,
              context.settings.peer_port) {}

  std::string_view name() const override { return seeded_names::mesh; }
  std::vector<std::string> dependencies() const override { return {}; }
  absl::Status start(service_registry& /*registry*/) override {
    if (context_.settings.role != seeded_role::control) {
      return absl::OkStatus();
    }
    mesh_.count_guests_in(context_.mesh_memory);
    return mesh_.listen(context_.settings.peer_address);
  }
  void stop() override { mesh_.close(); }

  peer_mesh& mesh() { return mesh_; }

 private:
  seeded_context& context_;
  peer_mesh mesh_;
};

}  // namespace kestrelreel
