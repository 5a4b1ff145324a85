// Stores the calls of a host until all their attempts have ended.
#pragma once

#include <unordered_map>
#include <utility>
#include <vector>

#include "engine/call_state.h"
#include "model/identifiers.h"

namespace burdockwheel::engine {

// Maps ids to calls. Reuses the map nodes of erased calls for new ones.
class CallTable {
 public:
  CallState& Add(model::CallId id) {
    if (this->spare_nodes.empty()) {
      CallState& call = this->calls[id];
      call.id = id;
      return call;
    }
    auto node = std::move(this->spare_nodes.back());
    this->spare_nodes.pop_back();
    node.key() = id;
    CallState& call = this->calls.insert(std::move(node)).position->second;
    call.id = id;
    return call;
  }

  CallState* FindOrNull(model::CallId id) {
    const auto found = this->calls.find(id);
    return found == this->calls.end() ? nullptr : &found->second;
  }

  // Calls `visit` with each call; it must neither add nor erase any.
  template <typename Visit>
  void ForEach(Visit&& visit) {
    for (auto& [id, call] : this->calls) visit(call);
  }

  void Erase(model::CallId id) {
    auto node = this->calls.extract(id);
    if (node.empty()) return;
    auto attempts = std::move(node.mapped().attempts);
    attempts.clear();
    node.mapped() = CallState();
    node.mapped().attempts = std::move(attempts);
    if (this->spare_nodes.size() < kMaxSpareNodes)
      this->spare_nodes.push_back(std::move(node));
  }

 private:
  static constexpr std::size_t kMaxSpareNodes = 1024;

  using Calls = std::unordered_map<model::CallId, CallState>;

  Calls calls;
  std::vector<Calls::node_type> spare_nodes;
};

}  // namespace burdockwheel::engine
