// Gives new jobs over to data centres: the only decision on tasks that the
// whole cluster takes together.
#pragma once

#include <map>

#include "base/ids.h"
#include "base/units.h"
#include "proto/record.pb.h"
#include "record/record-state.h"

namespace kestrelreel {

/// Free room of each data centre that has a holder, by its holder's word.
using data_centre_rooms = std::map<data_centre_id, resource_amount>;

/// A data centre for each job that has none. A job goes to the allowed data
/// centre with the most processors free after what this call gave before it;
/// a job whose data centres all lack a holder, or are evacuated, waits.
proto::delegation plan_jobs(const record_state& state, data_centre_rooms rooms);

}  // namespace kestrelreel
