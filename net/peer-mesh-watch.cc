// Replaces connections of the mesh that fell silent, and reports those on which
// too much waits.
#include <memory>
#include <utility>
#include <vector>

#include "kernel/log.h"
#include "net/peer-mesh-link.h"

namespace kestrelreel {
namespace detail {

/// Open connections may fall silent for good: nothing comes and no error tells.
/// So often a connection on which something was sent, and nothing came since,
/// is looked at; it is asked for a sign of life, and then replaced. Looks are
/// counted, not time, so that a box that was held up itself does not take the
/// others for silent. In all 1.2 s, about an election.
constexpr milliseconds watch_interval{200};
constexpr unsigned ping_after = 2;
constexpr unsigned silent_after = 6;
/// A silent connection is read for so long yet, as its peer may just be slow.
constexpr milliseconds retired_for{3'000};
/// What waits on a connection holds up all that follows on it: so much takes a
/// link of 200 Mbit/s 40 ms. Told of again after so many looks.
constexpr size_t long_backlog = 1 << 20;
constexpr unsigned backlog_told_every = 5;

}  // namespace detail

/// Runs only while something is awaited.
void peer_mesh::watch() {
  watch_timer_.expires_after(detail::watch_interval);
  watch_timer_.async_wait(
      [this, alive = std::weak_ptr(alive_)](boost::system::error_code ec) {
        if (ec || alive.expired()) return;
        bool left = false;
        for (auto& [box, it] : links_) {
          look_at(box, *it);
          left = left || it->awaits || !it->retired.empty();
        }
        watching_ = left;
        if (left) watch();
      });
}

void peer_mesh::report_backlog(const box_id& to, link& it) {
  const size_t n = it.stream ? it.stream->backlog() : 0;
  if (n < detail::long_backlog) {
    it.looks_behind = 0;
    return;
  }
  if (it.looks_behind++ % detail::backlog_told_every != 0) return;
  log_event("mesh", log_level::warn, "connection-behind")
      .with("to", to.str())
      .with("queued-bytes", n)
      .with("for-looks", it.looks_behind);
}

void peer_mesh::look_at(const box_id& to, link& it) {
  const time_point now = clock_.now();
  report_backlog(to, it);
  std::vector<stream_pointer> over;
  std::erase_if(it.retired, [&](const auto& r) {
    if (r.until > now) return false;
    over.push_back(r.stream);
    return true;
  });
  for (const stream_pointer& stream : over) stream->close();
  if (!it.stream || !it.awaits) return;
  if (++it.looks == detail::ping_after) {
    fleet::fleet_frame ping;
    ping.set_ping(true);
    it.stream->send(ping);
  }
  if (it.looks < detail::silent_after) return;
  log_event("mesh", log_level::warn, "connection-silent")
      .with("to", to.str())
      .with("looks", it.looks)
      .with("calls-waiting", it.calls.size())
      .with("effect", "another one is made");
  it.retired.push_back(
      {std::move(it.stream), it.connection, now + detail::retired_for});
  it.stream.reset();
  it.awaits = false;
  if (!it.dialling) dial(to, it);
}

}  // namespace kestrelreel
