#include "fleet/run-presence.h"

namespace kestrelreel {

run_presence presence_of(const worker_view& it, const run_key& run) {
  if (it.rows.contains(run)) return run_presence::running;
  if (it.listed_ends.contains(run) || it.unlisted_ends.contains(run))
    return run_presence::ended;
  return may_omit_ends(it.beat) ? run_presence::unknown : run_presence::absent;
}

bool has_begun(const worker_view& it, const run_key& run) {
  const run_presence presence = presence_of(it, run);
  return presence == run_presence::running || presence == run_presence::ended;
}

}  // namespace kestrelreel
