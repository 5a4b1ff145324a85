// Keyed calls resent through other hosts while their issuers fail, counted by
// the workers themselves.
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "stand_ins/proofs/proof_cluster_test.h"

namespace burdockwheel::stand_ins {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kLeastKeys = 500;

void CheckSound(const ProofResult& result) {
  BOOST_TEST_MESSAGE("keys=" << result.runs.keys
                             << " answered=" << result.runs.answered
                             << " not-run=" << result.runs.not_run
                             << " unknown=" << result.runs.unknown
                             << " of these run=" << result.runs.unknown_and_run
                             << " resends=" << result.resends);
  BOOST_TEST(result.runs.keys >= kLeastKeys);
  BOOST_TEST(result.runs.run_twice.size() == 0U);
  BOOST_TEST(result.runs.not_run_but_run.size() == 0U);
  BOOST_TEST(result.runs.answered_but_not_run.size() == 0U);
  BOOST_TEST(result.foreign_answers == 0);
}

ProofEvent Signal(int at_ms, std::size_t host, int number) {
  return {milliseconds(at_ms), [host, number](Cluster& cluster) {
            cluster.SignalHost(host, number);
          }};
}

ProofEvent Kill(int at_ms, std::size_t host) {
  return {milliseconds(at_ms),
          [host](Cluster& cluster) { cluster.KillHost(host); }};
}

ProofEvent Start(int at_ms, std::size_t host) {
  return {milliseconds(at_ms),
          [host](Cluster& cluster) { cluster.StartHost(host); }};
}

// Cuts hosts 0 and 1 off from the other three, both ways.
ProofEvent Partition(int at_ms) {
  return {milliseconds(at_ms), [](Cluster& cluster) {
            for (const std::size_t host : {0, 1})
              cluster.CutLinks(host, {2, 3, 4});
            for (const std::size_t host : {2, 3, 4})
              cluster.CutLinks(host, {0, 1});
          }};
}

ProofEvent Heal(int at_ms) {
  return {milliseconds(at_ms), [](Cluster& cluster) {
            for (const std::size_t host : {0, 1, 2, 3, 4})
              cluster.CutLinks(host, {});
          }};
}

ProofEvent Platform(int at_ms, bool is_down) {
  return {milliseconds(at_ms), [is_down](Cluster& cluster) {
            cluster.ControlPlatform({{"down", is_down}});
          }};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AtMostOnceTest)

BOOST_AUTO_TEST_CASE(HoldsWhenAnIssuerIsKilledAndStartedAgain) {
  CheckSound(RunProof({.events = {Kill(1500, 0), Start(3000, 0)}}));
}

BOOST_AUTO_TEST_CASE(HoldsWhenIssuersArePaused) {
  CheckSound(RunProof(
      {.events = {Signal(1000, 0, SIGSTOP), Signal(1500, 1, SIGSTOP),
                  Signal(3500, 0, SIGCONT), Signal(4500, 1, SIGCONT)}}));
}

BOOST_AUTO_TEST_CASE(HoldsInAPartition) {
  CheckSound(RunProof({.events = {Partition(1500), Heal(4000)}}));
}

BOOST_AUTO_TEST_CASE(HoldsWhenAnIssuerStopsAsPlanned) {
  bool has_ended = false;
  CheckSound(
      RunProof({.events = {{milliseconds(1500), [&has_ended](Cluster& cluster) {
                              has_ended = cluster.StopHost(0);
                            }}}}));
  BOOST_TEST(has_ended);
}

BOOST_AUTO_TEST_CASE(HoldsWhenPartitionPauseAndPlatformFailTogether) {
  CheckSound(RunProof({.events = {Platform(500, true), Partition(1000),
                                  Signal(1500, 2, SIGSTOP), Kill(2000, 3),
                                  Heal(3500), Signal(4000, 2, SIGCONT),
                                  Platform(4500, false), Start(4600, 3)}}));
}

// Workers that are often full write their refusals twice, begin answers that
// never end, and one says nothing when it is full.
BOOST_AUTO_TEST_CASE(HoldsBesideWorkersThatWriteWhatIsNoAnswer) {
  const auto spoil = [](Cluster& cluster) {
    for (const std::size_t worker : {0, 1, 2, 3, 4, 5}) {
      cluster.ControlWorker(
          worker, {{"slots", 2},
                   {"most_queued", 0},
                   {"silent_when_full", worker == 5},
                   {"faults", {{"repeated_refusal", 0.5}, {"endless", 0.05}}}});
    }
  };
  CheckSound(RunProof({.events = {{milliseconds(200), spoil}}}));
}

// The check must notice the loss of what it is there to prove: hosts that run
// the call of an issuer that does not answer run it twice.
BOOST_AUTO_TEST_CASE(NoticesHostsThatTakeOverFromASilentIssuer) {
  const auto result =
      RunProof({.events = {Signal(1000, 0, SIGSTOP), Signal(1500, 1, SIGSTOP),
                           Signal(3500, 0, SIGCONT), Signal(4500, 1, SIGCONT)},
                .switched_off = {"no-takeover"}});
  BOOST_TEST_MESSAGE("run twice=" << result.runs.run_twice.size()
                                  << " false not-run="
                                  << result.runs.not_run_but_run.size());
  BOOST_TEST(!result.runs.IsSound());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
