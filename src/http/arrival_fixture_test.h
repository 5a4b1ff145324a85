// Answers that reach a pool in parts, for tests over loopback.
#pragma once

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "http/pool_fixture_test.h"
#include "http/staged_worker_test.h"
#include "http/thread_hold_test.h"

namespace burdockwheel::http::testing {

class ArrivalFixture : public PoolFixture {
 public:
  using Check = std::function<void(const Ended&)>;

  // Sends the request for each way in which the parts of its answer may reach
  // the host, on a new connection and on one that was kept, and hands the end
  // of each call to `check`.
  void ForEachArrival(const std::string& request,
                      const std::vector<std::string>& parts,
                      StagedWorker::Ending ending, const Check& check) {
    for (const auto arrival :
         {Arrival::kAtOnce, Arrival::kInParts, Arrival::kWhileBusy}) {
      for (const bool is_kept : {false, true}) {
        BOOST_TEST_CONTEXT("arrival " << static_cast<int>(arrival)
                                      << ", kept: " << is_kept << ", "
                                      << parts.front() << parts.back()) {
          ThreadHold hold(this->context);
          StagedWorker::Plan plan;
          plan.parts = parts;
          plan.pause = kPause;
          plan.ending = ending;
          plan.is_kept = is_kept;
          if (arrival == Arrival::kAtOnce)
            plan.pause = std::chrono::milliseconds(0);
          if (arrival == Arrival::kWhileBusy) {
            plan.before_parts = [&hold] { hold.Begin(); };
            plan.after_end = [&hold] { hold.End(); };
          }
          const StagedWorker worker(plan);
          if (is_kept) this->CallFirst(worker);
          check(this->Call(worker.Address(), request));
        }
      }
    }
  }

 private:
  // How the parts of an answer and its end reach the host.
  enum class Arrival {
    kAtOnce,
    kInParts,
    kWhileBusy,  // all of it before the host's thread looks at it
  };

  // Long enough for what was written before to be read.
  static constexpr std::chrono::milliseconds kPause{20};

  void CallFirst(const StagedWorker& worker) {
    const auto first =
        this->Call(worker.Address(), "GET /a HTTP/1.1\r\nHost: w\r\n\r\n");
    BOOST_TEST(first.answer.body == "first");
  }
};

}  // namespace burdockwheel::http::testing
