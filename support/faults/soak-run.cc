#include "support/faults/soak-run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <utility>

#include "base/text.h"

namespace kestrelreel::faults {
namespace {

using boost::asio::co_spawn;
using boost::asio::detached;
using boost::asio::ip::tcp;

/// How long the processes may take to found the record.
constexpr milliseconds founding_patience{30'000};
/// After the last fault all that was accepted ends within this time: a lease of
/// 3 s, an election, and a slow machine.
constexpr milliseconds calm_patience{40'000};
constexpr milliseconds calm_pause{200};
/// From when a box's answers vanish until it is dark: below the 1.2 s after
/// which its peers replace the silent connections.
constexpr milliseconds answers_vanish_for{1'000};
/// They race for the configuration.
constexpr uint64_t operators = 2;
/// A box that got SIGTERM has ended by then.
constexpr milliseconds stop_patience{7'000};

tcp::endpoint endpoint(const std::string& ip, uint16_t port) {
  return {boost::asio::ip::make_address(ip), port};
}

}  // namespace

soak_run::soak_run(soak_settings settings)
    : settings_(std::move(settings)), boxes_(settings_.place) {}

boost::asio::awaitable<void> soak_run::nap(milliseconds length) {
  boost::asio::steady_timer timer(io_, length);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

bool soak_run::take_addresses() {
  const soak_place& place = settings_.place;
  for (unsigned i = 0; i < place.controls; ++i) {
    links_.push_back(std::make_unique<link_proxy>(
        io_, endpoint(place.control_ip(i), soak_peer_port),
        endpoint(place.hidden_ip(i), soak_peer_port)));
    links_.back()->limit(settings_.link_bytes);
    if (!links_.back()->take_new_ones(true)) return false;
  }
  return true;
}

soak_result soak_run::run() {
  if (!take_addresses()) {
    result_.broken.emplace_back("SETUP the soak's addresses are taken");
    return result_;
  }
  boxes_.write_settings();
  for (const std::string& it : boxes_.names()) boxes_.start(it);
  co_spawn(io_, play(), [this](const std::exception_ptr& fault) {
    if (fault) result_.broken.emplace_back("SETUP the soak itself failed");
    io_.stop();
  });
  io_.run();
  for (const std::string& it : boxes_.names()) boxes_.stop(it, SIGKILL);
  result_.jobs = seen_.jobs();
  result_.runs = seen_.runs();
  result_.statuses = seen_.statuses();
  result_.cancels = seen_.cancels();
  result_.states = seen_.states();
  result_.crashes = seen_.crashes();
  result_.stops = seen_.stops().stops();
  result_.writes = seen_.configurations().writes();
  result_.reads = seen_.configurations().reads();
  result_.longest_unheard = seen_.leases().longest_unheard();
  return result_;
}

boost::asio::awaitable<bool> soak_run::founded() {
  std::vector<std::string> controls;
  for (unsigned i = 0; i < settings_.place.controls; ++i) {
    controls.push_back(settings_.place.control_address(i));
  }
  const uint64_t seed = settings_.plan.seed;
  for (uint64_t i = 0; i < operators; ++i) {
    operators_.push_back(std::make_unique<soak_operator>(
        io_, clock_, controls, seen_, seed * 1'000 + i,
        soak_operator::place_in_line{i, operators}));
  }
  const bool founded = co_await operators_[0]->found(founding_patience);
  if (!founded) co_return false;
  for (unsigned i = 0; i < settings_.workers; ++i) {
    worker_settings it;
    it.id = str_cat("i-", i);
    it.address = str_cat("127.0.0.1:", i + 1);
    it.controls = controls;
    std::rotate(it.controls.begin(),
                it.controls.begin() + i % settings_.place.controls,
                it.controls.end());
    workers_.push_back(std::make_unique<soak_worker>(
        io_, clock_, std::move(it), seen_, seed * 1'000 + 100 + i));
    co_spawn(io_, workers_.back()->run(), detached);
  }
  co_return true;
}

boost::asio::awaitable<void> soak_run::play() {
  if (!co_await founded()) {
    result_.broken.emplace_back("SETUP no configuration was acknowledged");
    co_return;
  }
  std::vector<std::string> entries;
  for (unsigned i = 0; i < settings_.place.entries; ++i) {
    entries.push_back(settings_.place.callers_address(i));
  }
  began_ = clock_.now();
  const time_point until = began_ + settings_.plan.length;
  for (unsigned i = 0; i < settings_.callers; ++i) {
    callers_.push_back(std::make_unique<soak_caller>(
        io_, clock_, entries, seen_, settings_.plan.seed * 1'000 + 500 + i,
        settings_.text_bytes));
    co_spawn(io_, callers_.back()->run(until), detached);
  }
  for (const auto& it : operators_) co_spawn(io_, it->run(until), detached);
  co_await strike_all(began_);
  co_await nap(std::max(until - clock_.now(), milliseconds(0)));
  co_await calm_down();
}

boost::asio::awaitable<void> soak_run::strike_all(time_point from) {
  for (const fault_strike& it : plan_faults(settings_.plan)) {
    co_await nap(std::max(from + it.at - clock_.now(), milliseconds(0)));
    co_spawn(io_, strike(it), detached);
  }
}

boost::asio::awaitable<void> soak_run::strike(fault_strike it) {
  if (it.on_leader) it.box = boxes_.leader();
  if (it.on_absent && !absent_.empty()) it.box = *absent_.begin();
  const std::string name = it.on_entry ? soak_place::entry_name(it.box)
                                       : soak_place::control_name(it.box);
  result_.strikes.push_back(
      str_cat((clock_.now() - began_).count(), " ", to_string(it.kind), " ",
              name, it.on_leader ? " (leader) " : " ", it.length.count(),
              it.boxes > 1 ? str_cat(" and ", it.boxes - 1, " more") : ""));
  if (!it.on_entry) excuse_leases(it);
  switch (it.kind) {
    case fault_kind::dark_after_answers_vanish:
      co_return co_await dark_after_answers_vanish(it, name);
    case fault_kind::freeze:
      co_return co_await freeze(it, name);
    case fault_kind::suspend:
      boxes_.mark_suspended(name);
      co_return co_await freeze(it, name);
    case fault_kind::kill:
      if (!it.on_entry) links_[it.box]->take_new_ones(false);
      if (boxes_.stop(name, SIGKILL)) note_strike(it, clock_.now());
      co_return co_await restart_after(it, name);
    case fault_kind::terminate:
      if (boxes_.stop(name, SIGTERM) && it.on_entry) {
        seen_.stops().told_to_stop(settings_.place.callers_address(it.box),
                                   clock_.now());
      }
      co_await nap(stop_patience);
      co_return co_await restart_after(it, name);
    case fault_kind::reload:
      boxes_.signal(name, SIGHUP);
      co_return;
    case fault_kind::absence:
      co_return co_await absence(it);
    default:
      co_return co_await strike_links(it);
  }
}

/// Workers may be unheard for a while after a strike, but not because a box
/// that was absent is back.
void soak_run::excuse_leases(const fault_strike& it) {
  if (it.kind == fault_kind::reload || absent_.contains(it.box)) return;
  const time_point now = clock_.now();
  const bool waits = it.kind == fault_kind::terminate;
  milliseconds length = waits ? it.length + stop_patience : it.length;
  if (it.kind == fault_kind::dark_after_answers_vanish) {
    length += answers_vanish_for;
  }
  if (it.kind == fault_kind::absence) length = milliseconds(0);
  seen_.leases().excused(now, now + length + settled_within);
}

boost::asio::awaitable<void> soak_run::absence(fault_strike it) {
  std::set<unsigned> boxes;
  for (unsigned i = 0; i < it.boxes; ++i) {
    boxes.insert((it.box + i) % settings_.place.controls);
  }
  for (const unsigned box : boxes) cut_off(box, true);
  absent_ = boxes;
  co_await nap(it.length);
  absent_.clear();
  for (const unsigned box : boxes) cut_off(box, false);
}

/// What the entry box owes is excused from now until `until`.
void soak_run::note_strike(const fault_strike& it, time_point until) {
  if (!it.on_entry) return;
  seen_.stops().struck(settings_.place.callers_address(it.box), clock_.now(),
                       until);
}

boost::asio::awaitable<void> soak_run::freeze(const fault_strike& it,
                                              const std::string& name) {
  if (!boxes_.signal(name, SIGSTOP)) co_return;
  note_strike(it, clock_.now() + it.length);
  co_await nap(it.length);
  boxes_.signal(name, SIGCONT);
}

boost::asio::awaitable<void> soak_run::strike_links(const fault_strike& it) {
  link_proxy& link = *links_[it.box];
  switch (it.kind) {
    case fault_kind::silent_links:
      link.silence_open_ones(silence::both);
      co_return;
    case fault_kind::silent_answers:
      link.silence_open_ones(silence::from_box);
      co_return;
    case fault_kind::silent_requests:
      link.silence_open_ones(silence::towards_box);
      co_return;
    case fault_kind::reset:
      link.reset_open_ones();
      co_return;
    case fault_kind::cut:
      cut_off(it.box, true);
      co_await nap(it.length);
      cut_off(it.box, false);
      co_return;
    default: {
      const std::string name = soak_place::control_name(it.box);
      cut_off(it.box, true);
      boxes_.stop(name, SIGKILL);
      co_await restart_after(it, name);
      cut_off(it.box, false);
    }
  }
}

/// Requests reach the box and are taken; nobody hears of it.
boost::asio::awaitable<void> soak_run::dark_after_answers_vanish(
    const fault_strike& it, const std::string& name) {
  links_[it.box]->silence_open_ones(silence::from_box);
  co_await nap(answers_vanish_for);
  links_[it.box]->silence_open_ones(silence::both);
  links_[it.box]->take_new_ones(false);
  boxes_.stop(name, SIGKILL);
  co_await restart_after(it, name);
}

boost::asio::awaitable<void> soak_run::restart_after(const fault_strike& it,
                                                     const std::string& name) {
  co_await nap(it.length);
  start(name);
  if (!it.on_entry && !absent_.contains(it.box)) {
    links_[it.box]->take_new_ones(true);
  }
}

void soak_run::cut_off(unsigned box, bool it) {
  if (absent_.contains(box)) return;
  const std::string ip = settings_.place.control_ip(box);
  if (it) links_[box]->silence_open_ones(silence::both);
  links_[box]->take_new_ones(!it);
  for (unsigned i = 0; i < links_.size(); ++i) {
    if (i != box) links_[i]->shun(ip, it);
  }
}

void soak_run::heal_all() {
  for (unsigned i = 0; i < links_.size(); ++i) cut_off(i, false);
  for (const std::string& it : boxes_.names()) {
    boxes_.signal(it, SIGCONT);
    start(it);
  }
}

void soak_run::start(const std::string& name) {
  if (!boxes_.start(name)) return;
  for (unsigned i = 0; i < settings_.place.entries; ++i) {
    if (soak_place::entry_name(i) != name) continue;
    seen_.stops().started(settings_.place.callers_address(i));
  }
}

boost::asio::awaitable<void> soak_run::calm_down() {
  const time_point until = clock_.now() + stop_patience + calm_patience;
  // Strikes that began late end by themselves within this time.
  const time_point healed_by = clock_.now() + stop_patience + calm_pause * 20;
  bool done = false;
  while (clock_.now() < until && !(done && clock_.now() > healed_by)) {
    heal_all();
    co_await nap(calm_pause);
    done = seen_.all_done();
  }
  bool read = true;
  for (const auto& it : operators_) {
    read = co_await it->read_once(founding_patience) && read;
  }
  seen_.leases().over(clock_.now());
  result_.broken = seen_.broken(true);
  for (std::string& it : boxes_.ended_by_themselves()) {
    result_.broken.push_back(std::move(it));
  }
  if (!read) result_.broken.emplace_back("CONFIG can't be read back");
}

}  // namespace kestrelreel::faults
