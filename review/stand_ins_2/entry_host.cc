#include "review/stand_ins_2/entry_host.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <fstream>
#include <random>
#include <set>

namespace burdockwheel::review {

namespace {

// Of a machine of the small deployments (SYSTEM.md).
constexpr rlim_t kMaxDescriptors = 4100;

constexpr int kPollMs = 5;

constexpr int kFirstPort = 12'000;
constexpr int kLastPort = 30'000;

}  // namespace

std::uint16_t FreePort() {
  using boost::asio::ip::tcp;
  using boost::asio::ip::udp;
  static std::mt19937 random{std::random_device()()};
  static std::set<std::uint16_t> given;  // not yet listened on, perhaps
  // Below the ports that connections take by themselves.
  std::uniform_int_distribution<int> draw(kFirstPort, kLastPort);
  const auto loopback = boost::asio::ip::address_v4::loopback();
  boost::asio::io_context context;
  while (true) {
    const auto port = static_cast<std::uint16_t>(draw(random));
    if (given.contains(port)) continue;
    tcp::acceptor stream(context, tcp::v4());
    udp::socket datagrams(context, udp::v4());
    boost::system::error_code stream_error;
    boost::system::error_code datagram_error;
    stream.bind(tcp::endpoint(loopback, port), stream_error);
    datagrams.bind(udp::endpoint(loopback, port), datagram_error);
    if (stream_error || datagram_error) continue;
    given.insert(port);
    return port;
  }
}

EntryHost::EntryHost(const EntryHostOptions& options)
    : options(options),
      caller_port(FreePort()),
      ready_port(FreePort()),
      metrics_port(FreePort()),
      control_port(FreePort()) {}

EntryHost::~EntryHost() {
  if (this->HasEnded()) return;
  this->Signal(SIGKILL);
  waitpid(this->process, nullptr, 0);
}

std::string EntryHost::ControlAddress() const {
  return "127.0.0.1:" + std::to_string(this->control_port);
}

std::string EntryHost::Settings() const {
  const auto listen = [](std::uint16_t port) {
    return "\"127.0.0.1:" + std::to_string(port) + "\"";
  };
  std::string seeds;
  for (const auto& seed : this->options.seeds)
    seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
  return "{\"host\":\"" + this->options.name + "\",\"failure_domain\":\"" +
         this->options.zone +
         "\",\"caller_listen\":" + listen(this->caller_port) +
         ",\"admin_listen\":" + listen(this->ready_port) +
         ",\"metrics_listen\":" + listen(this->metrics_port) +
         ",\"peer_listen\":" + listen(this->control_port) +
         ",\"platform\":{\"kind\":\"store\",\"address\":" +
         listen(this->options.store_port) +
         "},\"message_conventions\":\"platform\",\"load_interval_ms\":100," +
         "\"memory_mb\":" + std::to_string(this->options.memory_mb) +
         ",\"most_body_bytes\":16777216,\"seed_peers\":[" + seeds + "]," +
         this->options.site_members +
         "\"fleet_retry\":{\"share\":0.2,\"slack\":" +
         std::to_string(this->options.retry_slack) +
         ",\"levels\":1},\"stop\":{\"grace_s\":" +
         std::to_string(this->options.grace_s) + "}}\n";
}

bool EntryHost::TryStart() {
  const auto settings = this->options.folder + "/" + this->options.name;
  std::ofstream(settings + ".json") << this->Settings();
  this->status = -1;
  this->process = fork();
  if (this->process < 0) return false;
  if (this->process > 0) return true;
  // It must not outlive the case.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const rlimit limit{kMaxDescriptors, kMaxDescriptors};
  setrlimit(RLIMIT_NOFILE, &limit);
  const int log =
      open((settings + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  for (int handle = STDERR_FILENO + 1; handle < 65536; ++handle) close(handle);
  setenv("BURDOCKWHEEL_CONFIG", (settings + ".json").c_str(), 1);
  execl(this->options.program.c_str(), this->options.program.c_str(), "serve",
        static_cast<char*>(nullptr));
  _exit(127);
}

void EntryHost::Signal(int signal) const {
  if (this->process > 0) kill(this->process, signal);
}

bool EntryHost::HasEnded() {
  if (this->process <= 0) return true;
  if (waitpid(this->process, &this->status, WNOHANG) == this->process)
    this->process = -1;
  return this->process <= 0;
}

int EntryHost::WaitForEnd(int max_ms) {
  for (int waited = 0; waited < max_ms; waited += kPollMs) {
    if (this->HasEnded()) return this->status;
    usleep(kPollMs * 1000);
  }
  return -1;
}

}  // namespace burdockwheel::review
