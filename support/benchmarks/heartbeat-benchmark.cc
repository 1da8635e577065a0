// What it takes to read one worker's heartbeat: microseconds and allocations,
// the median of some rounds, on one line.
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <new>
#include <string>
#include <vector>

#include "base/text.h"
#include "platform/codec.h"

namespace {

uint64_t allocations = 0;

/// As a worker with 13 tasks and two ends says it.
std::string make_body() {
  std::string body =
      R"json({"Service":"pool","Addr":"10.2.64.19:8424","Zone":"z",
      "Version":"v1","Slots":8,"State":"ready","Seq":183,"ColdLeftMs":0,
      "Capacity":{"Cpu":48000,"MemMb":192000,"Gpu":0},"Labels":["a","r2-2"],
      "machine":"m-a8918","ClockMs":8895083,"born":1768000001918,"Running":[)json";
  constexpr int tasks = 13;
  for (int i = 0; i < tasks; ++i) {
    kestrelreel::str_append(body, i == 0 ? "" : ",",
                            R"(["0a2e99e25c93b51c.0.0.)", i,
                            R"(",1,"000003e8eca37e52",42,5336])");
  }
  return body + R"(],"Ended":[[60,"86584c5d8d3a8677.0.1.6",1,"done",""],
      [61,"86584c5d8d3a8677.0.1.7",1,"done",""]]})";
}

}  // namespace

void* operator new(size_t n) {
  ++allocations;
  if (void* at = std::malloc(n)) return at;
  throw std::bad_alloc();
}
void operator delete(void* at) noexcept { std::free(at); }
void operator delete(void* at, size_t) noexcept { std::free(at); }

int main() {
  constexpr int rounds = 21;
  constexpr int reads = 5'000;
  const std::string body = make_body();
  std::vector<double> micros;
  uint64_t each = 0;
  for (int round = 0; round < rounds; ++round) {
    const auto begun = std::chrono::steady_clock::now();
    const uint64_t before = allocations;
    for (int i = 0; i < reads; ++i) {
      if (!kestrelreel::platform::read_beat("i-eaa53f708d", body).ok()) {
        std::cerr << "the heartbeat was not read\n";
        return 1;
      }
    }
    const std::chrono::duration<double, std::micro> passed =
        std::chrono::steady_clock::now() - begun;
    micros.push_back(passed.count() / reads);
    each = (allocations - before) / reads;
  }
  std::nth_element(micros.begin(), micros.begin() + rounds / 2, micros.end());
  std::cout << "heartbeat-us=" << micros[rounds / 2] << " allocations=" << each
            << "\n";
  return 0;
}
