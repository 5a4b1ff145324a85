#include "stand_ins/common/token_bytes.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::stand_ins {

BOOST_AUTO_TEST_SUITE(TokenBytes)

BOOST_AUTO_TEST_CASE(AcceptsItsOwnBytesInPiecesOfAnySize) {
  for (const std::size_t size : {0U, 1U, 7U, 8U, 9U, 1000U}) {
    std::string body;
    AppendTokenBytes(42, size, &body);
    BOOST_TEST(body.size() == size);
    for (std::size_t cut = 0; cut <= size; ++cut) {
      BOOST_TEST(IsTokenBytes(42, 0, std::string_view(body).substr(0, cut)));
      BOOST_TEST(IsTokenBytes(42, cut, std::string_view(body).substr(cut)));
    }
  }
}

BOOST_AUTO_TEST_CASE(RejectsEachChangedByteAndAnotherTokensBytes) {
  std::string body;
  AppendTokenBytes(42, 100, &body);
  BOOST_TEST(!IsTokenBytes(43, 0, body));
  BOOST_TEST(!IsTokenBytes(42, 1, body));
  for (std::size_t at = 0; at < body.size(); ++at) {
    std::string changed = body;
    changed[at] = 'z';
    BOOST_TEST(!IsTokenBytes(42, 0, changed));
  }
}

BOOST_AUTO_TEST_CASE(ReadsBackWhatItWrote) {
  BOOST_TEST(FormatToken(0xabcdef0123456789ULL) == "abcdef0123456789");
  BOOST_TEST(ParseTokenOrNull("abcdef0123456789").value() ==
             0xabcdef0123456789ULL);
  BOOST_TEST(!ParseTokenOrNull("abcdef012345678").has_value());
  BOOST_TEST(!ParseTokenOrNull("abcdef012345678x").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
