#include "configuration/configuration_acceptor.h"

#include <boost/test/unit_test.hpp>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace burdockwheel::configuration {

namespace {

std::string Document(int version, const std::string& service) {
  return "{\"version\": " + std::to_string(version) +
         ", \"services\": [{\"service\": \"" + service +
         "\", \"calls\": [{\"name\": \"k\", \"method\": \"GET\", \"path\": "
         "\"/k\", \"idempotent\": true}]}]}";
}

const ConfigurationSource kService{ConfigurationSource::Kind::kService, ""};
const ConfigurationSource kPeer{ConfigurationSource::Kind::kPeer, "entry-2"};

}  // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationAcceptorTest)

BOOST_AUTO_TEST_CASE(HoldsNoneAtFirst) {
  ConfigurationAcceptor acceptor;
  BOOST_TEST(!acceptor.CurrentOrNull());
  BOOST_TEST(acceptor.Stamp().version == 0U);
  const auto refused = acceptor.Offer("{}", kService);
  BOOST_TEST((refused.verdict == AcceptanceVerdict::kRefusedInvalid));
  BOOST_TEST(!acceptor.CurrentOrNull());
}

BOOST_AUTO_TEST_CASE(RefusesOlderVersionsFromAnySource) {
  ConfigurationAcceptor acceptor;
  BOOST_TEST(IsAccepted(acceptor.Offer(Document(5, "a"), kService).verdict));
  for (const auto& source : {kService, kPeer}) {
    const auto record = acceptor.Offer(Document(4, "b"), source);
    BOOST_TEST((record.verdict == AcceptanceVerdict::kRefusedOlder));
    BOOST_TEST(record.before.version == 5U);
    BOOST_TEST(record.offered.version == 4U);
  }
  BOOST_TEST(acceptor.CurrentOrNull()->services[0].name.value == "a");
}

BOOST_AUTO_TEST_CASE(KeepsTheLastAcceptedWhenAPublicationIsInvalid) {
  ConfigurationAcceptor acceptor;
  BOOST_TEST(IsAccepted(acceptor.Offer(Document(5, "a"), kService).verdict));
  const auto record = acceptor.Offer(Document(6, "not a name"), kService);
  BOOST_TEST((record.verdict == AcceptanceVerdict::kRefusedInvalid));
  BOOST_REQUIRE(record.faults.size() == 1U);
  BOOST_TEST(record.faults[0].pointer == "/services/0/service");
  BOOST_TEST(acceptor.CurrentOrNull()->version == 5U);
  BOOST_TEST(IsAccepted(acceptor.Offer(Document(6, "b"), kPeer).verdict));
}

BOOST_AUTO_TEST_CASE(MarksRefusalsThatRepeat) {
  ConfigurationAcceptor acceptor;
  BOOST_TEST(IsAccepted(acceptor.Offer(Document(5, "a"), kService).verdict));
  BOOST_TEST(!acceptor.Offer(Document(4, "a"), kService).is_repeated);
  BOOST_TEST(acceptor.Offer(Document(4, "a"), kService).is_repeated);
  BOOST_TEST(!acceptor.Offer(Document(3, "a"), kService).is_repeated);
}

BOOST_AUTO_TEST_CASE(RefusesWhatAPeerDidNotClaim) {
  ConfigurationAcceptor acceptor;
  const auto record =
      acceptor.Offer(Document(5, "a"), kPeer, ConfigurationStamp{5, 1});
  BOOST_TEST((record.verdict == AcceptanceVerdict::kRefusedNotAsClaimed));
  BOOST_TEST(!acceptor.CurrentOrNull());
}

// Two publishers gave version 5 to different documents. Whatever a host sees
// first, it ends with the same one, and never goes back to one that it left.
BOOST_AUTO_TEST_CASE(EndsAlikeAfterARaceInWhateverOrder) {
  const std::vector<std::string> racing = {Document(4, "z"), Document(5, "a"),
                                           Document(5, "b"), Document(5, "c")};
  std::mt19937_64 random(7);
  std::vector<ConfigurationStamp> ends;
  for (int host = 0; host < 50; ++host) {
    ConfigurationAcceptor acceptor;
    // Each host sees each document at least once, in an order of its own.
    std::vector<std::string> seen = racing;
    seen.insert(seen.end(), racing.begin(), racing.end());
    std::shuffle(seen.begin(), seen.end(), random);
    ConfigurationStamp last;
    for (const auto& document : seen) {
      const auto verdict = acceptor.Offer(document, kPeer).verdict;
      BOOST_TEST(!(acceptor.Stamp() < last));
      BOOST_TEST(IsAccepted(verdict) == (last < acceptor.Stamp()));
      last = acceptor.Stamp();
    }
    ends.push_back(last);
  }
  for (const auto& end : ends) BOOST_TEST((end == ends[0]));
  BOOST_TEST(ends[0].version == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::configuration
