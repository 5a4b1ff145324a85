#include "ownership/peer_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace burdockwheel::ownership {

namespace {

std::uint64_t Score(const PeerIdentity& issuer, const model::HostId& host) {
  const std::string text = host.value + '\n' + issuer.host.value;
  return XXH3_64bits_withSeed(text.data(), text.size(),
                              issuer.incarnation.value);
}

}  // namespace

PeerDirectory::PeerDirectory(PeerIdentity self) : self(std::move(self)) {}

void PeerDirectory::SetAlive(const std::vector<PeerIdentity>& peers) {
  this->alive.clear();
  for (const PeerIdentity& peer : peers) {
    if (peer.host == this->self.host) continue;
    this->alive.emplace(peer.host, peer.incarnation);
  }
}

void PeerDirectory::NoteLeft(const PeerLeft& left) {
  const bool is_new =
      this->left.insert_or_assign(left.peer, left.holders).second;
  if (!is_new) return;
  this->left_in_order.push_back(left.peer);
  if (this->left_in_order.size() <= kMostLeft) return;
  this->left.erase(this->left_in_order.front());
  this->left_in_order.pop_front();
}

std::optional<model::Incarnation> PeerDirectory::AliveIncarnation(
    const model::HostId& host) const {
  const auto found = this->alive.find(host);
  if (found == this->alive.end()) return std::nullopt;
  return found->second;
}

bool PeerDirectory::HasLeft(const PeerIdentity& peer) const {
  return this->left.contains(peer);
}

std::vector<model::HostId> PeerDirectory::ChooseHolders(
    const PeerIdentity& issuer, std::size_t count) const {
  std::vector<model::HostId> hosts = this->RankedHosts(issuer);
  std::erase(hosts, this->self.host);
  if (hosts.size() > count) hosts.resize(count);
  return hosts;
}

std::vector<model::HostId> PeerDirectory::PossibleHolders(
    const PeerIdentity& issuer, std::size_t count) const {
  std::vector<model::HostId> hosts = this->RankedHosts(issuer);
  if (hosts.size() > count) hosts.resize(count);
  const auto named = this->left.find(issuer);
  if (named != this->left.end())
    hosts.insert(hosts.end(), named->second.begin(), named->second.end());

  std::vector<model::HostId> possible;
  for (const model::HostId& host : hosts) {
    if (!this->alive.contains(host)) continue;
    if (std::find(possible.begin(), possible.end(), host) != possible.end())
      continue;
    possible.push_back(host);
  }
  return possible;
}

// Ranks the hosts that are alive, with this one, but never the issuer's: a new
// life of it was not there when the ledger was handed over.
std::vector<model::HostId> PeerDirectory::RankedHosts(
    const PeerIdentity& issuer) const {
  std::vector<std::pair<std::uint64_t, model::HostId>> ranked;
  for (const auto& [host, incarnation] : this->alive)
    if (host != issuer.host) ranked.emplace_back(Score(issuer, host), host);
  if (this->self.host != issuer.host)
    ranked.emplace_back(Score(issuer, this->self.host), this->self.host);
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<model::HostId> hosts;
  hosts.reserve(ranked.size());
  for (auto& [score, host] : ranked) hosts.push_back(std::move(host));
  return hosts;
}

}  // namespace burdockwheel::ownership
