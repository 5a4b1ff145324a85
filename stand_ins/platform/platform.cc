#include "stand_ins/platform/platform.h"

#include <utility>
// Boost 1.74's asio/awaitable.hpp lacks this include.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string_view>

#include "stand_ins/common/http_exchange.h"
#include "stand_ins/platform/versioned_history.h"

namespace burdockwheel::stand_ins {
namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using ExchangePointer = std::shared_ptr<HttpExchange>;
using Json = nlohmann::json;

// How the platform misbehaves.
struct PlatformControls {
  bool is_down = false;
  bool is_closing = false;  // closes connections without an answer
  std::optional<Clock::time_point> stale_since;
  std::optional<std::uint64_t> answered_version;
  std::chrono::milliseconds list_lag{0};
  std::set<std::string, std::less<>> refused_addresses;
};

// Calls of one kind.
struct CallCounts {
  std::int64_t calls = 0;
  std::int64_t answered_bytes = 0;
  std::int64_t most_in_a_second = 0;
  std::int64_t in_this_second = 0;
  std::chrono::seconds this_second{0};

  void CountCall(std::chrono::seconds second) {
    if (second != this->this_second) this->in_this_second = 0;
    this->this_second = second;
    ++this->calls;
    ++this->in_this_second;
    this->most_in_a_second =
        std::max(this->most_in_a_second, this->in_this_second);
  }
};

std::optional<std::uint64_t> QueryNumberOrNull(std::string_view target,
                                               std::string_view name) {
  const std::size_t query = target.find('?');
  if (query == std::string_view::npos) return std::nullopt;
  std::string_view rest = target.substr(query + 1);
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    if (!part.starts_with(name) || part.size() <= name.size()) continue;
    if (part[name.size()] != '=') continue;
    const std::string_view digits = part.substr(name.size() + 1);
    std::uint64_t number = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error == std::errc()) return number;
  }
  return std::nullopt;
}

void AnswerStatus(const ExchangePointer& exchange, int status) {
  HttpAnswer answer;
  answer.status = status;
  exchange->Answer(std::move(answer));
}

}  // namespace

class Platform::State {
 public:
  explicit State(asio::io_context& context)
      : context(context),
        server(context, [this](const ExchangePointer& exchange) {
          this->Receive(exchange);
        }) {}

  HttpServer& Server() { return this->server; }

 private:
  // One of the two kinds of document.
  struct Shelf {
    std::string_view version_field;
    std::string_view version_member;
    VersionedHistory history;
  };

  // A long poll that has not been answered yet.
  struct Waiter {
    Waiter(asio::io_context& context, ExchangePointer exchange, Shelf& shelf,
           std::uint64_t after)
        : exchange(std::move(exchange)),
          shelf(shelf),
          after(after),
          timer(context) {}

    ExchangePointer exchange;
    Shelf& shelf;
    std::uint64_t after;
    asio::steady_timer timer;
  };
  using WaiterList = std::list<Waiter>;

  void Receive(const ExchangePointer& exchange) {
    const std::string_view target = exchange->Target();
    const std::string_view path = target.substr(0, target.find('?'));
    if (path == "/control") return this->ApplyControl(exchange);
    if (path == "/counts") return this->AnswerCounts(exchange);
    Shelf* shelf = this->ShelfOrNull(path);
    if (!shelf) return AnswerStatus(exchange, 404);
    if (exchange->Method() == "PUT") return this->Publish(exchange, *shelf);
    this->CountsOf(exchange).CountCall(
        std::chrono::duration_cast<std::chrono::seconds>(
            Clock::now().time_since_epoch()));
    if (this->controls.refused_addresses.contains(exchange->PeerAddress()))
      return exchange->Abandon();
    if (this->controls.is_closing) return exchange->Abandon();
    if (this->controls.is_down) return AnswerStatus(exchange, 503);
    this->AnswerOrWait(exchange, *shelf);
  }

