// The platform's metadata store, as PROTOCOL.md describes it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "review/stand_ins_2/http_listener.h"

namespace burdockwheel::review {

// Answers kv-range, with at most 500 items or 1 MB a page, and kv-watch.
class Store {
 public:
  explicit Store(boost::asio::io_context& context);

  std::uint16_t Port() const { return this->listener.Port(); }

  // Acknowledged on return.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  // Forgets the history up to now and cuts the watches that wait.
  void Compact();

  std::size_t ItemCount() const { return this->items.size(); }
  // On which page of a listing the key stands, from 1.
  std::size_t PageOf(const std::string& key) const;
  std::size_t PageCount() const;

 private:
  using Exchange = std::shared_ptr<HttpListener::Exchange>;

  struct Item {
    std::string json;
    std::uint64_t created = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string json;
  };
  struct Watch {
    explicit Watch(boost::asio::io_context& context) : timer(context) {}
    Exchange exchange;
    std::uint64_t after = 0;
    boost::asio::steady_timer timer;
  };

  void Receive(const Exchange& exchange);
  void AnswerRange(const Exchange& exchange);
  void AnswerWatch(const Exchange& exchange);
  bool TryAnswerChanges(const Exchange& exchange, std::uint64_t after,
                        bool is_empty_told);
  void Add(const std::string& key, std::string json);

  boost::asio::io_context& context;
  std::map<std::string, Item> items;
  std::deque<Event> history;
  std::uint64_t revision = 100;
  std::uint64_t compacted = 100;
  std::list<Watch> watches;
  HttpListener listener;
};

}  // namespace burdockwheel::review
