#include "review/stand_ins/store.h"

#include <cstdlib>

#include "review/stand_ins/server.h"
#include "review/stand_ins/stream.h"

namespace review {

namespace {

constexpr Milliseconds kIdleTimeout{60'000};

std::string Base64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t place = 0; place < 3; ++place) {
      group <<= 8U;
      if (at + place < bytes.size())
        group |= static_cast<unsigned char>(bytes[at + place]);
    }
    text.push_back(kDigits[group >> 18U]);
    text.push_back(kDigits[(group >> 12U) & 63U]);
    text.push_back(at + 1 < bytes.size() ? kDigits[(group >> 6U) & 63U] : '=');
    text.push_back(at + 2 < bytes.size() ? kDigits[group & 63U] : '=');
  }
  return text;
}

// Returns the value of a parameter, without its percent-encoding, which no key
// here needs.
std::string Parameter(const std::string& target, const std::string& name) {
  for (const char* const before : {"?", "&"}) {
    const auto found = target.find(before + name + "=");
    if (found == std::string::npos) continue;
    const auto begin = found + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
  }
  return "";
}

void Answer(Stream& stream, int status, const std::string& body) {
  stream.Write("HTTP/1.1 " + std::to_string(status) +
               " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
}

}  // namespace

Store::Store(std::size_t page_items)
    : page_items(page_items),
      server(std::make_unique<Server>(
          [this](Stream& stream) { this->Serve(stream); })) {}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_stopping = true;
  }
  this->changed.notify_all();
  this->server->Stop();
}

std::string Store::Address() const { return this->server->Address(); }

void Store::Put(const std::string& key, const std::string& value) {
  const auto text = Base64(value);
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto revision_text = std::to_string(++this->revision);
  const auto json = R"({"key":")" + key + R"(","value":")" + text +
                    R"(","rev":)" + revision_text + R"(,"create_rev":)" +
                    revision_text + R"(,"lease":0})";
  this->items[key] = json;
  this->history.push_back({this->revision, json});
  this->changed.notify_all();
}

void Store::Serve(Stream& stream) {
  while (const auto request = stream.Read(kIdleTimeout)) {
    const auto target = request->Target();
    if (target.rfind("/kv-range", 0) == 0) {
      Answer(
          stream, 200,
          this->Range(Parameter(target, "prefix"), Parameter(target, "after")));
    } else if (target.rfind("/kv-watch", 0) == 0) {
      const auto after = static_cast<std::uint64_t>(
          std::atoll(Parameter(target, "after").c_str()));
      const int wait_ms = std::atoi(Parameter(target, "wait_ms").c_str());
      Answer(stream, 200, this->Watch(after, wait_ms));
    } else {
      Answer(stream, 404, "{}");
    }
  }
}

std::string Store::Range(const std::string& prefix, const std::string& after) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::string list;
  std::size_t count = 0;
  bool has_more = false;
  for (const auto& [key, json] : this->items) {
    if (key.rfind(prefix, 0) != 0 || key <= after) continue;
    has_more = count == this->page_items;
    if (has_more) break;
    list += (count == 0 ? "" : ",") + json;
    ++count;
  }
  return R"({"items":[)" + list + R"(],"has_more":)" +
         (has_more ? "true" : "false") + R"(,"current_rev":)" +
         std::to_string(this->revision) + "}";
}

std::string Store::Watch(std::uint64_t after, int wait_ms) {
  const auto until = Clock::now() + Milliseconds(wait_ms);
  std::unique_lock<std::mutex> lock(this->mutex);
  this->changed.wait_until(lock, until, [this, after] {
    return this->is_stopping || this->revision > after;
  });
  std::string list;
  for (const auto& event : this->history) {
    if (event.revision <= after) continue;
    list += (list.empty() ? "" : ",") + event.json;
  }
  return R"({"events":[)" + list + R"(],"current_rev":)" +
         std::to_string(this->revision) + "}";
}

}  // namespace review