  Shelf* ShelfOrNull(std::string_view path) {
    if (path == "/configuration") return &this->configuration;
    if (path == "/hosts") return &this->hosts;
    return nullptr;
  }

  // Reads and watches of each path are counted apart.
  CallCounts& CountsOf(const ExchangePointer& exchange) {
    const std::string_view target = exchange->Target();
    const std::string_view path = target.substr(0, target.find('?'));
    const bool is_watch = QueryNumberOrNull(target, "wait_ms").has_value();
    return this
        ->counts[std::string(path.substr(1)) + (is_watch ? "_watch" : "_read")];
  }

  void Publish(const ExchangePointer& exchange, Shelf& shelf) {
    PublishedDocument document;
    document.text = exchange->Body();
    document.published = Clock::now();
    Json json = Json::parse(document.text, nullptr, false);
    const std::string member(shelf.version_member);
    if (json.is_object() && json.contains(member) &&
        json[member].is_number_unsigned()) {
      document.version = json[member].get<std::uint64_t>();
    } else {
      const PublishedDocument* latest = shelf.history.LatestOrNull();
      document.version = latest ? latest->version + 1 : 1;
      if (json.is_object()) {
        json[member] = document.version;
        document.text = json.dump();
      }
    }
    shelf.history.Publish(std::move(document));
    AnswerStatus(exchange, 204);
    this->AnswerWaiters();
  }

  // The document that a reader sees at present, or null.
  const PublishedDocument* ShownOrNull(const Shelf& shelf) const {
    Clock::time_point seen = Clock::now();
    if (&shelf == &this->hosts) {
      seen -= this->controls.list_lag;
    } else if (this->controls.answered_version) {
      return shelf.history.WithVersionOrNull(*this->controls.answered_version);
    }
    if (this->controls.stale_since)
      seen = std::min(seen, *this->controls.stale_since);
    return shelf.history.AsOfOrNull(seen);
  }

  void AnswerOrWait(const ExchangePointer& exchange, Shelf& shelf) {
    const std::string_view target = exchange->Target();
    const PublishedDocument* shown = this->ShownOrNull(shelf);
    const auto after = QueryNumberOrNull(target, "after");
    if (shown && (!after || shown->version > *after))
      return this->AnswerDocument(exchange, shelf, *shown);
    if (!after) return AnswerStatus(exchange, 404);
    const auto wait = QueryNumberOrNull(target, "wait_ms");
    if (wait.value_or(0) == 0) return AnswerStatus(exchange, 204);
    const auto waiter = this->waiters.emplace(
        this->waiters.end(), this->context, exchange, shelf, *after);
    waiter->timer.expires_after(std::chrono::milliseconds(*wait));
    waiter->timer.async_wait([this, waiter](boost::system::error_code error) {
      if (error) return;
      const ExchangePointer waiting = waiter->exchange;
      this->waiters.erase(waiter);
      AnswerStatus(waiting, 204);
    });
    exchange->WatchClose([this, waiter] { this->waiters.erase(waiter); });
  }

  void AnswerWaiters() {
    bool is_changing = false;
    for (auto at = this->waiters.begin(); at != this->waiters.end();) {
      const auto waiter = at++;
      const PublishedDocument* shown = this->ShownOrNull(waiter->shelf);
      const PublishedDocument* latest = waiter->shelf.history.LatestOrNull();
      if (shown != latest) is_changing = true;
      if (!shown || shown->version <= waiter->after) continue;
      const ExchangePointer exchange = waiter->exchange;
      Shelf& shelf = waiter->shelf;
      this->waiters.erase(waiter);
      this->AnswerDocument(exchange, shelf, *shown);
    }
    if (is_changing && this->controls.list_lag.count() > 0) this->LookLater();
  }

