// Messages and calls between the boxes of a seeded deployment, whose boxes are
// named by their IP numbers and listen on the same port.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "base/clock.h"
#include "base/ids.h"
#include "net/call-table.h"
#include "net/frame-stream.h"
#include "net/memory-budget.h"

namespace kestrelreel {

/// Connects on demand, one connection to each box; one that falls silent is
/// replaced. Messages may be lost; a call is answered exactly once.
class peer_mesh {
 public:
  using respond_function = std::function<void(fleet::fleet_response)>;
  /// What a frame came by; a hello may be answered on it.
  using stream_pointer = std::shared_ptr<frame_stream>;

  /// What the owner does with what comes in.
  struct handlers {
    std::function<void(const box_id& from, const fleet::fleet_frame&,
                       const stream_pointer&)>
        on_message;
    std::function<void(const fleet::fleet_frame&, respond_function)> on_request;
    /// The connection to that box could not be made or was lost.
    std::function<void(const box_id&)> on_lost;
  };

  peer_mesh(boost::asio::io_context& io, clock_source& clock, box_id self,
            uint16_t port);
  ~peer_mesh();

  void set_handlers(handlers it) { handlers_ = std::move(it); }
  /// What boxes that connect by themselves hold is counted in `memory`, which
  /// must outlive the mesh; to be called before `listen`.
  void count_guests_in(memory_budget& memory) { guest_memory_ = &memory; }
  /// Takes connections of other boxes at an IP:PORT; at its own IP number and
  /// the port when that is empty.
  absl::Status listen(const std::string& address = "");
  /// Sends one way; dropped when the box can't be reached.
  void send(const box_id& to, fleet::fleet_frame frame);
  /// Asks; `unavailable` when nothing of the request can have been taken, as
  /// no connection has carried it, `unknown` when it may have been.
  void call(const box_id& to, const fleet::fleet_request& request, bool relayed,
            milliseconds limit, respond_function respond);
  /// Sends to all boxes that are connected to this one by themselves.
  void tell_guests(const fleet::fleet_frame& frame);
  void close();

 private:
  struct link;
  void accept();
  void accept_later(boost::system::error_code cause);
  bool has_room_for_guest();
  void adopt(boost::asio::ip::tcp::socket socket);
  link& link_to(const box_id& to);
  void dial(const box_id& to, link& it);
  void dialled(const box_id& to, boost::system::error_code ec);
  void lost(const box_id& to);
  void closed(const box_id& to, connection_number which);
  void send_on(link& it, const fleet::fleet_frame& frame);
  void watch();
  void look_at(const box_id& to, link& it);
  static void report_backlog(const box_id& to, link& it);
  void on_frame(const box_id& from, const fleet::fleet_frame& frame);
  void sweep();

  boost::asio::io_context& io_;
  clock_source& clock_;
  box_id self_;
  uint16_t port_;
  handlers handlers_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  boost::asio::steady_timer sweep_timer_;
  boost::asio::steady_timer watch_timer_;
  std::map<box_id, std::unique_ptr<link>> links_;
  std::set<stream_pointer> guests_;
  memory_budget* guest_memory_ = nullptr;
  call_number last_call_;
  connection_number last_connection_;
  bool sweeping_ = false;
  bool watching_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace kestrelreel
