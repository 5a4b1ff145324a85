// A planned stop of a host whose callers go on until it is gone.
#include <boost/asio/connect.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "host/serving_host_fixture_test.h"
#include "http/loopback_fixture_test.h"
#include "http/scripted_worker_test.h"

namespace burdockwheel::host {

namespace {

using http::testing::ScriptedWorker;
using http::testing::Tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kAnnounce{600};
constexpr milliseconds kMostWait{900};

constexpr const char* kDocument = R"({"version": 1, "most_entry_hosts": 25,
  "services": [{"service": "bookings", "worker": {"connections": 25},
    "calls": [{"name": "book", "method": "POST", "path": "/bookings",
      "idempotent": false, "key": "optional", "deadline_ms": 60000}]}]})";

struct Told {
  int status = 0;  // 0: the connection ended without a whole answer
  bool is_promised_not_run = false;
  milliseconds after{0};
};

// A caller with one connection, which it opens again when it was closed.
class StoppingCaller {
 public:
  explicit StoppingCaller(std::string address) : address(std::move(address)) {}

  // Returns nothing if no connection can be opened.
  std::optional<Told> Call(const std::string& id, milliseconds deadline) {
    if (!this->socket.is_open() && !this->TryConnect()) return std::nullopt;
    const auto begin = steady_clock::now();
    const std::string request =
        "POST /bookings HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
        "\r\nBurdockwheel-Deadline-Ms: " + std::to_string(deadline.count()) +
        "\r\nContent-Length: 0\r\n\r\n";
    boost::system::error_code error;
    boost::asio::write(this->socket, boost::asio::buffer(request), error);
    const auto answer = this->ReadAnswer();
    Told told;
    told.after =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
    if (!answer.empty()) {
      told.status = std::stoi(answer.substr(sizeof("HTTP/1.1")));
      told.is_promised_not_run =
          answer.find("Burdockwheel-Run: not-run") != std::string::npos;
    }
    const bool is_last = answer.find("Connection: close") != std::string::npos;
    if (answer.empty() || is_last) this->socket.close(error);
    return told;
  }

 private:
  bool TryConnect() {
    const auto colon = this->address.find(':');
    boost::system::error_code error;
    this->socket.connect(Tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                                       static_cast<std::uint16_t>(std::stoi(
                                           this->address.substr(colon + 1)))),
                         error);
    if (error) {
      boost::system::error_code ignored;
      this->socket.close(ignored);
      return false;
    }
    http::testing::LimitWaiting(this->socket);
    return true;
  }

  // Returns a whole answer, or nothing.
  std::string ReadAnswer() {
    std::string received;
    char buffer[4096];
    while (true) {
      const auto end = received.find("\r\n\r\n");
      const auto length = received.find("Content-Length: ");
      if (end != std::string::npos && length < end) {
        const auto body = std::stoul(received.substr(length + 16));
        if (received.size() >= end + 4 + body) return received;
      }
      const auto size =
          recv(this->socket.native_handle(), buffer, sizeof(buffer), 0);
      if (size <= 0) return {};
      received.append(buffer, static_cast<std::size_t>(size));
    }
  }

  std::string address;
  boost::asio::io_context context;
  Tcp::socket socket{this->context};
};

// A host that serves `bookings`, whose workers take `work` for each call.
class StoppingHost {
 public:
  explicit StoppingHost(const std::vector<milliseconds>& work) {
    for (const auto each : work) this->AddWorker(each);
    settings::HostSettings settings;
    settings.stop = {kAnnounce, kMostWait};
    this->host.emplace(settings, kDocument, this->records);
  }

  std::string Address() const { return this->host->Address(); }
  void BeginStop() { this->host->BeginStop(); }
  bool IsGone() const { return this->host->IsGone(); }

  bool HasRun(const std::string& id) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->runs.contains(id);
  }

 private:
  void AddWorker(milliseconds work) {
    this->workers.push_back(std::make_unique<ScriptedWorker>(
        [this, work](const std::string& request, bool&) {
          this->NoteRun(request);
          std::this_thread::sleep_for(work);
          return std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }));
    const auto address = this->workers.back()->Address();
    this->records.push_back({.id = {address.value},
                             .address = address,
                             .service = {"bookings"},
                             .failure_domain = {"fd-1"}});
  }

  void NoteRun(const std::string& request) {
    constexpr std::string_view kHeader = "X-Request-Id: ";
    const auto place = request.find(kHeader) + kHeader.size();
    const auto end = request.find("\r\n", place);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->runs.insert(request.substr(place, end - place));
  }

  std::mutex mutex;
  std::set<std::string> runs;
  std::vector<std::unique_ptr<ScriptedWorker>> workers;
  std::vector<model::WorkerRecord> records;
  std::optional<testing::ServingHost> host;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(PlannedStopTest)

// It was sent to a worker and cut without an answer at the end of the stop.
BOOST_AUTO_TEST_CASE(ACallThatMayOutlastTheStopIsRefusedAtOnce) {
  StoppingHost host({kAnnounce + kMostWait});
  StoppingCaller caller(host.Address());
  host.BeginStop();
  std::this_thread::sleep_for(kAnnounce / 2);
  const auto told = caller.Call("late", milliseconds(5000));
  BOOST_REQUIRE(told.has_value());
  BOOST_TEST(told->status == 503);
  BOOST_TEST(told->is_promised_not_run);
  BOOST_TEST(told->after.count() < 200);
  BOOST_TEST(!host.HasRun("late"));
}

BOOST_AUTO_TEST_CASE(ACallFromBeforeTheStopIsAnsweredAtItsEnd) {
  StoppingHost host({std::chrono::seconds(4)});
  std::optional<Told> told;
  std::thread early([&] {
    StoppingCaller caller(host.Address());
    told = caller.Call("early", milliseconds(8000));
  });
  std::this_thread::sleep_for(milliseconds(200));
  host.BeginStop();
  early.join();
  BOOST_REQUIRE(told.has_value());
  BOOST_TEST(told->status == 503);
  BOOST_TEST(!told->is_promised_not_run);
  BOOST_TEST(host.HasRun("early"));
  // Not before the worker had the time that there is.
  BOOST_TEST((told->after >= kAnnounce + kMostWait - milliseconds(200)));
}

// Callers use their connections, and open new ones, until none can be opened.
BOOST_AUTO_TEST_CASE(WhatIsPassedOnDuringAStopIsAnswered) {
  constexpr int kCallers = 8;
  std::vector<milliseconds> work;
  work.reserve(kCallers);
  for (int worker = 0; worker < kCallers; ++worker)
    work.push_back(milliseconds(40 + worker * 150));
  StoppingHost host(work);
  std::mutex mutex;
  int calls = 0;
  std::vector<std::string> unanswered;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int each = 0; each < kCallers; ++each) {
    callers.emplace_back([&, each] {
      std::mt19937 random(static_cast<unsigned>(each));
      StoppingCaller caller(host.Address());
      for (int call = 0; !host.IsGone(); ++call) {
        const auto id = std::to_string(each) + "-" + std::to_string(call);
        const auto told = caller.Call(id, milliseconds(50 + random() % 1800));
        if (!told) return;
        const std::lock_guard<std::mutex> lock(mutex);
        calls += 1;
        if (told->status == 0) unanswered.push_back(id);
      }
    });
  }
  std::this_thread::sleep_for(milliseconds(300));
  host.BeginStop();
  for (auto& caller : callers) caller.join();
  BOOST_TEST(calls > 2 * kCallers);
  // One that crosses the end of its connection was not passed on.
  for (const auto& id : unanswered) BOOST_TEST(!host.HasRun(id), id);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::host
