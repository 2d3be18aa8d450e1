#include "Traffic/stream_origins_codec.h"

#include <cstdint>
#include <string>
#include <string_view>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "Net/msgpack_fields.h"
#include "property_check.h"

namespace chestnuthead::traffic {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t present_format = 1;
constexpr std::uint32_t next_format = 2;

/// The bytes of `sample_record()` and of `sample_version()`, as builds in use write them; the
/// first ones do not write pools.
constexpr std::string_view record_without_pools_in_hex =
    "9401ce00013c6892a27631a2763296cfffffffffffffffff0003010700";
constexpr std::string_view record_in_hex =
    "9601ce00013c6892a27631a2763296cfffffffffffffffff000301070092a36f6e65a374776f93000100";
constexpr std::string_view version_in_hex = "9301a7656e67696e6573a27632";

std::string to_hex(std::string_view bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  constexpr unsigned base = 16;
  std::string text;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += digits[value / base];
    text += digits[value % base];
  }
  return text;
}

std::string from_hex(std::string_view text) {
  constexpr int base = 16;
  std::string bytes;
  for (std::size_t at = 0; at < text.size(); at += 2) {
    bytes += static_cast<char>(std::stoi(std::string(text.substr(at, 2)), nullptr, base));
  }
  return bytes;
}

