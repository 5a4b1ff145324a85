// Stands in for the platform's metadata store.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace review {

class Server;
class Stream;
struct Message;

class Store {
 public:
  // Lists at most `page_items` items in an answer.
  explicit Store(std::size_t page_items);
  ~Store();

  std::string Address() const;

  // When this returns, the store has acknowledged the change.
  void Put(const std::string& key, const std::string& value);

 private:
  struct Event {
    std::uint64_t revision = 0;
    std::string json;
  };

  void Serve(Stream& stream);
  std::string Range(const std::string& prefix, const std::string& after);
  std::string Watch(std::uint64_t after, int wait_ms);

  std::size_t page_items;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::string> items;  // as JSON, by key
  std::deque<Event> history;
  std::uint64_t revision = 100;
  bool is_stopping = false;
  std::unique_ptr<Server> server;
};

}  // namespace review
