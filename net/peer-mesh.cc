#include "net/peer-mesh.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "base/text.h"
#include "kernel/log.h"
#include "net/peer-mesh-link.h"

namespace kestrelreel {
namespace detail {

using boost::asio::ip::tcp;

/// A connection that is not made by then is given up; a few round trips over
/// the longest link, and below the least time of an election.
constexpr milliseconds dial_limit{700};
/// A lost connection is not dialled again before.
constexpr milliseconds redial_after{100};
/// Frames that wait while a connection is being made, and their bytes: some
/// snapshots of the largest state, and well below what a connection queues.
constexpr size_t most_waiting = 256;
constexpr size_t most_waiting_bytes = 32 << 20;
/// Boxes that may be connected by themselves; twice as many as the largest
/// deployment has, and with callers' connections below a box's descriptors.
constexpr size_t most_guests = 1'500;
constexpr const char* listener = "mesh";
/// Out of descriptors, say: some are closed meanwhile.
constexpr milliseconds accept_pause{20};
/// How often calls are looked through for those that took too long.
constexpr milliseconds sweep_interval{50};

/// Each by itself: what one connection has carried may have run, what waited
/// for the next one was not taken.
void fail_all(const std::vector<lost_call>& calls, const char* reason) {
  for (const lost_call& it : calls) it.fail(reason);
}

void lose(const box_id& to, const std::vector<lost_call>& calls,
          const char* reason) {
  if (calls.empty()) return;
  const auto carried =
      std::count_if(calls.begin(), calls.end(),
                    [](const lost_call& it) { return it.may_have_run; });
  log_event("mesh", log_level::warn, "calls-lost")
      .with("to", to.str())
      .with("reason", reason)
      .with("calls", calls.size())
      .with("may-have-run", carried);
  fail_all(calls, reason);
}

}  // namespace detail

peer_mesh::peer_mesh(boost::asio::io_context& io, clock_source& clock,
                     box_id self, uint16_t port)
    : io_(io),
      clock_(clock),
      self_(std::move(self)),
      port_(port),
      acceptor_(io),
      accept_timer_(io),
      sweep_timer_(io),
      watch_timer_(io) {}

peer_mesh::~peer_mesh() { close(); }

absl::Status peer_mesh::listen(const std::string& address) {
  boost::system::error_code ec;
  std::string host = self_.str();
  uint16_t port = port_;
  if (!address.empty() && !split_address(address, host, port)) {
    return absl::InvalidArgumentError(str_cat(address, " is no IP:PORT"));
  }
  const auto ip = boost::asio::ip::make_address(host, ec);
  if (ec) return absl::InvalidArgumentError(str_cat(host, ": no IP"));
  acceptor_.open(detail::tcp::v4(), ec);
  if (!ec) acceptor_.set_option(detail::tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind({ip, port}, ec);
  if (!ec)
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return absl::UnavailableError(
        str_cat("cannot listen on ", host, ":", port, ": ", ec.message()));
  }
  accept();
  return absl::OkStatus();
}

void peer_mesh::accept() {
  acceptor_.async_accept(
      [this, alive = std::weak_ptr(alive_)](
          boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
        if (alive.expired() || ec == boost::asio::error::operation_aborted)
          return;
        if (ec) return accept_later(ec);
        if (has_room_for_guest()) adopt(std::move(socket));
        accept();
      });
}

void peer_mesh::accept_later(boost::system::error_code cause) {
  log_event("mesh", log_level::warn, "accept-failed")
      .with("error", cause.message());
  accept_timer_.expires_after(detail::accept_pause);
  accept_timer_.async_wait(
      [this, alive = std::weak_ptr(alive_)](boost::system::error_code ec) {
        if (!ec && !alive.expired()) accept();
      });
}

/// Closes a connection for the new one when there are too many.
bool peer_mesh::has_room_for_guest() {
  if (guest_memory_ == nullptr || guests_.size() < detail::most_guests) {
    return true;
  }
  const time_point now = guest_memory_->now();
  const stream_pointer found = find_evictable(guests_, now);
  if (!found) {
    report_refused_connection(guest_memory_->metrics(), detail::listener,
                              guests_.size());
    return false;
  }
  report_evicted_connection(guest_memory_->metrics(), detail::listener,
                            guests_.size(), found->activity(), now);
  found->close();
  return true;
}

void peer_mesh::adopt(boost::asio::ip::tcp::socket socket) {
  auto stream = std::make_shared<frame_stream>(std::move(socket));
  if (guest_memory_ != nullptr) {
    stream->count_in(*guest_memory_, detail::listener);
  }
  guests_.insert(stream);
  const std::weak_ptr<frame_stream> weak = stream;
  stream->start(
      [this, weak](const fleet::fleet_frame& frame) {
        const stream_pointer it = weak.lock();
        if (!it) return;
        if (frame.ping()) {
          fleet::fleet_frame reply;
          reply.set_pong(true);
          return it->send(reply);
        }
        if (!frame.has_request()) {
          return handlers_.on_message(box_id(frame.from()), frame, it);
        }
        handlers_.on_request(
            frame, [weak, call = frame.call()](fleet::fleet_response response) {
              const stream_pointer to = weak.lock();
              if (!to) return;
              fleet::fleet_frame reply;
              reply.set_call(call);
              *reply.mutable_response() = std::move(response);
              to->send(reply);
            });
      },
      [this, weak, alive = std::weak_ptr(alive_)] {
        if (!alive.expired()) guests_.erase(weak.lock());
      });
}

peer_mesh::link& peer_mesh::link_to(const box_id& to) {
  auto& it = links_[to];
  if (!it) it = std::make_unique<link>(io_);
  return *it;
}

void peer_mesh::dial(const box_id& to, link& it) {
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(to.str(), ec);
  if (ec) return lost(to);
  it.dialling = true;
  it.socket = boost::asio::ip::tcp::socket(io_);
  it.socket.async_connect(
      {address, port_},
      [this, to, alive = std::weak_ptr(alive_)](boost::system::error_code e) {
        if (!alive.expired()) dialled(to, e);
      });
  it.timer.expires_after(detail::dial_limit);
  it.timer.async_wait(
      [this, to, alive = std::weak_ptr(alive_)](boost::system::error_code e) {
        if (e || alive.expired()) return;
        boost::system::error_code closed;
        link_to(to).socket.close(closed);
      });
}

void peer_mesh::dialled(const box_id& to, boost::system::error_code ec) {
  link& it = link_to(to);
  it.timer.cancel();
  it.dialling = false;
  if (ec) return lost(to);
  it.stream = std::make_shared<frame_stream>(std::move(it.socket));
  it.awaits = false;
  const connection_number which = last_connection_ = last_connection_.next();
  it.connection = which;
  it.stream->start(
      [this, to](const fleet::fleet_frame& frame) { on_frame(to, frame); },
      [this, to, which, alive = std::weak_ptr(alive_)] {
        if (!alive.expired()) closed(to, which);
      });
  std::vector<fleet::fleet_frame> waiting;
  waiting.swap(it.waiting);
  it.waiting_bytes = 0;
  for (const fleet::fleet_frame& frame : waiting) {
    // Sending may lose the connection.
    if (!it.stream) return;
    // The asker of a call that is over was told that nobody has it.
    const bool over =
        frame.has_request() && !it.calls.is_unsent(call_number(frame.call()));
    if (!over) send_on(it, frame);
  }
}

void peer_mesh::send_on(link& it, const fleet::fleet_frame& frame) {
  if (!std::exchange(it.awaits, true)) it.looks = 0;
  if (frame.has_request()) {
    it.calls.carried(call_number(frame.call()), it.connection);
  }
  it.stream->send(frame);
  if (!std::exchange(watching_, true)) watch();
}

/// A connection that was replaced takes only its own calls with it.
void peer_mesh::closed(const box_id& to, connection_number which) {
  link& it = link_to(to);
  if (it.stream && it.connection == which) return lost(to);
  std::erase_if(it.retired,
                [&](const auto& r) { return r.connection == which; });
  detail::lose(to, it.calls.take_carried(which), "peer-lost");
}

/// No connection is left to the peer, and none could be made. A dial that fails
/// says nothing of what the connections before it have carried: told to be not
/// taken, jobs among them ran all the same.
void peer_mesh::lost(const box_id& to) {
  link& it = link_to(to);
  it.stream.reset();
  it.awaits = false;
  it.lost_at = clock_.now();
  it.waiting.clear();
  it.waiting_bytes = 0;
  detail::lose(to, it.calls.take_all(), "peer-unreachable");
  if (handlers_.on_lost) handlers_.on_lost(to);
}

void peer_mesh::on_frame(const box_id& from, const fleet::fleet_frame& frame) {
  link& it = link_to(from);
  it.awaits = false;
  if (frame.pong()) return;
  if (!frame.has_response()) {
    return handlers_.on_message(from, frame, it.stream);
  }
  const respond_function respond = it.calls.take(call_number(frame.call()));
  if (respond) respond(frame.response());
}

void peer_mesh::send(const box_id& to, fleet::fleet_frame frame) {
  frame.set_from(self_.str());
  link& it = link_to(to);
  if (it.stream) return send_on(it, frame);
  if (!it.dialling) {
    const bool wait =
        it.lost_at && clock_.now() - *it.lost_at < detail::redial_after;
    if (wait) return;
    dial(to, it);
    if (!it.dialling) return;
  }
  const size_t n = frame.ByteSizeLong();
  if (it.waiting.size() < detail::most_waiting &&
      it.waiting_bytes + n <= detail::most_waiting_bytes) {
    it.waiting_bytes += n;
    it.waiting.push_back(std::move(frame));
  }
}

void peer_mesh::call(const box_id& to, const fleet::fleet_request& request,
                     bool relayed, milliseconds limit,
                     respond_function respond) {
  link& it = link_to(to);
  const bool down = !it.stream && !it.dialling && it.lost_at &&
                    clock_.now() - *it.lost_at < detail::redial_after;
  if (down) {
    return boost::asio::post(io_, [respond = std::move(respond)] {
      lost_call{respond, false}.fail("peer-unreachable");
    });
  }
  last_call_ = last_call_.next();
  it.calls.add(last_call_, clock_.now() + limit, std::move(respond));
  fleet::fleet_frame frame;
  frame.set_call(last_call_.value());
  frame.set_relayed(relayed);
  *frame.mutable_request() = request;
  send(to, std::move(frame));
  if (!std::exchange(sweeping_, true)) sweep();
}

/// Runs only while calls are under way.
void peer_mesh::sweep() {
  sweep_timer_.expires_after(detail::sweep_interval);
  sweep_timer_.async_wait(
      [this, alive = std::weak_ptr(alive_)](boost::system::error_code ec) {
        if (ec || alive.expired()) return;
        std::vector<lost_call> late;
        std::vector<box_id> out_of_reach;
        bool left = false;
        for (auto& [box, it] : links_) {
          bool unsent = false;
          for (lost_call& call : it->calls.take_expired(clock_.now())) {
            unsent = unsent || !call.may_have_run;
            late.push_back(std::move(call));
          }
          if (unsent) out_of_reach.push_back(box);
          left = left || !it->calls.empty();
        }
        // No connection was made in a whole call's time.
        for (const box_id& box : out_of_reach) {
          if (handlers_.on_lost) handlers_.on_lost(box);
        }
        detail::fail_all(late, "no-answer-in-time");
        if (left || !late.empty()) return sweep();
        sweeping_ = false;
      });
}

void peer_mesh::tell_guests(const fleet::fleet_frame& frame) {
  fleet::fleet_frame signed_frame = frame;
  signed_frame.set_from(self_.str());
  const auto guests = guests_;
  for (const stream_pointer& it : guests) it->send(signed_frame);
}

void peer_mesh::close() {
  alive_.reset();
  boost::system::error_code ec;
  acceptor_.close(ec);
  accept_timer_.cancel();
  sweep_timer_.cancel();
  watch_timer_.cancel();
  for (auto& [box, it] : links_) {
    it->timer.cancel();
    it->socket.close(ec);
    if (it->stream) it->stream->close();
    for (const auto& r : it->retired) r.stream->close();
  }
  const auto guests = std::exchange(guests_, {});
  for (const stream_pointer& it : guests) it->close();
}

}  // namespace kestrelreel
