// A worker that speaks what PROTOCOL.md says: it echoes Request-Id, seals its
// answers and answers 421 to a request that expects another worker.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins_3/sockets.h"

namespace review {

// A request that a worker began to run.
struct Run {
  Clock::time_point arrived_at;
  std::string worker;
  std::string request_id;
  std::string target;
};

class Worker {
 public:
  struct Settings {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    std::chrono::milliseconds work{20};
    int slots = 6;
  };
  using RunHook = std::function<void(const Run&)>;

  Worker(Settings settings, RunHook on_run);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // What the worker writes in the store, under "servers/" and its id.
  std::string Key() const { return "servers/" + this->settings.id; }
  std::string Entry(const std::string& state);

  // All its answers say from now on that it leaves; requests are served.
  void Leave() { this->is_leaving = true; }

  // Ends as a process does: what is at work is cut off.
  void End();

  const std::string& Id() const { return this->settings.id; }

 private:
  void Accept();
  void Serve(int descriptor);
  std::string AnswerTo(const Message& request);
  std::string LoadHeader();

  const Settings settings;
  const RunHook on_run;
  // Waits for a slot; returns false if the queue is full.
  bool TakeSlot();
  void LeaveSlot();

  const std::int64_t born;
  std::uint16_t port = 0;
  Descriptor listener;
  std::atomic<bool> is_leaving{false};
  std::atomic<bool> is_ending{false};
  std::mutex mutex;
  std::condition_variable slot_left;
  int running = 0;
  int waiting = 0;
  int sequence = 0;
  std::vector<std::thread> threads;
  std::thread acceptor;
};

}  // namespace review
