#include "record/spec.h"

#include <boost/crc.hpp>

#include "base/text.h"

namespace kestrelreel {

std::string evacuation_key(const std::string& data_centre) {
  return "evacuation/" + data_centre;
}

std::string key_of(const proto::spec_item& item) {
  switch (item.body_case()) {
    case proto::spec_item::kTeam:
      return "team/" + item.team().name();
    case proto::spec_item::kService:
      return "service/" + item.service().name();
    case proto::spec_item::kJob:
      return "job/" + item.job().name();
    case proto::spec_item::kEvacuation:
      return evacuation_key(item.evacuation().data_centre());
    case proto::spec_item::BODY_NOT_SET:
      break;
  }
  return "";
}

spec_items by_key(
    const google::protobuf::RepeatedPtrField<proto::spec_item>& items) {
  spec_items result;
  for (const proto::spec_item& it : items) result[it.key()] = it;
  return result;
}

namespace detail {

/// CRC-64 of ECMA-182.
uint64_t checksum(const std::string& bytes) {
  boost::crc_optimal<64, 0x42f0e1eba9ea3693> crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

}  // namespace detail

uint64_t digest_of(const proto::spec_item& item) {
  // The messages contain no maps, so their serialization is deterministic.
  return detail::checksum(item.SerializeAsString());
}

uint64_t run_digest(const task_id& task, attempt_number attempt) {
  return detail::checksum(str_cat(task.str(), "@", attempt.value()));
}

uint64_t digest_of(const spec_items& items) {
  uint64_t sum = 0;
  for (const auto& [key, it] : items) sum += digest_of(it);
  return sum;
}

spec_difference compare(const spec_items& from, const spec_items& to) {
  spec_difference result;
  for (const auto& [key, it] : to) {
    const auto old = from.find(key);
    if (old == from.end()) {
      result.added.push_back(key);
    } else if (old->second.SerializeAsString() != it.SerializeAsString()) {
      result.changed.push_back(key);
    }
  }
  for (const auto& [key, it] : from) {
    if (!to.contains(key)) result.removed.push_back(key);
  }
  return result;
}

proto::state_change make_change(const spec_items& from, const spec_items& to) {
  const spec_difference difference = compare(from, to);
  proto::state_change change;
  for (const std::string& it : difference.added) {
    *change.add_puts() = to.at(it);
  }
  for (const std::string& it : difference.changed) {
    *change.add_puts() = to.at(it);
  }
  for (const std::string& it : difference.removed) change.add_deletes(it);
  change.set_digest(digest_of(to));
  return change;
}

resource_amount to_amount(const proto::resources& r) {
  return {cpu_milli{r.cpu_milli()}, byte_count{r.memory_bytes()},
          accelerator_count{r.accelerators()}};
}

proto::resources to_proto(const resource_amount& r) {
  proto::resources result;
  result.set_cpu_milli(r.cpu.value);
  result.set_memory_bytes(r.memory.value);
  result.set_accelerators(r.accelerators.value);
  return result;
}

}  // namespace kestrelreel
