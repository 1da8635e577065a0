// Connections between boxes that go silent: a proxy on loopback goes on taking
// bytes of an open connection and passes none on, while new ones work. No check
// depends on how long a step takes, short of a minute.
#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "net/peer-mesh.h"

using namespace kestrelreel;

namespace {

using boost::asio::ip::tcp;

/// Each process has its own, below those that the kernel gives out: two runs of
/// the tests on one machine don't meet.
const auto mesh_port = static_cast<uint16_t>(20'000 + getpid() % 10'000);
constexpr const char* near_ip = "127.0.44.1";
constexpr const char* proxy_ip = "127.0.44.2";
constexpr const char* far_ip = "127.0.44.3";
constexpr std::chrono::seconds patience{60};

tcp::endpoint endpoint_of(const char* ip) {
  return {boost::asio::ip::make_address(ip), mesh_port};
}

/// One connection through the proxy.
class proxied : public std::enable_shared_from_this<proxied> {
 public:
  proxied(tcp::socket from, boost::asio::io_context& io)
      : from_(std::move(from)), to_(io) {}
  void start() {
    boost::system::error_code ec;
    to_.connect(endpoint_of(far_ip), ec);
    pump(from_, to_, there_);
    pump(to_, from_, back_);
  }
  /// Bytes are taken and dropped from now on.
  void swallow() { swallows_ = true; }

 private:
  using buffer_type = std::array<char, 4'096>;
  void pump(tcp::socket& in, tcp::socket& out, buffer_type& buf) {
    in.async_read_some(
        boost::asio::buffer(buf), [self = shared_from_this(), &in, &out, &buf](
                                      boost::system::error_code ec, size_t n) {
          boost::system::error_code closed;
          if (ec) {
            out.close(closed);
            return;
          }
          if (!self->swallows_) {
            boost::asio::write(out, boost::asio::buffer(buf.data(), n), closed);
          }
          self->pump(in, out, buf);
        });
  }

  tcp::socket from_;
  tcp::socket to_;
  buffer_type there_{};
  buffer_type back_{};
  bool swallows_ = false;
};

class silent_proxy {
 public:
  explicit silent_proxy(boost::asio::io_context& io)
      : io_(io), acceptor_(io, endpoint_of(proxy_ip)) {
    accept();
  }
  void swallow_open_ones() {
    for (const auto& it : open_) it->swallow();
  }
  size_t connections() const { return open_.size(); }

 private:
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code ec, tcp::socket s) {
      if (ec) return;
      open_.push_back(std::make_shared<proxied>(std::move(s), io_));
      open_.back()->start();
      accept();
    });
  }

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<proxied>> open_;
};

}  // namespace

TEST_GROUP(peer_mesh) {
  boost::asio::io_context io;
  boot_clock clock;
  peer_mesh near_mesh{io, clock, box_id(near_ip), mesh_port};
  peer_mesh far_mesh{io, clock, box_id(far_ip), mesh_port};

  void setup() override {
    peer_mesh::handlers handlers;
    handlers.on_message = [](const auto&, const auto&, const auto&) {};
    handlers.on_request = [](const auto&, const auto& respond) {
      fleet::fleet_response response;
      response.set_status(fleet::fleet_ok);
      respond(response);
    };
    near_mesh.set_handlers(handlers);
    far_mesh.set_handlers(handlers);
    CHECK_TRUE(far_mesh.listen().ok());
  }
  fleet::fleet_status ask(const char* to) {
    bool answered = false;
    fleet::fleet_status status = fleet::fleet_unknown;
    near_mesh.call(box_id(to), {}, false, milliseconds(200),
                   [&](const fleet::fleet_response& it) {
                     status = it.status();
                     answered = true;
                   });
    while (!answered) io.run_one();
    return status;
  }
  bool eventually(const std::function<bool()>& holds) {
    const auto end = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < end) {
      if (holds()) return true;
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return false;
  }
};

TEST(peer_mesh, call_is_answered) { LONGS_EQUAL(fleet::fleet_ok, ask(far_ip)); }

TEST(peer_mesh, silent_connection_is_replaced) {
  silent_proxy proxy(io);
  CHECK_TRUE(eventually([&] { return ask(proxy_ip) == fleet::fleet_ok; }));
  proxy.swallow_open_ones();
  LONGS_EQUAL(fleet::fleet_unknown, ask(proxy_ip));
  CHECK_TRUE(eventually([&] { return ask(proxy_ip) == fleet::fleet_ok; }));
}

TEST(peer_mesh, silent_connection_that_only_sends_is_replaced) {
  silent_proxy proxy(io);
  const auto send = [&] {
    fleet::fleet_frame frame;
    frame.mutable_raft();
    near_mesh.send(box_id(proxy_ip), std::move(frame));
  };
  send();
  CHECK_TRUE(eventually([&] { return proxy.connections() == 1; }));
  proxy.swallow_open_ones();
  CHECK_TRUE(eventually([&] {
    send();
    return proxy.connections() >= 2;
  }));
}

// What waits for a connection to a box that was frozen, snapshots among it, may
// be more than a connection queues.
TEST(peer_mesh, more_than_a_connection_takes_may_wait_for_it) {
  constexpr size_t large = 30 << 20;
  for (int i = 0; i < 4; ++i) {
    fleet::fleet_frame frame;
    frame.mutable_raft()->mutable_snapshot()->set_data(std::string(large, 'x'));
    near_mesh.send(box_id(far_ip), std::move(frame));
  }
  CHECK_TRUE(eventually([&] { return ask(far_ip) == fleet::fleet_ok; }));
}

TEST(peer_mesh, idle_connection_stays) {
  silent_proxy proxy(io);
  CHECK_TRUE(eventually([&] { return ask(proxy_ip) == fleet::fleet_ok; }));
  for (int i = 0; i < 30; ++i) {
    LONGS_EQUAL(fleet::fleet_ok, ask(proxy_ip));
    io.run_one_for(std::chrono::milliseconds(100));
  }
  LONGS_EQUAL(1, proxy.connections());
}
