#include "review/stand_ins_3/client.h"

#include <cstdlib>

namespace review {

Outcome Client::Send(const std::string& method, const std::string& host,
                     const std::string& path, const std::string& request_id,
                     std::chrono::milliseconds time_limit) {
  Outcome outcome;
  outcome.request_id = request_id;
  if (!this->connection.IsOpen()) {
    this->rest.clear();
    this->connection = ConnectToLoopback(this->port);
  }
  outcome.sent_at = Clock::now();
  if (!this->connection.IsOpen()) return outcome;
  const std::string body = method == "GET" ? "" : "booking " + request_id;
  std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                        "\r\nRequest-Id: " + request_id + "\r\nDeadline-Ms: " +
                        std::to_string(time_limit.count()) + "\r\n";
  if (method != "GET")
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  request += "\r\n" + body;
  Message answer;
  const auto until = outcome.sent_at + time_limit;
  const bool is_answered =
      SendAll(this->connection.Get(), request) &&
      ReadMessage(this->connection.Get(), until, this->rest, answer);
  if (!is_answered) {
    this->connection.Reset();
    return outcome;
  }
  outcome.status = std::atoi(answer.start_line.substr(9, 3).c_str());
  outcome.is_worker_leaving = answer.Header("Server-Leaving") == "1";
  outcome.body = answer.body;
  if (answer.Header("Connection") == "close") this->connection.Reset();
  return outcome;
}

}  // namespace review