origins_record sample_record() {
  return {milliseconds{81'000},
          {{0xFFFF'FFFF'FFFF'FFFF, "v1", pool_id{"one"}},
           {3, "v2", pool_id{"two"}},
           {7, "v1", pool_id{"one"}}}};
}

pool_version sample_version() {
  return {pool_id{"engines"}, "v2"};
}

void assert_same(const origins_record& expected, const std::optional<origins_record>& actual) {
  CPPUNIT_ASSERT(actual.has_value());
  CPPUNIT_ASSERT(expected.written_at == actual->written_at);
  CPPUNIT_ASSERT_EQUAL(expected.origins.size(), actual->origins.size());
  for (std::size_t index = 0; index < expected.origins.size(); ++index) {
    CPPUNIT_ASSERT_EQUAL(expected.origins[index].request, actual->origins[index].request);
    CPPUNIT_ASSERT_EQUAL(expected.origins[index].version, actual->origins[index].version);
    CPPUNIT_ASSERT_EQUAL(expected.origins[index].pool.value, actual->origins[index].pool.value);
  }
}

/// A record with one version and one origin, of the version at `index`.
std::string record_with_index(std::uint32_t format, std::uint32_t index) {
  constexpr std::size_t fields = 4;
  field_writer out;
  out.array(fields);
  out.put(format);
  out.put(milliseconds{81'000});
  out.array(1);
  out.put(std::string("v1"));
  out.array(2);
  out.put(std::uint64_t{7});
  out.put(index);
  return out.text();
}

std::string version_of_format(std::uint32_t format) {
  constexpr std::size_t fields = 3;
  field_writer out;
  out.array(fields);
  out.put(format);
  out.put(pool_id{"engines"});
  out.put(std::string("v2"));
  return out.text();
}

/// Changes one byte and cuts off a part, which may be nothing.
std::string damage(std::string bytes) {
  bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
      static_cast<char>(*rc::gen::arbitrary<std::uint8_t>());
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  return bytes;
}

}  // namespace

class stream_origins_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_origins_codec_test);
  CPPUNIT_TEST(record_of_several_versions_survives_a_round_trip);
  CPPUNIT_TEST(empty_record_survives_a_round_trip);
  CPPUNIT_TEST(largest_record_is_not_refused_by_the_limits_of_the_reader);
  CPPUNIT_TEST(pool_version_survives_a_round_trip);
  CPPUNIT_TEST(row_of_another_format_is_not_misread);
  CPPUNIT_TEST(origin_without_a_listed_version_is_not_misread);
  CPPUNIT_TEST(origin_without_a_listed_pool_is_not_misread);
  CPPUNIT_TEST(corrupt_bytes_are_handled);
  CPPUNIT_TEST(huge_declared_sizes_are_refused);
  CPPUNIT_TEST(rows_of_other_builds_stay_readable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void record_of_several_versions_survives_a_round_trip() {
    assert_same(sample_record(), decode_origins(encode_origins(sample_record())));
  }

  void empty_record_survives_a_round_trip() {
    const origins_record empty{milliseconds{5}, {}};
    assert_same(empty, decode_origins(encode_origins(empty)));
  }

  /// Otherwise the streams of a busy gateway would be lost, and only those.
  void largest_record_is_not_refused_by_the_limits_of_the_reader() {
    origins_record record{milliseconds{81'000}, {}};
    for (std::uint64_t index = 0; index < max_recorded_origins; ++index) {
      record.origins.push_back(
          {~index, "v" + std::to_string(index), pool_id{"pool-" + std::to_string(index)}});
    }
    assert_same(record, decode_origins(encode_origins(record)));
  }

  void pool_version_survives_a_round_trip() {
    const auto decoded = decode_pool_version(encode_pool_version(sample_version()));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(sample_version().pool == decoded->pool);
    CPPUNIT_ASSERT_EQUAL(sample_version().version, decoded->version);
  }

  void row_of_another_format_is_not_misread() {
    CPPUNIT_ASSERT(decode_origins(record_with_index(present_format, 0)).has_value());
    CPPUNIT_ASSERT(decode_pool_version(version_of_format(present_format)).has_value());
    for (const std::uint32_t format : {present_format - 1, next_format}) {
      CPPUNIT_ASSERT(!decode_origins(record_with_index(format, 0)).has_value());
      CPPUNIT_ASSERT(!decode_pool_version(version_of_format(format)).has_value());
    }
  }

  void origin_without_a_listed_version_is_not_misread() {
    for (const std::uint32_t index : {1U, 2U, ~0U}) {
      CPPUNIT_ASSERT(!decode_origins(record_with_index(present_format, index)).has_value());
    }
  }

  void corrupt_bytes_are_handled() {
    check_property("damaged records are read or refused",
                   [] { decode_origins(damage(encode_origins(sample_record()))); });
    check_property("damaged versions are read or refused",
                   [] { decode_pool_version(damage(encode_pool_version(sample_version()))); });
    for (const std::string_view bytes : {"", "\xc0", "no row"}) {
      CPPUNIT_ASSERT(!decode_origins(bytes).has_value());
      CPPUNIT_ASSERT(!decode_pool_version(bytes).has_value());
    }
  }

  /// Four thousand million versions, origins, or bytes of a version.
  void huge_declared_sizes_are_refused() {
    for (const std::string_view text :
         {"940105ddffffffff", "94010590ddffffffff", "94010591dbffffffff"}) {
      CPPUNIT_ASSERT(!decode_origins(from_hex(text)).has_value());
    }
    CPPUNIT_ASSERT(!decode_pool_version(from_hex("9301dbffffffff")).has_value());
  }

  /// The pools name a place that the list does not have, or fewer places than origins.
  void origin_without_a_listed_pool_is_not_misread() {
    const std::string head = "96010591a2763192070091a36f6e65";
    CPPUNIT_ASSERT(decode_origins(from_hex(head + "9100")).has_value());
    CPPUNIT_ASSERT(!decode_origins(from_hex(head + "9101")).has_value());
    CPPUNIT_ASSERT(!decode_origins(from_hex(head + "90")).has_value());
  }

  /// While a release of the gateways is under way, each build reads the rows of the other.
  void rows_of_other_builds_stay_readable() {
    CPPUNIT_ASSERT_EQUAL(std::string(record_in_hex), to_hex(encode_origins(sample_record())));
    assert_same(sample_record(), decode_origins(from_hex(record_in_hex)));
    origins_record without_pools = sample_record();
    for (gateway::stream_origin& origin : without_pools.origins) {
      origin.pool = {};
    }
    assert_same(without_pools, decode_origins(from_hex(record_without_pools_in_hex)));
    // Builds that do not know of pools read the fields before them, behind the count of fields.
    constexpr std::size_t count_digits = 2;
    CPPUNIT_ASSERT(record_in_hex.substr(count_digits)
                       .starts_with(record_without_pools_in_hex.substr(count_digits)));
    CPPUNIT_ASSERT_EQUAL(std::string(version_in_hex),
                         to_hex(encode_pool_version(sample_version())));
    const auto version = decode_pool_version(from_hex(version_in_hex));
    CPPUNIT_ASSERT(version.has_value());
    CPPUNIT_ASSERT(sample_version().pool == version->pool);
    CPPUNIT_ASSERT_EQUAL(sample_version().version, version->version);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_origins_codec_test);

}  // namespace chestnuthead::traffic
