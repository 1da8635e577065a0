// The items of a desired state: their keys, fingerprints and differences.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "proto/record.pb.h"

namespace kestrelreel {

/// Items by key, such as `service/iklim-servis`.
using spec_items = std::map<std::string, proto::spec_item>;

/// The key of an item, made of its kind and name.
std::string key_of(const proto::spec_item& item);
/// The key of the item that evacuates a data centre.
std::string evacuation_key(const std::string& data_centre);
/// Items by their keys.
spec_items by_key(
    const google::protobuf::RepeatedPtrField<proto::spec_item>& items);

/// Fingerprint of one item; the same on every box for equal items.
uint64_t digest_of(const proto::spec_item& item);
/// Fingerprint of all items: the sum of their fingerprints, so that it can be
/// updated for one changed item without reading the others.
uint64_t digest_of(const spec_items& items);

/// How one desired state differs from another.
struct spec_difference {
  std::vector<std::string> added;
  std::vector<std::string> changed;
  std::vector<std::string> removed;
  bool empty() const {
    return added.empty() && changed.empty() && removed.empty();
  }
};

/// The difference that turns `from` into `to`.
spec_difference compare(const spec_items& from, const spec_items& to);
/// The change that turns `from` into `to`; the caller sets versions and names.
proto::state_change make_change(const spec_items& from, const spec_items& to);

/// Digest of one run: the CRC-64 (ECMA-182) of `TASK@ATTEMPT`. The sum over all
/// runs of a worker is the digest with which a holder renews them all at once.
uint64_t run_digest(const task_id& task, attempt_number attempt);

/// Conversions between the wire format's resources and the strong types.
resource_amount to_amount(const proto::resources& r);
proto::resources to_proto(const resource_amount& r);

}  // namespace kestrelreel
