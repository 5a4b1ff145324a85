#include "review/stand_ins_2/worker.h"

#include <utility>

namespace burdockwheel::review {

Worker::Worker(boost::asio::io_context& context, WorkerOptions options,
               Hooks hooks)
    : context(context),
      options(std::move(options)),
      hooks(std::move(hooks)),
      listener(std::make_unique<HttpListener>(
          context,
          [this](const Exchange& exchange) { this->Receive(exchange); })),
      port(this->listener->Port()),
      born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()) {}

std::string Worker::Entry(const std::string& state) {
  return R"({"service":")" + this->options.service +
         R"(","address":"127.0.0.1:)" + std::to_string(this->port) +
         R"(","zone":")" + this->options.zone +
         R"(","version":"v1","concurrency":6,"state":")" + state +
         R"(","warmup_ms":0,"seq":)" + std::to_string(++this->sequence) +
         R"(,"born":)" + std::to_string(this->born) + "}";
}

void Worker::Leave() { this->listener.reset(); }

std::string Worker::Load() const {
  // A worker that leaves says so in all its answers.
  const std::string leaving =
      this->is_draining ? "Server-Leaving: 1\r\nConnection: close\r\n" : "";
  return leaving + "Instance-Load: " + std::to_string(this->running) + "," +
         std::to_string(this->queue.size()) + ",6\r\n";
}

void Worker::Receive(const Exchange& exchange) {
  const auto& request = exchange->request;
  if (request.SecondWord() == "/healthz") {
    exchange->respond(MakeAnswer(
        this->is_draining ? 503 : 200,
        "Instance-Id: " + this->options.id + "\r\n" + this->Load(), ""));
    return;
  }
  const auto* id = request.HeaderOrNull("Request-Id");
  if (id == nullptr) {
    exchange->respond(
        MakeAnswer(400, "Not-Executed: 1\r\n" + this->Load(), ""));
    return;
  }
  const std::string echo = "Request-Id: " + *id + "\r\n";
  const auto* expected = request.HeaderOrNull("Expect-Instance");
  if (expected != nullptr && *expected != this->options.id) {
    exchange->respond(MakeAnswer(
        421, echo + "Instance-Id: " + this->options.id + "\r\n" + this->Load(),
        ""));
    return;
  }
  if (this->hooks.on_arrival) this->hooks.on_arrival(*this, *id);
  const Job job{exchange, *id};
  if (this->running < kSlots) return this->Run(job);
  if (this->queue.size() < kQueue) {
    this->queue.push_back(job);
    return;
  }
  exchange->respond(
      MakeAnswer(503, echo + "Not-Executed: 1\r\n" + this->Load(), ""));
}

void Worker::Run(const Job& job) {
  ++this->running;
  if (this->hooks.on_run) this->hooks.on_run(*this, job.request_id);
  const auto timer = std::make_shared<boost::asio::steady_timer>(this->context);
  timer->expires_after(this->options.work);
  timer->async_wait([this, timer, job](const boost::system::error_code&) {
    --this->running;
    const bool has_left = this->listener == nullptr;
    const bool is_heard = !has_left && job.exchange->is_open();
    if (this->hooks.on_end) {
      this->hooks.on_end(*this, job.request_id,
                         has_left   ? "worker left"
                         : is_heard ? "done"
                                    : "caller left");
    }
    if (is_heard) {
      const std::string body(this->options.answer_bytes, 'x');
      job.exchange->respond(MakeAnswer(
          200,
          "Request-Id: " + job.request_id + "\r\nResponse-Seal: 3e1b.07.5a2." +
              std::to_string(body.size()) + ".0.c9f2a4d1\r\n" + this->Load(),
          body));
    }
    while (this->running < kSlots && !this->queue.empty()) {
      const auto next = this->queue.front();
      this->queue.pop_front();
      if (next.exchange->is_open()) this->Run(next);
    }
  });
}

}  // namespace burdockwheel::review
