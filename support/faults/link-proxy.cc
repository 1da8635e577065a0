#include "support/faults/link-proxy.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "net/frame-stream.h"

namespace kestrelreel::faults {

using boost::asio::ip::tcp;

/// One connection: two pumps, each of which may be silenced for good.
class link_proxy::connection
    : public std::enable_shared_from_this<link_proxy::connection> {
 public:
  connection(link_proxy& proxy, tcp::socket peer)
      : proxy_(proxy),
        peer_(std::move(peer)),
        box_(proxy.io_),
        towards_due_(proxy.io_),
        from_due_(proxy.io_) {}

  void start(const tcp::endpoint& box) {
    box_.async_connect(box, [self = shared_from_this()](
                                boost::system::error_code ec) {
      if (ec) return self->end();
      boost::system::error_code option;
      self->peer_.set_option(tcp::no_delay(true), option);
      self->box_.set_option(tcp::no_delay(true), option);
      self->pump(self->peer_, self->box_, self->towards_, self->mute_towards_);
      self->pump(self->box_, self->peer_, self->from_, self->mute_from_);
    });
  }
  void silence_it(silence way) {
    mute_towards_ = mute_towards_ || way != silence::from_box;
    mute_from_ = mute_from_ || way != silence::towards_box;
  }
  void reset() {
    boost::system::error_code ec;
    for (tcp::socket* it : {&peer_, &box_}) {
      it->set_option(boost::asio::socket_base::linger(true, 0), ec);
      it->close(ec);
    }
  }
  bool is_over() const { return !peer_.is_open(); }
  const std::string& dialler() const { return dialler_; }

 private:
  using buffer_type = std::array<char, 16'384>;

  void pump(tcp::socket& in, tcp::socket& out, buffer_type& buf,
            const bool& mute) {
    in.async_read_some(boost::asio::buffer(buf),
                       [self = shared_from_this(), &in, &out, &buf, &mute](
                           boost::system::error_code ec, size_t n) {
                         if (ec) return self->ended(mute);
                         if (&in == &self->peer_)
                           self->look_for_dialler(buf, n);
                         if (mute) return self->pump(in, out, buf, mute);
                         self->pass_in_time(in, out, buf, n, mute);
                       });
  }
  void pass_in_time(tcp::socket& in, tcp::socket& out, buffer_type& buf,
                    size_t n, const bool& mute) {
    if (proxy_.rate_ == 0) return pass_on(in, out, buf, n, mute);
    const bool towards = &in == &peer_;
    auto& due = towards ? towards_due_ : from_due_;
    due.expires_at(proxy_.book(
        towards ? proxy_.towards_free_at_ : proxy_.from_free_at_, n));
    due.async_wait([self = shared_from_this(), &in, &out, &buf, n,
                    &mute](boost::system::error_code) {
      self->pass_on(in, out, buf, n, mute);
    });
  }
  void pass_on(tcp::socket& in, tcp::socket& out, buffer_type& buf, size_t n,
               const bool& mute) {
    boost::asio::async_write(out, boost::asio::buffer(buf.data(), n),
                             [self = shared_from_this(), &in, &out, &buf,
                              &mute](boost::system::error_code ec, size_t) {
                               if (ec) return self->ended(mute);
                               self->pump(in, out, buf, mute);
                             });
  }
  /// The first message names the box that sent it.
  void look_for_dialler(const buffer_type& buf, size_t n) {
    if (!dialler_.empty()) return;
    head_.append(buf.data(), n);
    read_frames(head_, [this](const fleet::fleet_frame& frame) {
      dialler_ = frame.from();
      return false;
    });
    if (dialler_.empty()) return;
    head_.clear();
    if (proxy_.shunned_.contains(dialler_)) silence_it(silence::both);
  }
  /// The end of one side is told to the other, unless that way is silent.
  void ended(bool mute) {
    if (!mute) end();
  }
  void end() {
    boost::system::error_code ec;
    peer_.close(ec);
    box_.close(ec);
  }

  link_proxy& proxy_;
  tcp::socket peer_;
  tcp::socket box_;
  boost::asio::steady_timer towards_due_;
  boost::asio::steady_timer from_due_;
  buffer_type towards_{};
  buffer_type from_{};
  bool mute_towards_ = false;
  bool mute_from_ = false;
  std::string head_;
  std::string dialler_;
};

link_proxy::link_proxy(boost::asio::io_context& io, tcp::endpoint known_at,
                       tcp::endpoint box)
    : io_(io),
      known_at_(std::move(known_at)),
      box_(std::move(box)),
      acceptor_(io) {}

link_proxy::~link_proxy() {
  alive_.reset();
  boost::system::error_code ec;
  acceptor_.close(ec);
  reset_open_ones();
}

link_proxy::instant link_proxy::book(instant& free_at, size_t n) const {
  const instant now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> length(static_cast<double>(n) /
                                             static_cast<double>(rate_));
  free_at = std::max(free_at, now) +
            std::chrono::duration_cast<instant::duration>(length);
  return free_at;
}

bool link_proxy::take_new_ones(bool it) {
  boost::system::error_code ec;
  if (!it) {
    acceptor_.close(ec);
    return true;
  }
  if (acceptor_.is_open()) return true;
  acceptor_.open(tcp::v4(), ec);
  if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind(known_at_, ec);
  if (!ec) {
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, ec);
  }
  if (!ec) accept();
  return !ec;
}

void link_proxy::accept() {
  acceptor_.async_accept([this, alive = std::weak_ptr(alive_)](
                             boost::system::error_code ec, tcp::socket socket) {
    if (alive.expired() || ec) return;
    std::erase_if(open_, [](const auto& it) { return it->is_over(); });
    auto it = std::make_shared<connection>(*this, std::move(socket));
    open_.insert(it);
    it->start(box_);
    accept();
  });
}

void link_proxy::silence_open_ones(silence way) {
  for (const auto& it : open_) it->silence_it(way);
}

void link_proxy::reset_open_ones() {
  for (const auto& it : open_) it->reset();
  open_.clear();
}

void link_proxy::shun(const std::string& dialler, bool it) {
  if (!it) {
    shunned_.erase(dialler);
    return;
  }
  shunned_.insert(dialler);
  for (const auto& open : open_) {
    if (open->dialler() == dialler) open->silence_it(silence::both);
  }
}

}  // namespace kestrelreel::faults
