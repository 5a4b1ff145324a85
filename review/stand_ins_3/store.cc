#include "review/stand_ins_3/store.h"

#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <string_view>

namespace review {

namespace {

constexpr std::chrono::seconds kIdleTime{60};
constexpr std::chrono::milliseconds kMostWait{30'000};

std::string Base64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    const auto part = bytes.substr(at, 3);
    std::uint32_t bits = 0;
    for (std::size_t place = 0; place < 3; ++place) {
      bits <<= 8U;
      if (place < part.size()) bits |= static_cast<unsigned char>(part[place]);
    }
    for (std::size_t place = 0; place < 4; ++place) {
      const auto digit = (bits >> (18U - 6U * place)) & 0x3FU;
      text.push_back(place <= part.size() ? kDigits[digit] : '=');
    }
  }
  return text;
}

std::string HttpAnswer(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string ItemJson(const std::string& key, const std::string& value,
                     std::uint64_t revision, std::uint64_t create_revision) {
  return R"({"key":")" + key + R"(","value":")" + Base64(value) +
         R"(","rev":)" + std::to_string(revision) + R"(,"create_rev":)" +
         std::to_string(create_revision) + R"(,"lease":0})";
}

}  // namespace

Store::Store(std::uint64_t first_revision, std::size_t page_items)
    : page_items(page_items),
      listener(ListenOnLoopback(this->port)),
      revision(first_revision),
      history_begin(first_revision),
      acceptor([this] { this->Accept(); }) {}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_ending = true;
  }
  this->changed.notify_all();
  shutdown(this->listener.Get(), SHUT_RDWR);
  this->acceptor.join();
  for (auto& thread : this->threads) thread.join();
}

void Store::Put(const std::string& key, const std::string& value) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->revision += 1;
    auto& item = this->items[key];
    item.value = value;
    item.revision = this->revision;
    if (item.create_revision == 0) item.create_revision = this->revision;
    this->history.push_back(
        {this->revision, key,
         ItemJson(key, value, item.revision, item.create_revision)});
  }
  this->changed.notify_all();
}

void Store::Remove(const std::string& key) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->items.erase(key) == 0) return;
    this->revision += 1;
    this->history.push_back({this->revision, key,
                             R"({"key":")" + key + R"(","rev":)" +
                                 std::to_string(this->revision) +
                                 R"(,"deleted":true})"});
  }
  this->changed.notify_all();
}

void Store::DropHistory() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->history.clear();
  this->history_begin = this->revision;
}

void Store::CutWatchesAfter(std::chrono::milliseconds time) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->cut_after = time;
}

void Store::Accept() {
  while (true) {
    const int descriptor =
        accept4(this->listener.Get(), nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) return;
    this->threads.emplace_back([this, descriptor] { this->Serve(descriptor); });
  }
}

void Store::Serve(int descriptor) {
  const Descriptor connection(descriptor);
  std::string rest;
  Message request;
  const auto end = Clock::now() + kIdleTime * 3;
  while (Clock::now() < end) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->is_ending) return;
    }
    const auto step = Clock::now() + std::chrono::milliseconds(200);
    if (!ReadMessage(descriptor, step, rest, request)) {
      if (Clock::now() < step) return;  // the caller has closed
      continue;
    }
    const auto& line = request.start_line;
    const auto begin = line.find(' ') + 1;
    const auto target = line.substr(begin, line.find(' ', begin) - begin);
    const auto answer = this->AnswerTo(target);
    if (answer.empty() || !SendAll(descriptor, answer)) return;
  }
}

std::string Store::AnswerTo(const std::string& target) {
  if (target.starts_with("/kv-range?")) return this->Range(target);
  if (target.starts_with("/kv-watch?")) return this->Watch(target);
  if (!target.starts_with("/kv-key?")) return HttpAnswer(404, "{}");
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->items.find(QueryValue(target, "key"));
  if (found == this->items.end()) return HttpAnswer(404, "{}");
  auto json = ItemJson(found->first, found->second.value,
                       found->second.revision, found->second.create_revision);
  json.pop_back();
  json += R"(,"current_rev":)" + std::to_string(this->revision) + "}";
  return HttpAnswer(200, json);
}

std::string Store::Range(const std::string& target) {
  const auto prefix = QueryValue(target, "prefix");
  const auto after = QueryValue(target, "after");
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::string list;
  std::size_t count = 0;
  bool has_more = false;
  for (const auto& [key, item] : this->items) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) continue;
    if (count == this->page_items) {
      has_more = true;
      break;
    }
    count += 1;
    if (!list.empty()) list += ",";
    list += ItemJson(key, item.value, item.revision, item.create_revision);
  }
  return HttpAnswer(200, R"({"items":[)" + list + R"(],"has_more":)" +
                             (has_more ? "true" : "false") +
                             R"(,"current_rev":)" +
                             std::to_string(this->revision) + "}");
}

std::string Store::Watch(const std::string& target) {
  const auto prefix = QueryValue(target, "prefix");
  const auto after =
      std::strtoull(QueryValue(target, "after").c_str(), nullptr, 10);
  const std::chrono::milliseconds wait(
      std::strtoll(QueryValue(target, "wait_ms").c_str(), nullptr, 10));
  const auto now = Clock::now();
  std::unique_lock<std::mutex> lock(this->mutex);
  const bool is_cut = this->cut_after.count() > 0 && this->cut_after < wait;
  const auto until =
      now + (is_cut ? this->cut_after : std::min(wait, kMostWait));
  while (true) {
    if (after < this->history_begin) return HttpAnswer(410, "{}");
    std::string list;
    for (const auto& event : this->history) {
      if (event.revision <= after || !event.key.starts_with(prefix)) continue;
      if (!list.empty()) list += ",";
      list += event.json;
    }
    if (!list.empty() || this->is_ending || Clock::now() >= until) {
      return HttpAnswer(200, R"({"events":[)" + list + R"(],"current_rev":)" +
                                 std::to_string(this->revision) + "}");
    }
    this->changed.wait_until(lock, until);
    if (is_cut && Clock::now() >= until) return {};
  }
}

}  // namespace review
