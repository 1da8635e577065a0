// Preloaded into the soak's processes: a steady clock that stands still while
// its box is suspended, as the kernel's does.
//
// A process that was stopped (SIGSTOP) sees a gap between two readings. Where
// the file named by KESTRELREEL_SUSPENDED exists by then, the gap was a
// suspension: the file is removed, and the steady clock leaves the gap out.
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace {

constexpr int64_t ns_per_s = 1'000'000'000;
/// A process reads its clock every 100 ms or more often.
constexpr int64_t least_gap_ns = ns_per_s;

std::atomic<int64_t> last_ns{0};
std::atomic<int64_t> left_out_ns{0};

void note_gap(int64_t now_ns) {
  const int64_t before = last_ns.exchange(now_ns);
  if (before == 0 || now_ns - before < least_gap_ns) return;
  const char* file = std::getenv("KESTRELREEL_SUSPENDED");
  if (file == nullptr || unlink(file) != 0) return;
  left_out_ns += now_ns - before;
}

}  // namespace

extern "C" int clock_gettime(clockid_t id, timespec* out) noexcept {
  const long rc = syscall(SYS_clock_gettime, id, out);
  if (rc != 0 || id != CLOCK_MONOTONIC) return static_cast<int>(rc);
  const int64_t now_ns = out->tv_sec * ns_per_s + out->tv_nsec;
  note_gap(now_ns);
  const int64_t told = now_ns - left_out_ns;
  out->tv_sec = told / ns_per_s;
  out->tv_nsec = told % ns_per_s;
  return 0;
}
