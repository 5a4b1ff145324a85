#include "review/stand_ins/worker.h"

#include <utility>

#include "review/stand_ins/recorder.h"
#include "review/stand_ins/server.h"
#include "review/stand_ins/store.h"
#include "review/stand_ins/stream.h"

namespace review {

namespace {

// A worker closes channels that are idle for longer, and says so.
constexpr int kIdleSeconds = 10;

}  // namespace

Worker::Worker(std::string id, std::string service, std::string zone,
               Milliseconds work, Recorder& recorder)
    : id(std::move(id)),
      service(std::move(service)),
      zone(std::move(zone)),
      work(work),
      recorder(recorder),
      born(std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()),
      server(std::make_unique<Server>(
          [this](Stream& stream) { this->Serve(stream); })) {}

Worker::~Worker() { this->server->Stop(); }

void Worker::Report(Store& store) {
  store.Put("servers/" + this->id,
            R"({"service":")" + this->service + R"(","address":")" +
                this->server->Address() + R"(","zone":")" + this->zone +
                R"(","version":"v1","concurrency":)" + std::to_string(kSlots) +
                R"(,"state":"ready","warmup_ms":0,"seq":)" +
                std::to_string(++this->sequence) + R"(,"born":)" +
                std::to_string(this->born) + "}");
}

std::vector<Worker::Run> Worker::Runs() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->runs;
}

std::string Worker::CommonHeaders() const {
  std::string headers =
      "Instance-Load: " + std::to_string(this->running) + "," +
      std::to_string(this->waiting) + "," + std::to_string(kSlots) + "," +
      "100" + "\r\nKeep-Alive: timeout=" + std::to_string(kIdleSeconds) +
      "\r\n";
  return headers;
}

void Worker::Serve(Stream& stream) {
  const auto patience = std::chrono::seconds(kIdleSeconds);
  while (const auto request = stream.Read(patience)) {
    if (!this->ServeRequest(stream, *request)) return;
  }
}

bool Worker::ServeRequest(Stream& stream, const Message& request) {
  if (request.Target() == "/healthz") {
    return stream.Write("HTTP/1.1 200 OK\r\nInstance-Id: " + this->id + "\r\n" +
                        this->CommonHeaders() + "Content-Length: 0\r\n\r\n");
  }
  const auto request_id = request.Header("request-id");
  const auto expected = request.Header("expect-instance");
  if (!expected.empty() && expected != this->id) {
    return stream.Write(
        "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request_id +
        "\r\nInstance-Id: " + this->id + "\r\nContent-Length: 0\r\n\r\n");
  }
  if (!this->TryTakeSlot()) {
    return stream.Write("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " +
                        request_id + "\r\nNot-Executed: 1\r\n" +
                        this->CommonHeaders() + "Content-Length: 0\r\n\r\n");
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->runs.push_back({SinceStart(), request_id});
  }
  this->recorder.Write("run " + request_id + " " + request.Target() + " at " +
                       this->id + " of " + this->service);
  Sleep(this->work * this->slowness.load());
  Answer answer{200, request.Target() + " " + request_id};
  if (this->maker) answer = this->maker(request);
  --this->running;
  this->slot_freed.notify_one();
  return stream.Write("HTTP/1.1 " + std::to_string(answer.status) +
                      " Answer\r\nRequest-Id: " + request_id +
                      "\r\nResponse-Seal: " + request_id + "." +
                      std::to_string(answer.body.size()) + "\r\n" +
                      this->CommonHeaders() +
                      "Content-Length: " + std::to_string(answer.body.size()) +
                      "\r\n\r\n" + answer.body);
}

bool Worker::TryTakeSlot() {
  std::unique_lock<std::mutex> lock(this->mutex);
  if (this->running >= kSlots && this->waiting >= kMaxQueued) return false;
  ++this->waiting;
  this->slot_freed.wait(lock, [this] { return this->running < kSlots; });
  --this->waiting;
  ++this->running;
  return true;
}

}  // namespace review
