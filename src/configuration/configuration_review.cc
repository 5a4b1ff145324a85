#include "configuration/configuration_review.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>

#include "configuration/configuration_serializer.h"

namespace burdockwheel::configuration {

namespace {

using model::CallKind;
using model::FleetConfiguration;
using model::PrefixRoute;
using model::ServiceDefinition;
using std::chrono::milliseconds;

std::string Text(milliseconds time) {
  return std::to_string(time.count()) + " ms";
}

// Collects findings, sorted by subject.
class FindingList {
 public:
  void Add(FindingKind kind, std::string subject, std::string explanation) {
    this->findings.push_back(
        {kind, std::move(subject), std::move(explanation)});
  }

  Findings Take() {
    std::ranges::stable_sort(this->findings, {}, &Finding::subject);
    return std::move(this->findings);
  }

 private:
  Findings findings;
};

void ReviewKind(const std::string& subject, const CallKind& kind,
                double retry_share, FindingList& list) {
  if (kind.objective > kind.deadline) {
    list.Add(FindingKind::kContradiction, subject,
             "the objective of " + Text(kind.objective) +
                 " is beyond the time limit of " + Text(kind.deadline) +
                 ": answers that are worth their full value are given up");
  }
  if (kind.most_attempts > 1 && retry_share == 0) {
    list.Add(FindingKind::kContradiction, subject,
             std::to_string(kind.most_attempts) +
                 " attempts are allowed, but the retry budget of its service "
                 "is 0");
  }
}

std::set<std::string> ServicesInUse(const FleetConfiguration& configuration) {
  std::set<std::string> used;
  for (const auto& service : configuration.services) {
    if (!service.kinds.empty()) used.insert(service.name.value);
  }
  for (const auto& route : configuration.prefix_routes) {
    for (const auto& target : route.targets) {
      if (target.weight > 0) used.insert(target.service.value);
    }
  }
  return used;
}

void ReviewService(const ServiceDefinition& service,
                   const std::set<std::string>& used, FindingList& list) {
  const std::string subject = "service " + service.name.value;
  if (!used.contains(service.name.value))
    list.Add(FindingKind::kNeverUsed, subject, "no route leads to it");
  if (service.warm_up.calls_per_second > 0 &&
      service.warm_up.duration.count() == 0) {
    list.Add(FindingKind::kContradiction, subject,
             "calls to cold workers are bounded, but no worker is ever cold "
             "(a warm-up of 0 ms)");
  }
  for (const auto& kind : service.kinds) {
    ReviewKind(subject + " call " + kind.name, kind, service.retry_share, list);
    if (service.queue.most_wait >= kind.deadline) {
      list.Add(FindingKind::kContradiction, subject + " call " + kind.name,
               "a call may wait for " + Text(service.queue.most_wait) +
                   ", which is its time limit of " + Text(kind.deadline) +
                   " or more");
    }
  }
}

void ReviewRoute(
    const PrefixRoute& route,
    const std::map<std::string, const ServiceDefinition*>& services,
    FindingList& list) {
  const std::string subject = "route " + route.kind.name;
  double retry_share = 0;
  for (const auto& target : route.targets) {
    if (target.weight == 0) {
      list.Add(FindingKind::kNeverUsed, subject,
               "its part " + target.service.value + " has a weight of 0");
    }
    const auto found = services.find(target.service.value);
    if (found != services.end())
      retry_share = std::max(retry_share, found->second->retry_share);
  }
  ReviewKind(subject, route.kind, retry_share, list);
}

std::string TargetsText(const PrefixRoute& route) {
  std::string text;
  for (const auto& target : route.targets) {
    if (!text.empty()) text += ", ";
    text += target.service.value;
    if (route.targets.size() > 1) text += " " + SerializeNumber(target.weight);
  }
  return text;
}

void CompareKinds(const std::string& subject, const CallKind& before,
                  const CallKind& after, FindingList& list) {
  const auto change = [&](const std::string& what) {
    list.Add(FindingKind::kChange, subject, what);
  };
  if (before.is_idempotent != after.is_idempotent) {
    change(after.is_idempotent ? "its calls may run more than once from now on"
                               : "its calls run at most once from now on");
  }
  if (before.deadline != after.deadline) {
    change("the time limit goes from " + Text(before.deadline) + " to " +
           Text(after.deadline) +
           (after.deadline < before.deadline
                ? ": calls that took longer are given up"
                : ""));
  }
  if (before.objective != after.objective) {
    change("the objective goes from " + Text(before.objective) + " to " +
           Text(after.objective));
  }
  if (before.most_attempts != after.most_attempts) {
    change("the attempts go from " + std::to_string(before.most_attempts) +
           " to " + std::to_string(after.most_attempts));
  }
  if (before.priority != after.priority) {
    change("the rank goes from " + std::to_string(before.priority) + " to " +
           std::to_string(after.priority));
  }
}

using RouteKey = std::pair<std::string, std::string>;

std::map<RouteKey, const PrefixRoute*> RoutesByKey(
    const FleetConfiguration& configuration) {
  std::map<RouteKey, const PrefixRoute*> routes;
  for (const auto& route : configuration.prefix_routes)
    routes.emplace(RouteKey{route.host, route.prefix}, &route);
  return routes;
}

void CompareRoutes(const FleetConfiguration& in_force,
                   const FleetConfiguration& next, FindingList& list) {
  const auto before = RoutesByKey(in_force);
  const auto after = RoutesByKey(next);
  for (const auto& [key, route] : before) {
    if (after.contains(key)) continue;
    list.Add(FindingKind::kChange, "route " + route->kind.name,
             "is removed: calls to " + key.first + key.second +
                 " are refused unless a shorter prefix takes them");
  }
  for (const auto& [key, route] : after) {
    const std::string subject = "route " + route->kind.name;
    const auto found = before.find(key);
    if (found == before.end()) {
      list.Add(FindingKind::kChange, subject,
               "is new: " + key.first + key.second + " leads to " +
                   TargetsText(*route));
      continue;
    }
    if (found->second->targets != route->targets) {
      list.Add(FindingKind::kChange, subject,
               "its calls go to " + TargetsText(*route) + ", before to " +
                   TargetsText(*found->second));
    }
    CompareKinds(subject, found->second->kind, route->kind, list);
  }
}

std::map<std::string, const ServiceDefinition*> ServicesByName(
    const FleetConfiguration& configuration) {
  std::map<std::string, const ServiceDefinition*> services;
  for (const auto& service : configuration.services)
    services.emplace(service.name.value, &service);
  return services;
}

void CompareServices(const FleetConfiguration& in_force,
                     const FleetConfiguration& next, FindingList& list) {
  const auto before = ServicesByName(in_force);
  const auto after = ServicesByName(next);
  for (const auto& [name, service] : before) {
    if (!after.contains(name))
      list.Add(FindingKind::kChange, "service " + name, "is removed");
  }
  for (const auto& [name, service] : after) {
    const auto found = before.find(name);
    if (found == before.end()) {
      list.Add(FindingKind::kChange, "service " + name, "is new");
      continue;
    }
    if (found->second->worker_connections != service->worker_connections) {
      list.Add(FindingKind::kChange, "service " + name,
               "the connections of a worker go from " +
                   std::to_string(found->second->worker_connections) + " to " +
                   std::to_string(service->worker_connections));
    }
    if (!(found->second->warm_up == service->warm_up)) {
      list.Add(FindingKind::kChange, "service " + name,
               "what a cold worker bears changes");
    }
    for (const auto& kind : service->kinds) {
      const auto& old_kinds = found->second->kinds;
      const auto old = std::ranges::find(old_kinds, kind.name, &CallKind::name);
      const std::string subject = "service " + name + " call " + kind.name;
      if (old == old_kinds.end()) {
        list.Add(FindingKind::kChange, subject, "is new");
        continue;
      }
      CompareKinds(subject, *old, kind, list);
    }
  }
}

}  // namespace

std::string_view FindingKindName(FindingKind kind) {
  switch (kind) {
    case FindingKind::kNeverUsed:
      return "never-used";
    case FindingKind::kContradiction:
      return "contradiction";
    case FindingKind::kAdjusted:
      return "adjusted";
    case FindingKind::kChange:
      return "change";
  }
  return "unspecified";
}

Findings ReviewConfiguration(const FleetConfiguration& configuration) {
  FindingList list;
  const auto used = ServicesInUse(configuration);
  const auto services = ServicesByName(configuration);
  for (const auto& service : configuration.services)
    ReviewService(service, used, list);
  for (const auto& route : configuration.prefix_routes)
    ReviewRoute(route, services, list);
  return list.Take();
}

Findings CompareConfigurations(const FleetConfiguration& in_force,
                               const FleetConfiguration& next) {
  FindingList list;
  if (next.version <= in_force.version) {
    list.Add(FindingKind::kContradiction, "version",
             std::to_string(next.version) + " is not above " +
                 std::to_string(in_force.version) +
                 ", which is in force: no host takes it");
  }
  CompareServices(in_force, next, list);
  CompareRoutes(in_force, next, list);
  return list.Take();
}

}  // namespace burdockwheel::configuration
