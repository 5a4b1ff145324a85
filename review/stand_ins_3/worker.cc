#include "review/stand_ins_3/worker.h"

#include <sys/socket.h>

#include <utility>

namespace review {

namespace {

// The worker closes a connection that was idle for longer.
constexpr std::chrono::seconds kIdleTime{10};
// Requests that wait for a slot; more are turned away.
constexpr int kQueue = 24;

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string HttpAnswer(const std::string& status, const std::string& headers,
                       const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

Worker::Worker(Settings settings, RunHook on_run)
    : settings(std::move(settings)),
      on_run(std::move(on_run)),
      born(UnixMilliseconds()),
      listener(ListenOnLoopback(this->port)),
      acceptor([this] { this->Accept(); }) {}

Worker::~Worker() {
  this->End();
  for (auto& thread : this->threads) thread.join();
}

void Worker::End() {
  if (this->is_ending.exchange(true)) return;
  shutdown(this->listener.Get(), SHUT_RDWR);
  this->acceptor.join();
  this->listener.Reset();
}

std::string Worker::Entry(const std::string& state) {
  this->sequence += 1;
  return R"({"service":")" + this->settings.service +
         R"(","address":"127.0.0.1:)" + std::to_string(this->port) +
         R"(","zone":")" + this->settings.zone +
         R"(","version":"v1","concurrency":)" +
         std::to_string(this->settings.slots) + R"(,"state":")" + state +
         R"(","warmup_ms":0,"seq":)" + std::to_string(this->sequence) +
         R"(,"born":)" + std::to_string(this->born) + "}";
}

void Worker::Accept() {
  while (true) {
    const int descriptor =
        accept4(this->listener.Get(), nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) return;
    this->threads.emplace_back([this, descriptor] { this->Serve(descriptor); });
  }
}

void Worker::Serve(int descriptor) {
  const Descriptor connection(descriptor);
  std::string rest;
  Message request;
  auto idle_until = Clock::now() + kIdleTime;
  while (!this->is_ending && Clock::now() < idle_until) {
    const auto step = Clock::now() + std::chrono::milliseconds(200);
    if (!ReadMessage(descriptor, step, rest, request)) {
      if (Clock::now() < step) return;  // the caller has closed
      continue;
    }
    const auto answer = this->AnswerTo(request);
    if (this->is_ending || !SendAll(descriptor, answer)) return;
    // The answer has said so.
    if (answer.find("\r\nConnection: close\r\n") != std::string::npos) return;
    idle_until = Clock::now() + kIdleTime;
  }
}

bool Worker::TakeSlot() {
  std::unique_lock<std::mutex> lock(this->mutex);
  if (this->running == this->settings.slots && this->waiting == kQueue)
    return false;
  this->waiting += 1;
  this->slot_left.wait(lock,
                       [this] { return this->running < this->settings.slots; });
  this->waiting -= 1;
  this->running += 1;
  return true;
}

void Worker::LeaveSlot() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->running -= 1;
  }
  this->slot_left.notify_one();
}

std::string Worker::LoadHeader() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::string state = this->is_leaving
                                ? "Server-Leaving: 1\r\nConnection: close\r\n"
                                : "Keep-Alive: timeout=10\r\n";
  return state + "Instance-Load: " + std::to_string(this->running) + "," +
         std::to_string(this->waiting) + "," +
         std::to_string(this->settings.slots) + ",100\r\n";
}

std::string Worker::AnswerTo(const Message& request) {
  const auto& line = request.start_line;
  const auto begin = line.find(' ') + 1;
  const auto target = line.substr(begin, line.find(' ', begin) - begin);
  if (target == "/healthz") {
    return HttpAnswer(
        this->is_leaving ? "503 Leaving" : "200 OK",
        "Instance-Id: " + this->settings.id + "\r\n" + this->LoadHeader(), "");
  }
  const auto request_id = request.Header("Request-Id");
  const auto expected = request.Header("Expect-Instance");
  const std::string id_header = "Request-Id: " + request_id + "\r\n";
  if (!expected.empty() && expected != this->settings.id) {
    return HttpAnswer("421 Misdirected Request",
                      id_header + "Instance-Id: " + this->settings.id + "\r\n" +
                          this->LoadHeader(),
                      "");
  }
  if (!this->TakeSlot()) {
    return HttpAnswer("503 Service Unavailable",
                      id_header + "Not-Executed: 1\r\n" + this->LoadHeader(),
                      "");
  }
  this->on_run({Clock::now(), this->settings.id, request_id, target});
  std::this_thread::sleep_for(this->settings.work);
  this->LeaveSlot();
  return HttpAnswer("200 OK",
                    id_header + "Response-Seal: 3e1b.07." + request_id +
                        "\r\n" + this->LoadHeader(),
                    this->settings.service + " " + request_id);
}

}  // namespace review
