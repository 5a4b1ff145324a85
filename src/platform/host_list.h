// The platform's list of live and leaving hosts. It lags behind the truth.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"
#include "model/identifiers.h"
#include "model/worker_record.h"

namespace burdockwheel::platform {

// An entry host as the list shows it.
struct EntryHostRecord {
  model::HostId id;
  std::string peer_address;  // IP number and port
  model::FailureDomain failure_domain;
  bool is_leaving = false;
};

struct HostList {
  std::uint64_t generation = 0;  // rises with each change of the list
  std::vector<model::WorkerRecord> workers;
  std::vector<EntryHostRecord> entry_hosts;
};

enum class HostListFailure { kNotJson, kMemberMissing, kMemberMalformed };

// Parses the list's JSON. Unknown members are passed over, since the platform
// may add some.
kernel::Result<HostList, HostListFailure> ParseHostList(std::string_view text);

}  // namespace burdockwheel::platform
