#include "host/keyed_calls.h"

#include <sodium.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace burdockwheel::host {

namespace {

using std::chrono::steady_clock;

ownership::HeaderFields FieldsOf(std::vector<http::Header> headers) {
  ownership::HeaderFields fields;
  fields.reserve(headers.size());
  for (auto& header : headers) {
    fields.emplace_back(std::move(header.name), std::move(header.value));
  }
  return fields;
}

std::vector<http::Header> HeadersOf(const ownership::HeaderFields& fields) {
  std::vector<http::Header> headers;
  headers.reserve(fields.size());
  for (const auto& [name, value] : fields) headers.push_back({name, value});
  return headers;
}

ownership::CallResult ToOwnership(CallResult result) {
  if (const auto* refusal = std::get_if<model::Refusal>(&result)) {
    return *refusal;
  }
  auto& answer = std::get<http::Answer>(result);
  return ownership::ForwardedAnswer{answer.status,
                                    FieldsOf(std::move(answer.headers)),
                                    std::move(answer.body)};
}

CallResult FromOwnership(const ownership::CallResult& result) {
  if (const auto* refusal = std::get_if<model::Refusal>(&result)) {
    return *refusal;
  }
  const auto& answer = std::get<ownership::ForwardedAnswer>(result);
  return http::Answer{answer.status, HeadersOf(answer.headers), answer.body};
}

}  // namespace

KeyedCalls::KeyedCalls(boost::asio::io_context& context,
                       const ownership::OwnershipSettings& settings,
                       CallResolver& resolver, CallExecutor& executor,
                       Hooks hooks)
    : timer(context),
      coordinator(settings),
      resolver(resolver),
      executor(executor),
      hooks(std::move(hooks)),
      pause_tick(context) {
  this->TickForPauses();
}

void KeyedCalls::IssueKey(KeyCompletion on_complete) {
  ownership::KeyWanted event;
  event.call = this->NextCall();
  randombytes_buf(event.nonce.bytes.data(), event.nonce.bytes.size());
  this->key_requests.emplace(event.call, std::move(on_complete));
  this->Notify(event);
}

void KeyedCalls::Run(KeyedCall call, CallCompletion on_complete) {
  ownership::CallWithKey event;
  event.call = this->NextCall();
  event.deadline = call.submission.deadline;
  auto& payload = event.payload;
  payload.key = std::move(call.key);
  payload.method = std::move(call.request.method);
  payload.target = std::move(call.request.target);
  payload.headers = FieldsOf(std::move(call.request.headers));
  payload.body = std::move(call.request.body);
  payload.caller = std::move(call.caller);
  payload.remaining = std::chrono::floor<std::chrono::milliseconds>(
      event.deadline - steady_clock::now());
  payload.depth = call.submission.depth;
  this->calls.emplace(event.call, std::move(on_complete));
  this->Notify(std::move(event));
}

void KeyedCalls::UpdatePeers(PeerAddresses addresses,
                             std::vector<ownership::PeerIdentity> alive) {
  this->peers = std::move(addresses);
  this->Notify(ownership::PeersAlive{std::move(alive)});
}

// Completions may bring in further events, which wait until the actions of the
// present one are done.
void KeyedCalls::Notify(ownership::Event event) {
  if (this->pause_detector.Observe(steady_clock::now())) {
    this->waiting.emplace_back(ownership::PauseNoticed());
  }
  this->waiting.push_back(std::move(event));
  if (this->is_handling) return;
  this->is_handling = true;
  this->HandleWaiting();
  this->is_handling = false;
}

void KeyedCalls::HandleWaiting() {
  while (!this->waiting.empty()) {
    const auto event = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->actions.clear();
    this->coordinator.Handle(steady_clock::now(), event, this->actions);
    for (const auto& action : this->actions) {
      std::visit([this](const auto& concrete) { this->Do(concrete); }, action);
    }
  }
}

void KeyedCalls::Do(const ownership::RunCall& action) {
  http::Request request;
  request.method = action.payload.method;
  request.target = action.payload.target;
  request.headers = HeadersOf(action.payload.headers);
  request.body = action.payload.body;
  auto resolved = this->resolver.Resolve(steady_clock::now(), request);
  if (!resolved.HasValue()) {
    this->waiting.push_back(
        ownership::RunEnded{action.run, resolved.Failure()});
    return;
  }
  auto& submission = resolved.Value().submission;
  submission.deadline = std::min(submission.deadline, action.deadline);
  this->executor.Submit(
      std::move(submission), [this, run = action.run](CallResult result) {
        this->Notify(ownership::RunEnded{run, ToOwnership(std::move(result))});
      });
}

void KeyedCalls::Do(const ownership::AnswerCaller& action) {
  const auto key_request = this->key_requests.find(action.call);
  if (key_request != this->key_requests.end()) {
    const auto on_complete = std::move(key_request->second);
    this->key_requests.erase(key_request);
    if (const auto* refusal = std::get_if<model::Refusal>(&action.result)) {
      on_complete(*refusal);
    }
    return;
  }
  const auto found = this->calls.find(action.call);
  if (found == this->calls.end()) return;
  const auto on_complete = std::move(found->second);
  this->calls.erase(found);
  on_complete(FromOwnership(action.result));
}

void KeyedCalls::Do(const ownership::GiveKey& action) {
  const auto found = this->key_requests.find(action.call);
  if (found == this->key_requests.end()) return;
  const auto on_complete = std::move(found->second);
  this->key_requests.erase(found);
  on_complete(action.key);
}

void KeyedCalls::Do(const ownership::SendToPeer& action) {
  const auto address = this->peers.find(action.peer);
  const bool is_sent =
      address != this->peers.end() &&
      this->hooks.send(address->second, action.kind, action.body);
  if (is_sent || action.request.value == 0) return;
  this->waiting.push_back(
      ownership::PeerSendFailed{action.peer, action.request});
}

void KeyedCalls::Do(const ownership::WakeAt& action) {
  this->timer.expires_at(action.time);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) this->Notify(ownership::TimerFired());
  });
}

void KeyedCalls::Do(const ownership::RecordChange& action) {
  this->hooks.record_change(action);
}

void KeyedCalls::Do(const ownership::HandOverEnded& action) {
  this->hooks.on_handed_over(action.holders);
}

// Lets the host see a gap in its own clock, also when no call comes.
void KeyedCalls::TickForPauses() {
  this->pause_tick.expires_after(ownership::PauseDetector::kTickInterval);
  this->pause_tick.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    if (this->pause_detector.Observe(steady_clock::now())) {
      this->Notify(ownership::PauseNoticed());
    }
    this->TickForPauses();
  });
}

model::CallId KeyedCalls::NextCall() {
  this->last_call.value += 1;
  return this->last_call;
}

}  // namespace burdockwheel::host
