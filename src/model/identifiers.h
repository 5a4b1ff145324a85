// Names of the things that a deployment consists of.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace burdockwheel::model {

// A value that cannot be mistaken for one of another kind.
template <typename Tag, typename Representation>
struct TypedId {
  Representation value{};

  // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TypedId&, const TypedId&) = default;
};

// The name of an entry host, unique in a deployment, from the host's settings.
using HostId = TypedId<struct HostIdTag, std::string>;

// Distinguishes the lives of a host's process; drawn at random at each start.
using Incarnation = TypedId<struct IncarnationTag, std::uint64_t>;

// The name of a failure domain, from the host's settings and the platform's
// list of hosts.
using FailureDomain = TypedId<struct FailureDomainTag, std::string>;

// The name of a service, from its operators' file.
using ServiceName = TypedId<struct ServiceNameTag, std::string>;

// The IP number and port of a worker, such as "127.0.0.1:8080". An address may
// be given to another worker after its worker has ended.
using WorkerAddress = TypedId<struct WorkerAddressTag, std::string>;

// The name of a worker in the platform's list, unique among the workers that
// are listed at the same time.
using WorkerId = TypedId<struct WorkerIdTag, std::string>;

// A call that an entry host has accepted, unique in the life of its process.
using CallId = TypedId<struct CallIdTag, std::uint64_t>;

// One sending of a call to one worker, unique in the life of its process.
using AttemptId = TypedId<struct AttemptIdTag, std::uint64_t>;

}  // namespace burdockwheel::model

template <typename Tag, typename Representation>
struct std::hash<burdockwheel::model::TypedId<Tag, Representation>> {
  std::size_t operator()(
      const burdockwheel::model::TypedId<Tag, Representation>& id) const {
    return std::hash<Representation>()(id.value);
  }
};
