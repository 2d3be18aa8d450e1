#include "Traffic/placements_codec.h"

#include <cstdint>
#include <string>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "property_check.h"

namespace chestnuthead::traffic {

class placements_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(placements_codec_test);
  CPPUNIT_TEST(record_survives_a_round_trip);
  CPPUNIT_TEST(corrupt_bytes_are_handled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void record_survives_a_round_trip() {
    const auto decoded = decode_placements(encode_placements(sample()));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->written_at == sample().written_at);
    CPPUNIT_ASSERT(decoded->placements == sample().placements);
  }

  void corrupt_bytes_are_handled() {
    check_property("damaged records are read or refused", [](std::uint8_t value) {
      std::string bytes = encode_placements(sample());
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = static_cast<char>(value);
      bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
      decode_placements(bytes);
    });
    for (const std::string bytes : {"", "\x93\x02\x05\x90", "\x93\x01\x05\xdd\xdf\xff\xff\xff"}) {
      CPPUNIT_ASSERT(!decode_placements(bytes).has_value());
    }
  }

 private:
  static placements_record sample() {
    return {std::chrono::milliseconds{81'000}, {{0xFFFF'FFFF'FFFF'FFFF, 7}, {3, 0}}};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placements_codec_test);

}  // namespace chestnuthead::traffic
