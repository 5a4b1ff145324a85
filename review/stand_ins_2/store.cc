#include "review/stand_ins_2/store.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace burdockwheel::review {

namespace {

constexpr std::size_t kMaxPageItems = 500;
constexpr std::size_t kMaxPageBytes = 1'000'000;

std::string JsonAnswer(const std::string& body) {
  return MakeAnswer(200, "Content-Type: application/json\r\n", body);
}

std::uint64_t NumberIn(const std::string& target, const std::string& name) {
  const auto text = QueryValueOrNull(target, name);
  return text ? std::strtoull(text->c_str(), nullptr, 10) : 0;
}

}  // namespace

Store::Store(boost::asio::io_context& context)
    : context(context), listener(context, [this](const Exchange& exchange) {
        this->Receive(exchange);
      }) {}

void Store::Put(const std::string& key, const std::string& value) {
  auto& item = this->items[key];
  ++this->revision;
  if (item.created == 0) item.created = this->revision;
  item.json = R"({"key":")" + key + R"(","value":")" + Base64(value) +
              R"(","rev":)" + std::to_string(this->revision) +
              R"(,"create_rev":)" + std::to_string(item.created) +
              R"(,"lease":0})";
  this->Add(key, item.json);
}

void Store::Remove(const std::string& key) {
  if (this->items.erase(key) == 0) return;
  ++this->revision;
  this->Add(key, R"({"key":")" + key + R"(","rev":)" +
                     std::to_string(this->revision) + R"(,"deleted":true})");
}

void Store::Add(const std::string& /*key*/, std::string json) {
  this->history.push_back({this->revision, std::move(json)});
  const auto waiting = std::exchange(this->watches, {});
  for (const auto& watch : waiting)
    this->TryAnswerChanges(watch.exchange, watch.after, true);
}

void Store::Compact() {
  this->history.clear();
  this->compacted = this->revision;
  const auto waiting = std::exchange(this->watches, {});
  for (const auto& watch : waiting) watch.exchange->respond("");
}

std::size_t Store::PageOf(const std::string& key) const {
  std::size_t page = 1;
  std::size_t count = 0;
  std::size_t bytes = 0;
  for (const auto& [each, item] : this->items) {
    if (count == kMaxPageItems || bytes + item.json.size() > kMaxPageBytes) {
      ++page;
      count = 0;
      bytes = 0;
    }
    ++count;
    bytes += item.json.size();
    if (each == key) return page;
  }
  return 0;
}

std::size_t Store::PageCount() const {
  return this->items.empty() ? 1 : this->PageOf(this->items.rbegin()->first);
}

void Store::Receive(const Exchange& exchange) {
  const auto target = exchange->request.SecondWord();
  if (target.starts_with("/kv-range")) return this->AnswerRange(exchange);
  if (target.starts_with("/kv-watch")) return this->AnswerWatch(exchange);
  exchange->respond(MakeAnswer(404, "", ""));
}

void Store::AnswerRange(const Exchange& exchange) {
  const auto target = exchange->request.SecondWord();
  const auto after = QueryValueOrNull(target, "after").value_or("");
  std::string list;
  std::size_t count = 0;
  auto at = this->items.upper_bound(after);
  for (; at != this->items.end(); ++at) {
    const auto& json = at->second.json;
    const bool is_full =
        count == kMaxPageItems ||
        (count > 0 && list.size() + json.size() > kMaxPageBytes);
    if (is_full) break;
    if (count++ > 0) list += ",";
    list += json;
  }
  const bool has_more = at != this->items.end();
  exchange->respond(JsonAnswer(R"({"items":[)" + list + R"(],"has_more":)" +
                               (has_more ? "true" : "false") +
                               R"(,"current_rev":)" +
                               std::to_string(this->revision) + "}"));
}

void Store::AnswerWatch(const Exchange& exchange) {
  const auto target = exchange->request.SecondWord();
  const auto after = NumberIn(target, "after");
  if (this->TryAnswerChanges(exchange, after, false)) return;
  auto& watch = this->watches.emplace_back(this->context);
  watch.exchange = exchange;
  watch.after = after;
  watch.timer.expires_after(
      std::chrono::milliseconds(NumberIn(target, "wait_ms")));
  watch.timer.async_wait(
      [this, exchange](const boost::system::error_code& error) {
        if (error) return;
        const auto is_same = [&exchange](const Watch& each) {
          return each.exchange == exchange;
        };
        const auto found = std::ranges::find_if(this->watches, is_same);
        if (found == this->watches.end()) return;
        const auto revision = found->after;
        this->watches.erase(found);
        this->TryAnswerChanges(exchange, revision, true);
      });
}

bool Store::TryAnswerChanges(const Exchange& exchange, std::uint64_t after,
                             bool is_empty_told) {
  if (after < this->compacted) {
    exchange->respond(MakeAnswer(410, "", ""));
    return true;
  }
  std::string list;
  for (const auto& event : this->history) {
    if (event.revision <= after) continue;
    if (!list.empty()) list += ",";
    list += event.json;
  }
  if (list.empty() && !is_empty_told) return false;
  exchange->respond(JsonAnswer(R"({"events":[)" + list + R"(],"current_rev":)" +
                               std::to_string(this->revision) + "}"));
  return true;
}

}  // namespace burdockwheel::review
