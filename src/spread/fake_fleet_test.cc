#include "spread/fake_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <utility>
#include <variant>

namespace burdockwheel::spread {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds kDelayInDomain{500};
constexpr microseconds kDelayBetweenDomains{5000};
constexpr microseconds kServiceDelay{3000};
constexpr milliseconds kServiceTimeout{1000};

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

FakeFleet::FakeFleet(const FakeFleetSettings& settings)
    : settings(settings), random(settings.seed) {
  this->hosts.resize(settings.host_count);
  for (std::size_t index = 0; index < this->hosts.size(); ++index) {
    this->hosts[index].address =
        "10.0.0." + std::to_string(index + 1) + ":7000";
    this->hosts[index].domain = index % settings.domain_count;
  }
}

void FakeFleet::StartAll() {
  for (std::size_t index = 0; index < this->hosts.size(); ++index)
    this->Start(index);
}

void FakeFleet::Start(std::size_t index) {
  Host& host = this->hosts[index];
  const std::string domain = "domain-" + std::to_string(host.domain);
  ++host.life;
  host.is_up = true;
  host.stamp = {};
  host.watch_after.reset();
  host.next_wake_up = {};
  host.next_period = {};
  const auto incarnation = ++this->last_incarnation;
  membership::MembershipSettings membership;
  membership.host = {"entry-" + std::to_string(index)};
  membership.incarnation = {incarnation};
  membership.address = host.address;
  membership.failure_domain = {domain};
  membership.random_seed = this->random();
  membership.protections = this->settings.membership_protections;
  host.membership = std::make_unique<membership::MembershipTable>(membership);
  SpreadSettings spread;
  spread.host = membership.host;
  spread.incarnation = membership.incarnation;
  spread.failure_domain = membership.failure_domain;
  spread.random_seed = this->random();
  spread.protections = this->settings.spread_protections;
  host.spread = std::make_unique<ConfigurationSpread>(spread);
  const auto phase = microseconds(this->random() % 500'000);
  this->At(this->now + phase, index, [this, index](Host& /*host*/) {
    membership::HostsListed listed;
    for (const auto& other : this->hosts)
      listed.hosts.push_back({other.address});
    this->HandOver(index, membership::Event(listed));
    this->HandOver(index, membership::Event(membership::TimerFired{}));
    this->HandOver(index, Event(TimerFired{}));
  });
}

void FakeFleet::Pause(std::size_t index, milliseconds length) {
  this->hosts[index].paused_until = this->now + length;
}

void FakeFleet::RaiseCrashHint(std::size_t index) {
  const membership::CrashHint hint{7, {"truck-booking"}, {"10.0.1.1:80"}, 1};
  this->HandOver(index, membership::Event(membership::CrashHintRaised{hint}));
}

void FakeFleet::Run(milliseconds length) {
  const auto end = this->now + length;
  while (!this->steps.empty() && this->steps.top().time <= end) {
    Step step = this->steps.top();
    this->steps.pop();
    this->now = step.time;
    Host& host = this->hosts[step.host];
    if (step.life != host.life || !host.is_up) continue;
    if (host.paused_until > this->now) {
      step.time = host.paused_until;
      this->steps.push(std::move(step));
      continue;
    }
    // The membership notices a pause before anything else is done.
    if (host.next_period != Instant())
      this->HandOver(step.host, membership::Event(membership::TimerFired{}));
    step.run(host);
  }
  this->now = end;
}

void FakeFleet::At(Instant time, std::size_t host,
                   std::function<void(Host&)> run) {
  this->steps.push({std::max(time, this->now), ++this->last_order, host,
                    this->hosts[host].life, std::move(run)});
}

void FakeFleet::HandOver(std::size_t index, const membership::Event& event) {
  membership::Actions actions;
  this->hosts[index].membership->Handle(this->now, event, actions);
  const auto pass_on = [this, index](const auto& action) {
    this->HandOver(index, Event(action));
  };
  for (const auto& action : actions) {
    std::visit(
        Overloaded{
            [this, index](const membership::SendHeartbeat& send) {
              this->Send(
                  index, send.address,
                  [this, body = send.body](std::size_t, std::size_t to) {
                    auto read = membership::DecodeHeartbeat(body);
                    if (!read.HasValue()) return;
                    this->HandOver(
                        to, membership::Event(
                                membership::HeartbeatArrived{read.Value()}));
                  },
                  send.body.size());
            },
            [this, index](const membership::WakeAt& wake) {
              Host& host = this->hosts[index];
              if (host.next_period == wake.time) return;
              host.next_period = wake.time;
              this->At(wake.time, index, [this, index](Host& /*host*/) {
                this->HandOver(index,
                               membership::Event(membership::TimerFired{}));
              });
            },
            [this, index](const membership::CrashHintReceived& /*it*/) {
              auto& heard = this->hosts[index].hint_heard;
              if (!heard) heard = this->now;
            },
            [&pass_on](const membership::MemberChanged& it) { pass_on(it); },
            [&pass_on](const membership::StampReceived& it) { pass_on(it); },
            [&pass_on](const membership::PauseDetected& it) { pass_on(it); },
            [&pass_on](const membership::ContactEstablished& it) {
              pass_on(it);
            },
            [](const auto& /*other*/) {}},
        action);
  }
}

void FakeFleet::HandOver(std::size_t index, const Event& event) {
  Actions actions;
  this->hosts[index].spread->Handle(this->now, event, actions);
  for (const auto& action : actions) {
    std::visit(Overloaded{[this, index](const ReadService& it) {
                            this->Read(index, it);
                          },
                          [this, index](const SendMessage& it) {
                            this->SendToPeer(index, it);
                          },
                          [this, index](const ConfigurationInForce& it) {
                            this->TakeInForce(index, it);
                          },
                          [this, index](const RecordChange& it) {
                            this->hosts[index].causes.push_back(it.cause);
                          },
                          [](const auto& /*other*/) {}},
               action);
  }
  const auto* wake = std::get_if<WakeAt>(&actions.back());
  Host& host = this->hosts[index];
  if (wake == nullptr || host.next_wake_up == wake->time) return;
  // The newest WakeAt counts.
  host.next_wake_up = wake->time;
  this->At(wake->time, index, [this, index, time = wake->time](Host& it) {
    if (it.next_wake_up == time) this->HandOver(index, Event(TimerFired{}));
  });
}

void FakeFleet::Send(
    std::size_t from, const std::string& address,
    std::function<void(std::size_t from, std::size_t to)> deliver,
    std::size_t bytes) {
  this->hosts[from].bytes_sent += bytes;
  ++this->hosts[from].messages_sent;
  const auto to = this->HostAt(address);
  if (!to) return;
  if (this->is_cut && this->is_cut(from, *to)) return;
  std::bernoulli_distribution is_lost(this->settings.loss);
  if (is_lost(this->random)) return;
  this->At(this->now + this->Delay(from, *to), *to,
           [from, to = *to, bytes, deliver = std::move(deliver)](Host& host) {
             host.bytes_received += bytes;
             deliver(from, to);
           });
}

void FakeFleet::SendToPeer(std::size_t from, const SendMessage& message) {
  this->Send(
      from, message.address,
      [this, message](std::size_t sender, std::size_t to) {
        if (message.kind == peer::MessageKind::kConfigurationRequest) {
          const auto request = TryDecodeRequest(message.body);
          this->HandOver(to, Event(RequestArrived{this->hosts[sender].address,
                                                  request.value()}));
          return;
        }
        const auto part = TryDecodePart(message.body);
        this->HandOver(to, Event(PartArrived{"entry-" + std::to_string(sender),
                                             part.value()}));
      },
      message.body.size());
}

void FakeFleet::Read(std::size_t index, const ReadService& read) {
  Host& host = this->hosts[index];
  ++host.service_reads;
  const auto number = ++host.watch_number;
  if (this->is_service_cut && this->is_service_cut(index)) {
    this->At(this->now + kServiceTimeout, index, [this, index](Host&) {
      this->HandOver(index, Event(ServiceReadFailed{}));
    });
    return;
  }
  host.watch_after = read.after;
  this->At(this->now + 2 * kServiceDelay, index,
           [this, index](Host&) { this->AnswerRead(index); });
  this->At(this->now + 2 * kServiceDelay + read.most_wait, index,
           [this, index, number](Host& it) {
             if (!it.watch_after || it.watch_number != number) return;
             it.watch_after.reset();
             this->HandOver(index, Event(ServiceUnchanged{}));
           });
}

void FakeFleet::AnswerRead(std::size_t index) {
  Host& host = this->hosts[index];
  if (!host.watch_after) return;
  if (this->stale_document) {
    if (const auto stale = this->stale_document(index)) {
      host.watch_after.reset();
      this->HandOver(index, Event(ServiceDocumentRead{1, *stale}));
      return;
    }
  }
  if (this->service_version <= *host.watch_after) return;
  host.watch_after.reset();
  this->HandOver(index, Event(ServiceDocumentRead{this->service_version,
                                                  this->service_document}));
}

void FakeFleet::Publish(std::uint64_t version, std::string document) {
  this->service_version = version;
  this->service_document = std::move(document);
  for (std::size_t index = 0; index < this->hosts.size(); ++index) {
    if (this->is_service_cut && this->is_service_cut(index)) continue;
    this->At(this->now + kServiceDelay, index,
             [this, index](Host&) { this->AnswerRead(index); });
  }
}

void FakeFleet::TakeInForce(std::size_t index,
                            const ConfigurationInForce& action) {
  Host& host = this->hosts[index];
  if (!(host.stamp < action.stamp)) host.has_gone_back = true;
  host.stamp = action.stamp;
  host.in_force_since = this->now;
  this->HandOver(index,
                 membership::Event(membership::StampChanged{action.stamp}));
}

std::optional<std::size_t> FakeFleet::HostAt(const std::string& address) const {
  for (std::size_t index = 0; index < this->hosts.size(); ++index) {
    if (this->hosts[index].address == address) return index;
  }
  return std::nullopt;
}

microseconds FakeFleet::Delay(std::size_t from, std::size_t to) {
  const bool is_same = this->hosts[from].domain == this->hosts[to].domain;
  const auto base = is_same ? kDelayInDomain : kDelayBetweenDomains;
  return base + microseconds(this->random() % 1000);
}

std::vector<milliseconds> FakeFleet::TimesToForce(std::uint64_t version,
                                                  Instant since) const {
  std::vector<milliseconds> times;
  for (const auto& host : this->hosts) {
    if (!host.is_up || host.stamp.version != version) continue;
    times.push_back(
        std::chrono::duration_cast<milliseconds>(host.in_force_since - since));
  }
  std::ranges::sort(times);
  return times;
}

std::optional<milliseconds> FakeFleet::TimeToForce(std::uint64_t version,
                                                   Instant since) const {
  const auto times = this->TimesToForce(version, since);
  const auto up = std::ranges::count_if(
      this->hosts, [](const auto& host) { return host.is_up; });
  if (times.size() != static_cast<std::size_t>(up)) return std::nullopt;
  return times.back();
}

FakeFleet StartedFleet(const FakeFleetSettings& settings) {
  FakeFleet fleet(settings);
  fleet.Publish(1, FakeDocument(1, 10));
  fleet.StartAll();
  fleet.Run(std::chrono::minutes(1));
  for (const auto& host : fleet.hosts) {
    BOOST_TEST(host.spread->IsReady());
    BOOST_TEST(host.membership->Members().PresentCount() ==
               fleet.hosts.size() - 1);
  }
  return fleet;
}

std::string FakeDocument(std::uint64_t version, std::size_t service_count,
                         int deadline_ms) {
  std::string text =
      "{\"version\": " + std::to_string(version) + ", \"services\": [";
  for (std::size_t index = 0; index < service_count; ++index) {
    const std::string name = "service-" + std::to_string(index);
    text += index == 0 ? "" : ",";
    text += "{\"service\": \"" + name + "\", \"calls\": [";
    for (int kind = 0; kind < 4; ++kind) {
      text += kind == 0 ? "" : ",";
      text += "{\"name\": \"kind-" + std::to_string(kind) +
              "\", \"method\": \"GET\", \"path\": \"/" + name + "/" +
              std::to_string(kind) + "/{id}\", \"idempotent\": true, " +
              "\"deadline_ms\": " +
              std::to_string(index == 0 ? deadline_ms : 1000) + "}";
    }
    text += "]}";
  }
  return text + "]}";
}

}  // namespace burdockwheel::spread
