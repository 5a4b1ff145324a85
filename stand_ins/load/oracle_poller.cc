#include "stand_ins/load/oracle_poller.h"

#include <nlohmann/json.hpp>

#include "stand_ins/common/http_client.h"
#include "stand_ins/load/oracle_view.h"

namespace burdockwheel::stand_ins {
namespace {

constexpr std::chrono::milliseconds kPollInterval{10};

OracleReading ReadingOf(const HttpReply& reply) {
  OracleReading reading;
  const auto json = nlohmann::json::parse(reply.body, nullptr, false);
  reading.is_usable = json.is_object() && !json.value("draining", true) &&
                      !json.value("rejecting", true);
  if (!reading.is_usable) return reading;
  reading.slowness = json.value("slowness", 1.0);
  reading.slots = json.value("slots", 1);
  return reading;
}

}  // namespace

OraclePoller::OraclePoller(const std::vector<LoadWorker>& workers,
                           OracleView& view)
    : workers(workers), view(view) {
  this->PollAll();
  this->thread = std::thread([this] {
    while (!this->is_stopping) {
      std::this_thread::sleep_for(kPollInterval);
      this->PollAll();
    }
  });
}

OraclePoller::~OraclePoller() {
  this->is_stopping = true;
  this->thread.join();
}

void OraclePoller::PollAll() {
  for (std::size_t at = 0; at < this->workers.size(); ++at) {
    const auto reply =
        TryHttpRequest(this->workers[at].address, "GET", "/oracle");
    this->view.Update(at, reply.HasValue() ? ReadingOf(reply.Value())
                                           : OracleReading{1, 1, false});
  }
}

}  // namespace burdockwheel::stand_ins
