#include "stand_ins/worker/worker.h"

#include <utility>
// Boost 1.74's asio/awaitable.hpp lacks this include.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "stand_ins/common/http_client.h"

namespace burdockwheel::stand_ins {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;
using Tcp = asio::ip::tcp;

// A worker with one slot, whose calls end only when they are cancelled or
// their deadline passes.
class EndlessWorker {
 public:
  EndlessWorker() : worker(this->context, Settings()) {
    const auto port = this->worker.TryListen("127.0.0.1:0");
    BOOST_TEST_REQUIRE(port.HasValue());
    this->port = port.Value();
    this->thread = std::thread([this] { this->context.run(); });
  }
  EndlessWorker(const EndlessWorker&) = delete;
  EndlessWorker& operator=(const EndlessWorker&) = delete;
  ~EndlessWorker() {
    this->context.stop();
    this->thread.join();
  }

  Json Counts() const { return this->Ask("GET", "/counts"); }

  // Waits until a member of the counts has this value.
  void AwaitCount(const char* member, int value) const {
    while (this->Counts().at(member) != value) std::this_thread::yield();
  }

  void Control(const Json& controls) const {
    (void)this->Ask("POST", "/control", controls.dump());
  }

  // Sends a call on a connection that the caller of this function can close.
  Tcp::socket SendCall(asio::io_context& client, const char* fields) const {
    Tcp::socket socket(client);
    socket.connect({asio::ip::address_v4::loopback(), this->port});
    const std::string request = "POST /book HTTP/1.1\r\nHost: w\r\n" +
                                std::string(fields) +
                                "Content-Length: 0\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    return socket;
  }

 private:
  static WorkerSettings Settings() {
    WorkerSettings settings;
    settings.controls.slots = 1;
    settings.controls.most_queued = 1;
    settings.controls.mean_service_time = std::chrono::hours(1);
    settings.shape = ServiceTimeShape::kConstant;
    return settings;
  }

  Json Ask(const char* method, const char* target,
           const std::string& body = {}) const {
    const auto reply = TryHttpRequest("127.0.0.1:" + std::to_string(this->port),
                                      method, target, body);
    BOOST_TEST_REQUIRE(reply.HasValue());
    return Json::parse(reply.Value().body);
  }

  asio::io_context context{1};
  Worker worker;
  std::uint16_t port = 0;
  std::thread thread;
};

std::string ReadAnswer(Tcp::socket& socket) {
  std::string answer(1000, '\0');
  answer.resize(socket.read_some(asio::buffer(answer)));
  return answer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(WorkerTest)

BOOST_AUTO_TEST_CASE(FreesTheSlotOfACallWhoseCallerLeaves) {
  const EndlessWorker worker;
  asio::io_context client;
  Tcp::socket first = worker.SendCall(client, "Idempotency-Key: a\r\n");
  worker.AwaitCount("total_runs", 1);
  Tcp::socket second = worker.SendCall(client, "Idempotency-Key: b\r\n");
  worker.AwaitCount("most_queued", 1);
  BOOST_TEST(!worker.Counts().at("runs").contains("b"));
  first.close();
  worker.AwaitCount("total_runs", 2);
  BOOST_TEST(worker.Counts().at("cancelled") == 1);
  BOOST_TEST(worker.Counts().at("runs").at("a") == 1);
  BOOST_TEST(worker.Counts().at("runs").at("b") == 1);
  BOOST_TEST(worker.Counts().at("most_running") == 1);
}

BOOST_AUTO_TEST_CASE(StatesThatARefusedCallHasNotRun) {
  const EndlessWorker worker;
  asio::io_context client;
  const Tcp::socket running = worker.SendCall(client, "");
  worker.AwaitCount("total_runs", 1);
  const Tcp::socket queued = worker.SendCall(client, "");
  worker.AwaitCount("most_queued", 1);
  Tcp::socket shed = worker.SendCall(client, "Idempotency-Key: c\r\n");
  const std::string answer = ReadAnswer(shed);
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(answer.find("Burdockwheel-Run: not-run\r\n") != answer.npos);
  BOOST_TEST(answer.find("Burdockwheel-Load: in-flight=1, queued=1\r\n") !=
             answer.npos);
  BOOST_TEST(!worker.Counts().at("runs").contains("c"));
}

BOOST_AUTO_TEST_CASE(SaysNothingOfACallWithoutAPlaceIfAsked) {
  const EndlessWorker worker;
  worker.Control({{"silent_when_full", true}});
  asio::io_context client;
  const Tcp::socket running = worker.SendCall(client, "");
  worker.AwaitCount("total_runs", 1);
  const Tcp::socket queued = worker.SendCall(client, "");
  worker.AwaitCount("most_queued", 1);
  Tcp::socket silent = worker.SendCall(client, "");
  worker.AwaitCount("ignored", 1);
  BOOST_TEST(silent.available() == 0U);
  BOOST_TEST(worker.Counts().at("refused") == 0);
  silent.close();
}

BOOST_AUTO_TEST_CASE(AsksForAPauseAndRepeatsRefusalsIfAsked) {
  const EndlessWorker worker;
  worker.Control({{"draining", true},
                  {"pause_ms", 1500},
                  {"faults", {{"repeated_refusal", 1.0}}}});
  asio::io_context client;
  Tcp::socket socket = worker.SendCall(client, "");
  std::string answers = ReadAnswer(socket);
  const std::string refusal = "HTTP/1.1 503 ";
  while (answers.rfind(refusal) == 0) answers += ReadAnswer(socket);
  BOOST_TEST(answers.find("Retry-After: 2\r\n") != answers.npos);
}

BOOST_AUTO_TEST_CASE(WritesWithoutEndIfAsked) {
  const EndlessWorker worker;
  worker.Control({{"mean_ms", 0}, {"faults", {{"endless", 1.0}}}});
  asio::io_context client;
  Tcp::socket socket = worker.SendCall(client, "");
  std::size_t received = 0;
  while (received < (std::size_t{1} << 20U))
    received += ReadAnswer(socket).size();
  socket.close();
  BOOST_TEST(worker.Counts().at("answered") == 1);
}

BOOST_AUTO_TEST_CASE(StopsAtTheDeadlineAndCountsTheRun) {
  const EndlessWorker worker;
  asio::io_context client;
  Tcp::socket late = worker.SendCall(
      client, "Idempotency-Key: d\r\nBurdockwheel-Deadline-Ms: 20\r\n");
  const std::string answer = ReadAnswer(late);
  BOOST_TEST(answer.starts_with("HTTP/1.1 504 "));
  BOOST_TEST(answer.find("Burdockwheel-Run") == answer.npos);
  BOOST_TEST(worker.Counts().at("runs").at("d") == 1);
}

BOOST_AUTO_TEST_CASE(RefusesNewCallsWhileItDrains) {
  const EndlessWorker worker;
  worker.Control({{"draining", true}});
  asio::io_context client;
  Tcp::socket socket = worker.SendCall(client, "");
  const std::string answer = ReadAnswer(socket);
  BOOST_TEST(answer.find("queued=0, draining\r\n") != answer.npos);
  BOOST_TEST(worker.Counts().at("total_runs") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
