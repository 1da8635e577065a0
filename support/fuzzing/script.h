// Decisions of a run that are read off bytes, so that a fuzzer can change them
// one by one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace kestrelreel::fuzzing {

/// Bytes that are drawn from; 0 once they are used up.
class script {
 public:
  explicit script(std::span<const uint8_t> bytes) : bytes_(bytes) {}
  bool over() const { return at_ >= bytes_.size(); }
  /// A number below `n`, which is 1 to 256.
  size_t draw(size_t n) { return over() ? 0 : bytes_[at_++] % n; }

 private:
  std::span<const uint8_t> bytes_;
  size_t at_ = 0;
};

}  // namespace kestrelreel::fuzzing
