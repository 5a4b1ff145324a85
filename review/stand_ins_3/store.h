// The platform's metadata store: GET /kv-key, /kv-range and /kv-watch as
// PROTOCOL.md tells them. Its contents are changed by calls of this class.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins_3/sockets.h"

namespace review {

class Store {
 public:
  // The revision counter starts at `first_revision`; a page has `page_items`
  // items at most.
  Store(std::uint64_t first_revision, std::size_t page_items);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  std::uint16_t Port() const { return this->port; }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Forgets the history up to now; a watch from before gets 410.
  void DropHistory();
  // From now on closes the connection of a watch that has waited so long.
  void CutWatchesAfter(std::chrono::milliseconds time);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t create_revision = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string key;
    std::string json;
  };

  void Accept();
  void Serve(int descriptor);
  std::string AnswerTo(const std::string& target);
  std::string Range(const std::string& target);
  // Returns an empty text if the watch is cut.
  std::string Watch(const std::string& target);

  std::size_t page_items;
  std::uint16_t port = 0;
  Descriptor listener;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> history;
  std::uint64_t revision;
  std::uint64_t history_begin;  // changes after this revision are kept
  std::chrono::milliseconds cut_after{0};  // 0: never
  bool is_ending = false;
  std::vector<std::thread> threads;
  std::thread acceptor;
};

}  // namespace review
