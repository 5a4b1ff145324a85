// Runs the reading of the platform on a host: feeds PublicationReader and does
// what it decides.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kernel/instant.h"
#include "model/worker_record.h"
#include "publication/evacuation_list.h"
#include "publication/publication_reader.h"
#include "publication/publication_source.h"
#include "publication/worker_directory.h"

namespace burdockwheel::host {

// Joins the pure decisions with the platform and the clock. Runs on the control
// thread.
class PublicationRunner {
 public:
  struct Hooks {
    // Called before each event, so that a pause is known before it is handled.
    std::function<void()> notice_time;
    std::function<void(const publication::PublishedConfiguration&)>
        configuration_published;
    std::function<void(std::vector<model::WorkerRecord>)> workers_listed;
    // Send to the hosts of the own failure domain, or to all if it is wide.
    std::function<void(std::string body)> send_update;
    std::function<void(std::string body, bool is_wide)> send_beacon;
  };

  PublicationRunner(boost::asio::io_context& context,
                    const publication::ReaderSettings& settings,
                    std::unique_ptr<publication::PublicationSource> source,
                    Hooks hooks);

  void Start();

  // Hands an event to the reader.
  void Notify(const publication::ReaderEvent& event);

  // Takes what a peer has sent.
  void TakeUpdate(const std::string& body);
  void TakeBeacon(const std::string& body, model::Incarnation sender,
                  const model::FailureDomain& failure_domain);

  const publication::PublicationReader& Reader() const { return this->reader; }
  std::size_t EvacuatedDomains() const {
    return this->evacuations.Domains().size();
  }
  std::uint64_t ReadCount() const { return this->read_count; }
  std::uint64_t FailedReadCount() const { return this->failed_reads; }
  // How often this host asked since no host was known to be answered.
  std::uint64_t OverdueCount() const { return this->overdue_answers; }
  // How long ago the platform last answered this host, or a peer that told so.
  std::chrono::nanoseconds Age() const;

 private:
  void Do(const publication::ReadPage& action);
  void Do(const publication::ReadChanges& action);
  void Do(const publication::ResetSource& action);
  void Do(const publication::ItemChanged& action);
  void Do(const publication::ItemGone& action);
  void Do(const publication::ListingComplete& action);
  void Do(const publication::TellUpdate& action);
  void Do(const publication::TellBeacon& action);
  void Do(const publication::AnswerOverdue& action);
  void Do(const publication::SourceLost& action);
  void Do(const publication::SourceRegained& action);
  void Do(const publication::SourceRestored& action);
  void Do(const publication::WakeAt& action);
  void OnRead(std::uint64_t read, bool is_read,
              const publication::ReaderEvent& event);
  // Takes new evacuations into the records; returns whether there are any.
  bool ApplyEvacuations();
  void TellWorkers();

  boost::asio::steady_timer timer;
  boost::asio::steady_timer directory_timer;
  publication::PublicationReader reader;
  publication::WorkerDirectory directory;
  publication::EvacuationList evacuations;
  std::unique_ptr<publication::PublicationSource> source;
  Hooks hooks;
  std::uint64_t read_count = 0;
  std::uint64_t failed_reads = 0;
  std::uint64_t overdue_answers = 0;
  kernel::Instant heard_at;
  std::uint64_t expected_read = 0;  // 0: none
};

}  // namespace burdockwheel::host
