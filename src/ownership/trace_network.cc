#include "ownership/trace_network.h"

namespace burdockwheel::ownership {

void TraceNetwork::Cut(const std::string& from, const std::string& to) {
  this->cut_links.emplace(from, to);
}

void TraceNetwork::Heal(const std::string& from, const std::string& to) {
  this->cut_links.erase({from, to});
}

bool TraceNetwork::TrySend(TraceMessage message) {
  if (this->cut_links.contains({message.from.host.value, message.to}))
    return false;
  this->messages.push_back(std::move(message));
  return true;
}

std::optional<TraceMessage> TraceNetwork::TryDeliver(const Choice& choice,
                                                     bool is_repeated) {
  const auto found = this->Find(choice);
  if (found == this->messages.end()) return std::nullopt;
  if (this->cut_links.contains({found->from.host.value, found->to}))
    return std::nullopt;
  TraceMessage message = *found;
  if (!is_repeated) this->messages.erase(found);
  return message;
}

bool TraceNetwork::TryLose(const Choice& choice) {
  const auto found = this->Find(choice);
  if (found == this->messages.end()) return false;
  this->messages.erase(found);
  return true;
}

TraceNetwork::Messages::iterator TraceNetwork::Find(const Choice& choice) {
  std::uint64_t left = choice.index;
  for (auto at = this->messages.begin(); at != this->messages.end(); ++at) {
    if (!choice.from.empty() && at->from.host.value != choice.from) continue;
    if (!choice.to.empty() && at->to != choice.to) continue;
    if (left == 0) return at;
    left -= 1;
  }
  return this->messages.end();
}

}  // namespace burdockwheel::ownership
