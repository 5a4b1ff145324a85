// Stands in for a worker.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/stand_ins/test_clock.h"

namespace review {

class Recorder;
class Server;
class Store;
class Stream;
struct Message;

class Worker {
 public:
  struct Answer {
    int status = 200;
    std::string body;
  };
  // A request that the worker began to work on.
  struct Run {
    Milliseconds at;
    std::string request_id;
  };
  // Returns the answer to a request once its work is done.
  using AnswerMaker = std::function<Answer(const Message&)>;

  Worker(std::string id, std::string service, std::string zone,
         Milliseconds work, Recorder& recorder);
  ~Worker();

  const std::string& Id() const { return this->id; }
  const std::string& Service() const { return this->service; }

  // Without it requests are answered 200 with their target and id.
  void SetAnswerMaker(AnswerMaker maker) { this->maker = std::move(maker); }
  void SetSlowness(int factor) { this->slowness = factor; }

  // Writes the worker's entry to the store.
  void Report(Store& store);
  std::vector<Run> Runs();

 private:
  static constexpr int kSlots = 6;
  static constexpr int kMaxQueued = 12;

  void Serve(Stream& stream);
  std::string CommonHeaders() const;
  bool ServeRequest(Stream& stream, const Message& request);
  // Waits for a slot. Returns false if too many requests wait already.
  bool TryTakeSlot();

  std::string id;
  std::string service;
  std::string zone;
  Milliseconds work;
  Recorder& recorder;
  AnswerMaker maker;
  std::int64_t born;
  std::atomic<std::uint64_t> sequence{0};
  std::atomic<int> slowness{1};
  std::atomic<int> running{0};
  std::atomic<int> waiting{0};
  std::mutex mutex;
  std::condition_variable slot_freed;
  std::vector<Run> runs;
  std::unique_ptr<Server> server;
};

}  // namespace review