  // Answers the waiters once the lag of the list has passed.
  void LookLater() {
    this->lag_timer.expires_after(this->controls.list_lag);
    this->lag_timer.async_wait([this](boost::system::error_code error) {
      if (!error) this->AnswerWaiters();
    });
  }

  void AnswerDocument(const ExchangePointer& exchange, const Shelf& shelf,
                      const PublishedDocument& document) {
    HttpAnswer answer;
    answer.fields.emplace_back("Content-Type", "application/json");
    answer.fields.emplace_back(shelf.version_field,
                               std::to_string(document.version));
    answer.body = document.text;
    this->CountsOf(exchange).answered_bytes +=
        static_cast<std::int64_t>(document.text.size());
    exchange->Answer(std::move(answer));
  }

  void ApplyControl(const ExchangePointer& exchange) {
    const Json json = Json::parse(exchange->Body(), nullptr, false);
    if (!json.is_object()) return AnswerStatus(exchange, 400);
    try {
      for (const auto& [name, value] : json.items()) {
        if (!this->TryApplyMember(name, value))
          return AnswerStatus(exchange, 400);
      }
    } catch (const Json::exception&) {
      return AnswerStatus(exchange, 400);
    }
    if (this->controls.is_down) this->AbandonWaiters();
    AnswerStatus(exchange, 204);
    this->AnswerWaiters();
  }

  // Returns false if there is no member of this name.
  bool TryApplyMember(const std::string& name, const Json& value) {
    if (name == "down") {
      this->controls.is_down = value.get<bool>();
    } else if (name == "closing") {
      this->controls.is_closing = value.get<bool>();
    } else if (name == "stale") {
      this->controls.stale_since.reset();
      if (value.get<bool>()) this->controls.stale_since = Clock::now();
    } else if (name == "answer_version") {
      this->controls.answered_version.reset();
      if (!value.is_null())
        this->controls.answered_version = value.get<std::uint64_t>();
    } else if (name == "list_lag_ms") {
      this->controls.list_lag =
          std::chrono::milliseconds(value.get<std::int64_t>());
    } else if (name == "refuse_from") {
      this->controls.refused_addresses =
          value.get<std::set<std::string, std::less<>>>();
    } else {
      return false;
    }
    return true;
  }

  void AbandonWaiters() {
    while (!this->waiters.empty()) {
      const ExchangePointer exchange = this->waiters.front().exchange;
      this->waiters.pop_front();
      AnswerStatus(exchange, 503);
    }
  }

  void AnswerCounts(const ExchangePointer& exchange) {
    const std::chrono::duration<double> age = Clock::now() - this->start;
    Json kinds = Json::object();
    for (const auto& [kind, kind_counts] : this->counts) {
      kinds[kind] = {
          {"calls", kind_counts.calls},
          {"calls_a_second",
           static_cast<double>(kind_counts.calls) / age.count()},
          {"most_calls_in_a_second", kind_counts.most_in_a_second},
          {"answered_bytes", kind_counts.answered_bytes},
      };
    }
    HttpAnswer answer;
    answer.fields.emplace_back("Content-Type", "application/json");
    answer.body =
        Json{{"kinds", kinds}, {"waiting_watches", this->waiters.size()}}
            .dump();
    exchange->Answer(std::move(answer));
  }

  asio::io_context& context;
  Clock::time_point start = Clock::now();
  PlatformControls controls;
  Shelf configuration{"Configuration-Version", "version", {}};
  Shelf hosts{"Hosts-Generation", "generation", {}};
  std::map<std::string, CallCounts> counts;
  WaiterList waiters;
  asio::steady_timer lag_timer{this->context};
  HttpServer server;
};

Platform::Platform(asio::io_context& context)
    : state(std::make_unique<State>(context)) {}

Platform::~Platform() = default;

kernel::Result<std::uint16_t, ListenFailure> Platform::TryListen(
    const std::string& address) {
  return this->state->Server().TryListen(address);
}

}  // namespace burdockwheel::stand_ins
