#include "stand_ins/platform/platform.h"

#include <sodium.h>

#include <utility>
// Boost 1.74's asio/awaitable.hpp lacks this include.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "stand_ins/common/http_exchange.h"
#include "stand_ins/platform/store_contents.h"
#include "stand_ins/platform/store_query.h"

namespace burdockwheel::stand_ins {
namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using ExchangePointer = std::shared_ptr<HttpExchange>;
using Json = nlohmann::json;

constexpr std::size_t kMostPageItems = 500;
constexpr std::chrono::milliseconds kMostWait{30'000};

// How the store misbehaves.
struct StoreControls {
  bool is_down = false;
  bool is_closing = false;
  bool is_silent = false;
  std::chrono::milliseconds slowness{0};
  std::size_t bytes_per_second = 0;
  int answers_to_lose = 0;
  std::set<std::string, std::less<>> refused_addresses;
  std::size_t page_items = kMostPageItems;
  std::uint64_t era = 0;  // 0: not told
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

std::string Base64(const std::string& bytes) {
  constexpr int kVariant = sodium_base64_VARIANT_ORIGINAL;
  std::string text(sodium_base64_encoded_len(bytes.size(), kVariant), '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), kVariant);
  text.pop_back();  // the terminator
  return text;
}

Json ItemAsJson(const StoreItem& item) {
  return {{"key", item.key},
          {"value", Base64(item.value)},
          {"rev", item.revision},
          {"create_rev", item.create_revision},
          {"lease", 0}};
}

Json EventAsJson(const StoreEvent& event) {
  if (!event.is_removal) return ItemAsJson(event.item);
  return {
      {"key", event.item.key}, {"rev", event.item.revision}, {"deleted", true}};
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
  // A watch that has not been answered yet.
  struct Waiter {
    Waiter(asio::io_context& context, ExchangePointer exchange)
        : exchange(std::move(exchange)), timer(context) {}

    ExchangePointer exchange;
    std::string prefix;
    std::uint64_t after = 0;
    asio::steady_timer timer;
  };
  using WaiterList = std::list<Waiter>;

  static std::string_view PathOf(const ExchangePointer& exchange) {
    const std::string_view target = exchange->Target();
    return target.substr(0, target.find('?'));
  }

  void Receive(const ExchangePointer& exchange) {
    const auto path = PathOf(exchange);
    if (path == "/control") return this->ApplyControl(exchange);
    if (path == "/counts") return this->AnswerCounts(exchange);
    if (path == "/items") return this->ChangeItem(exchange);
    const bool is_known =
        path == "/kv-key" || path == "/kv-range" || path == "/kv-watch";
    if (!is_known) return AnswerStatus(exchange, 404);
    this->counts[std::string(path.substr(1))].CountCall(
        std::chrono::duration_cast<std::chrono::seconds>(
            Clock::now().time_since_epoch()));
    if (this->controls.is_closing) return exchange->Abandon();
    if (this->controls.is_silent) return this->Hold(exchange);
    const bool is_refused =
        this->controls.is_down ||
        this->controls.refused_addresses.contains(exchange->PeerAddress());
    if (is_refused) return AnswerStatus(exchange, 503);
    if (this->controls.answers_to_lose > 0) {
      --this->controls.answers_to_lose;
      return this->Hold(exchange);
    }
    if (this->controls.slowness.count() > 0) return this->ServeLater(exchange);
    this->Serve(exchange);
  }

  void Serve(const ExchangePointer& exchange) {
    const auto path = PathOf(exchange);
    if (path == "/kv-key") return this->AnswerKey(exchange);
    if (path == "/kv-range") return this->AnswerRange(exchange);
    this->AnswerOrWait(exchange);
  }

  // Keeps the connection open and never answers.
  void Hold(const ExchangePointer& exchange) {
    const auto held = this->held.insert(exchange).first;
    exchange->WatchClose(
        [this, pointer = *held] { this->held.erase(pointer); });
  }

  void ServeLater(const ExchangePointer& exchange) {
    const auto timer = std::make_shared<asio::steady_timer>(this->context);
    const auto is_open = std::make_shared<bool>(true);
    exchange->WatchClose([is_open] { *is_open = false; });
    timer->expires_after(this->controls.slowness);
    timer->async_wait(
        [this, exchange, timer, is_open](boost::system::error_code error) {
          if (!error && *is_open) this->Serve(exchange);
        });
  }

  void ChangeItem(const ExchangePointer& exchange) {
    const auto key = QueryValueOrNull(exchange->Target(), "key");
    if (!key || key->empty()) return AnswerStatus(exchange, 400);
    if (exchange->Method() == "DELETE") {
      this->contents.Remove(*key);
    } else {
      this->contents.Put(*key, std::string(exchange->Body()));
    }
    AnswerStatus(exchange, 204);
    this->AnswerWaiters();
  }

  void AnswerKey(const ExchangePointer& exchange) {
    const auto key = QueryValueOrNull(exchange->Target(), "key");
    const StoreItem* item = key ? this->contents.FindOrNull(*key) : nullptr;
    if (item == nullptr) return AnswerStatus(exchange, 404);
    Json body = ItemAsJson(*item);
    body["current_rev"] = this->contents.Revision();
    this->AnswerJson(exchange, body);
  }

  void AnswerRange(const ExchangePointer& exchange) {
    const auto prefix = QueryValueOrNull(exchange->Target(), "prefix");
    const auto after = QueryValueOrNull(exchange->Target(), "after");
    if (!prefix) return AnswerStatus(exchange, 400);
    auto items = this->contents.Range(*prefix, after.value_or(""),
                                      this->controls.page_items + 1);
    const bool has_more = items.size() > this->controls.page_items;
    if (has_more) items.pop_back();
    Json body{{"items", Json::array()},
              {"has_more", has_more},
              {"current_rev", this->contents.Revision()}};
    for (const auto& item : items) body["items"].push_back(ItemAsJson(item));
    this->AnswerJson(exchange, body);
  }

  void AnswerOrWait(const ExchangePointer& exchange) {
    const std::string_view target = exchange->Target();
    const auto prefix = QueryValueOrNull(target, "prefix");
    const auto after = QueryNumberOrNull(target, "after");
    const auto wait = QueryNumberOrNull(target, "wait_ms");
    if (!prefix || !after || !wait) return AnswerStatus(exchange, 400);
    if (this->TryAnswerChanges(exchange, *prefix, *after)) return;
    const auto waiter =
        this->waiters.emplace(this->waiters.end(), this->context, exchange);
    waiter->prefix = *prefix;
    waiter->after = *after;
    waiter->timer.expires_after(std::min<std::chrono::milliseconds>(
        std::chrono::milliseconds(*wait), kMostWait));
    waiter->timer.async_wait([this, waiter](boost::system::error_code error) {
      if (error) return;
      const ExchangePointer waiting = waiter->exchange;
      this->waiters.erase(waiter);
      this->AnswerEvents(waiting, {});
    });
    exchange->WatchClose([this, waiter] { this->waiters.erase(waiter); });
  }

  // Returns false if there is no change yet.
  bool TryAnswerChanges(const ExchangePointer& exchange,
                        const std::string& prefix, std::uint64_t after) {
    const auto changes = this->contents.ChangesAfter(prefix, after);
    if (!changes) {
      AnswerStatus(exchange, 410);
      return true;
    }
    if (changes->empty()) return false;
    this->AnswerEvents(exchange, *changes);
    return true;
  }

  void AnswerWaiters() {
    for (auto at = this->waiters.begin(); at != this->waiters.end();) {
      const auto waiter = at++;
      const Waiter& waiting = *waiter;
      const auto changes =
          this->contents.ChangesAfter(waiting.prefix, waiting.after);
      if (changes && changes->empty()) continue;
      const ExchangePointer exchange = waiting.exchange;
      const std::string prefix = waiting.prefix;
      const std::uint64_t after = waiting.after;
      this->waiters.erase(waiter);
      (void)this->TryAnswerChanges(exchange, prefix, after);
    }
  }

  void AnswerEvents(const ExchangePointer& exchange,
                    const std::vector<StoreEvent>& events) {
    Json body{{"events", Json::array()},
              {"current_rev", this->contents.Revision()}};
    for (const auto& event : events)
      body["events"].push_back(EventAsJson(event));
    this->AnswerJson(exchange, body);
  }

  void AnswerJson(const ExchangePointer& exchange, const Json& body) {
    HttpAnswer answer;
    answer.fields.emplace_back("Content-Type", "application/json");
    if (this->controls.era > 0) {
      answer.fields.emplace_back("Store-Era",
                                 std::to_string(this->controls.era));
    }
    answer.body = body.dump();
    answer.bytes_per_second = this->controls.bytes_per_second;
    this->counts[std::string(PathOf(exchange).substr(1))].answered_bytes +=
        static_cast<std::int64_t>(answer.body.size());
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
    if (this->controls.is_down || this->controls.is_closing) this->CutWaiters();
    AnswerStatus(exchange, 204);
    this->AnswerWaiters();
  }

  // Returns false if there is no member of this name.
  bool TryApplyMember(const std::string& name, const Json& value) {
    if (name == "down") {
      this->controls.is_down = value.get<bool>();
    } else if (name == "closing") {
      this->controls.is_closing = value.get<bool>();
    } else if (name == "silent") {
      this->controls.is_silent = value.get<bool>();
    } else if (name == "slow_ms") {
      this->controls.slowness =
          std::chrono::milliseconds(value.get<std::int64_t>());
    } else if (name == "bytes_per_second") {
      this->controls.bytes_per_second = value.get<std::size_t>();
    } else if (name == "lose_answers") {
      this->controls.answers_to_lose = value.get<int>();
    } else if (name == "refuse_from") {
      this->controls.refused_addresses =
          value.get<std::set<std::string, std::less<>>>();
    } else if (name == "page_items") {
      this->controls.page_items = value.get<std::size_t>();
    } else if (name == "era") {
      this->controls.era = value.get<std::uint64_t>();
    } else if (name == "revision") {
      this->contents.RaiseRevision(value.get<std::uint64_t>());
    } else if (name == "compact") {
      if (value.get<bool>()) this->contents.Compact();
      this->CutWaiters();
    } else {
      return false;
    }
    return true;
  }

  // Each exchange forgets its waiter as it is closed.
  void CutWaiters() {
    std::vector<ExchangePointer> waiting;
    for (const Waiter& waiter : this->waiters)
      waiting.push_back(waiter.exchange);
    for (const auto& exchange : waiting) exchange->Abandon();
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
  StoreControls controls;
  StoreContents contents;
  std::map<std::string, CallCounts> counts;
  WaiterList waiters;
  std::set<ExchangePointer> held;
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
