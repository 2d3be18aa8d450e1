#include "Net/peer_codec.h"

#include <memory>
#include <type_traits>
#include <utility>

#include "Net/msgpack_fields.h"

namespace chestnuthead {

namespace {

constexpr std::size_t length_bytes = 4;

/// Limits against messages that would take much memory or a deep stack.
const msgpack::unpack_limit limits(/* array */ 65'536, /* map */ 0, /* str */ 4U << 20U,
                                   /* bin */ 20U << 20U, /* ext */ 0, /* depth */ 8);

void put(field_writer& out, const hybrid_time& time) {
  out.put(time.wall);
  out.put(time.counter);
}

void get(field_reader& in, hybrid_time& time) {
  in.get(time.wall);
  in.get(time.counter);
}

void put(field_writer& out, const load_report& load) {
  out.array(6);
  out.put(load.in_flight);
  out.put(load.limit);
  out.put(load.pool_mean);
  out.put(load.resident_tokens);
  out.put(load.configuration_version);
  out.put(load.leaving);
}

void get(field_reader in, load_report& load) {
  in.get(load.in_flight);
  in.get(load.limit);
  in.get(load.pool_mean);
  in.get(load.resident_tokens);
  in.get(load.configuration_version);
  in.get(load.leaving);
}

void put(field_writer& out, const request_facts& facts) {
  out.array(11);
  out.put(facts.request);
  out.put(facts.customer);
  out.put(facts.pool);
  out.put(facts.chat);
  out.put(facts.importance);
  out.put(facts.rule);
  out.put(facts.key);
  out.put(facts.fingerprint);
  out.put(facts.prompt_tokens);
  out.put(facts.answer_tokens);
  out.put(facts.returning);
}

void get(field_reader in, request_facts& facts) {
  in.get(facts.request);
  in.get(facts.customer);
  in.get(facts.pool);
  in.get(facts.chat);
  in.get(facts.importance, request_class::long_plan);
  in.get(facts.rule, execution_rule::at_most_once);
  in.get(facts.key);
  in.get(facts.fingerprint);
  in.get(facts.prompt_tokens);
  in.get(facts.answer_tokens);
  in.get(facts.returning);
}

void put(field_writer& out, const attempt_terms& terms) {
  out.array(4);
  out.put(terms.only_if_resident);
  out.put(terms.ignore_mean);
  out.put(terms.resume_offset);
  out.put(terms.earlier_attempts);
}

void get(field_reader in, attempt_terms& terms) {
  in.get(terms.only_if_resident);
  in.get(terms.ignore_mean);
  in.get(terms.resume_offset);
  in.get(terms.earlier_attempts);
}

void put(field_writer& out, const attempt_message& message) {
  out.array(9);
  put(out, message.facts);
  out.put(message.attempt);
  put(out, message.terms);
  out.put(message.router);
  out.put(message.time_left);
  out.put(message.configuration_version);
  out.put(message.method);
  out.put(message.path);
  out.put(message.content_type);
}

void get(field_reader in, attempt_message& message) {
  get(in.array(), message.facts);
  in.get(message.attempt);
  get(in.array(), message.terms);
  in.get(message.router);
  in.get(message.time_left);
  in.get(message.configuration_version);
  in.get(message.method);
  in.get(message.path);
  in.get(message.content_type);
}

void put(field_writer& out, const probe_message& message) {
  out.array(3);
  out.put(message.request);
  out.put(message.router);
  out.put(message.chat);
}

void get(field_reader in, probe_message& message) {
  in.get(message.request);
  in.get(message.router);
  in.get(message.chat);
}

void put(field_writer& out, const rumor& news) {
  out.array(6);
  out.put(news.kind);
  out.put(news.origin);
  out.put(news.sequence);
  out.put(news.subject);
  out.put(news.detail);
  out.put(news.age);
}

void get(field_reader in, rumor& news) {
  in.get(news.kind, rumor_kind::request_crashed);
  in.get(news.origin);
  in.get(news.sequence);
  in.get(news.subject);
  in.get(news.detail);
  in.get(news.age);
}

void put(field_writer& out, const load_entry& entry) {
  out.array(4);
  out.put(entry.endpoint);
  out.put(entry.in_flight);
  out.put(entry.limit);
  out.put(entry.age);
}

void get(field_reader in, load_entry& entry) {
  in.get(entry.endpoint);
  in.get(entry.in_flight);
  in.get(entry.limit);
  in.get(entry.age);
}

void put(field_writer& out, const configuration_change& change) {
  out.array(5);
  out.put(change.version);
  out.put(change.whole);
  out.put(change.text);
  out.put(change.base_version);
  out.put(change.checksum);
}

void get(field_reader in, configuration_change& change) {
  in.get(change.version);
  in.get(change.whole);
  in.get(change.text);
  in.get(change.base_version);
  in.get(change.checksum);
}

template <class Entry>
void put_list(field_writer& out, const std::vector<Entry>& entries) {
  out.array(entries.size());
  for (const Entry& entry : entries) {
    put(out, entry);
  }
}

template <class Entry>
void get_list(field_reader in, std::vector<Entry>& entries) {
  while (!in.at_end()) {
    get(in.array(), entries.emplace_back());
  }
}

void put(field_writer& out, const gossip_message& message) {
  out.array(7);
  out.put(message.from);
  out.put(message.configuration_version);
  out.put(message.wants_reply);
  put_list(out, message.rumors);
  put_list(out, message.loads);
  put_list(out, message.changes);
  out.put(message.wants_all);
}

void get(field_reader in, gossip_message& message) {
  in.get(message.from);
  in.get(message.configuration_version);
  in.get(message.wants_reply);
  get_list(in.array(), message.rumors);
  get_list(in.array(), message.loads);
  get_list(in.array(), message.changes);
  in.get(message.wants_all);
}

void put(field_writer& out, const accepted_frame& frame) {
  out.array(3);
  out.put(frame.request);
  out.put(frame.attempt);
  put(out, frame.load);
}

void get(field_reader in, accepted_frame& frame) {
  in.get(frame.request);
  in.get(frame.attempt);
  get(in.array(), frame.load);
}

void put(field_writer& out, const refused_frame& frame) {
  out.array(5);
  out.put(frame.request);
  out.put(frame.attempt);
  out.put(frame.why);
  out.put(frame.come_back);
  put(out, frame.load);
}

void get(field_reader in, refused_frame& frame) {
  in.get(frame.request);
  in.get(frame.attempt);
  in.get(frame.why, refusal_kind::key_in_progress);
  in.get(frame.come_back);
  get(in.array(), frame.load);
}

void put(field_writer& out, const answer_head& frame) {
  out.array(6);
  out.put(frame.request);
  out.put(frame.attempt);
  out.put(frame.status);
  out.put(frame.content_type);
  out.put(frame.offset);
  out.put(frame.checksum_before);
}

void get(field_reader in, answer_head& frame) {
  in.get(frame.request);
  in.get(frame.attempt);
  in.get(frame.status);
  in.get(frame.content_type);
  in.get(frame.offset);
  in.get(frame.checksum_before);
  constexpr int lowest_status = 100;
  constexpr int highest_status = 999;
  if (frame.status < lowest_status || frame.status > highest_status) {
    throw msgpack::type_error();
  }
}

void put(field_writer& out, const answer_chunk& frame) {
  out.array(4);
  out.put(frame.request);
  out.put(frame.attempt);
  out.put(frame.offset);
  out.put_bytes(frame.bytes);
}

void get(field_reader in, answer_chunk& frame) {
  in.get(frame.request);
  in.get(frame.attempt);
  in.get(frame.offset);
  in.get(frame.bytes);
}

void put(field_writer& out, const answer_tail& frame) {
  out.array(4);
  out.put(frame.request);
  out.put(frame.attempt);
  out.put(frame.length);
  out.put(frame.checksum);
}

void get(field_reader in, answer_tail& frame) {
  in.get(frame.request);
  in.get(frame.attempt);
  in.get(frame.length);
  in.get(frame.checksum);
}

void put(field_writer& out, const ended_frame& frame) {
  out.array(4);
  out.put(frame.request);
  out.put(frame.attempt);
  out.put(frame.outcome);
  put(out, frame.load);
}

void get(field_reader in, ended_frame& frame) {
  in.get(frame.request);
  in.get(frame.attempt);
  in.get(frame.outcome, attempt_outcome::outcome_unknown);
  get(in.array(), frame.load);
}

template <class Frame>
attempt_frame get_frame_as(field_reader in) {
  Frame frame;
  get(in, frame);
  return frame;
}

/// Reads a frame of the kind that is at `index` in `attempt_frame`.
attempt_frame get_frame(std::size_t index, field_reader in) {
  switch (index) {
    case 0:
      return get_frame_as<accepted_frame>(in);
    case 1:
      return get_frame_as<refused_frame>(in);
    case 2:
      return get_frame_as<answer_head>(in);
    case 3:
      return get_frame_as<answer_chunk>(in);
    case 4:
      return get_frame_as<answer_tail>(in);
    case 5:
      return get_frame_as<ended_frame>(in);
    default:
      throw msgpack::type_error();
  }
}

void put_length(std::string& out, std::size_t length) {
  constexpr unsigned bits_per_byte = 8;
  for (unsigned shift = bits_per_byte * length_bytes; shift > 0;) {
    shift -= bits_per_byte;
    out.push_back(static_cast<char>((length >> shift) & 0xFFU));
  }
}

std::optional<std::size_t> get_length(std::string_view bytes) {
  if (bytes.size() < length_bytes) {
    return std::nullopt;
  }
  std::size_t length = 0;
  for (std::size_t index = 0; index < length_bytes; ++index) {
    length = (length << 8U) | static_cast<unsigned char>(bytes[index]);
  }
  return length;
}

/// Writes a message with the clock's reading before it.
template <class Message>
std::string encode(const Message& message, const hybrid_time& now) {
  field_writer out;
  out.array(3);
  put(out, now);
  put(out, message);
  return out.text();
}

/// Calls `read` on the unpacked object; a fault of any kind ends here.
template <class Result, class Read>
std::variant<Result, codec_fault> unpack(std::string_view bytes, Read read) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limits);
    return read(handle.get());
  } catch (const std::exception& fault) {
    return codec_fault{fault.what()};
  }
}

template <class Message>
decoded<Message> decode(std::string_view bytes) {
  return unpack<stamped<Message>>(bytes, [](const msgpack::object& object) {
    stamped<Message> result;
    field_reader in(object);
    get(in, result.sent);
    get(in.array(), result.message);
    return result;
  });
}

}  // namespace

std::string encode_attempt(const attempt_message& message, const hybrid_time& now) {
  const std::string header = encode(message, now);
  std::string out;
  out.reserve(length_bytes + header.size() + message.body->size());
  put_length(out, header.size());
  return out.append(header).append(*message.body);
}

decoded<attempt_message> decode_attempt(std::string_view bytes) {
  const std::optional<std::size_t> header_size = get_length(bytes);
  if (!header_size.has_value() || *header_size > bytes.size() - length_bytes) {
    return codec_fault{"the header is cut short"};
  }
  decoded<attempt_message> result =
      decode<attempt_message>(bytes.substr(length_bytes, *header_size));
  if (auto* good = std::get_if<stamped<attempt_message>>(&result)) {
    good->message.body =
        std::make_shared<const std::string>(bytes.substr(length_bytes + *header_size));
  }
  return result;
}

std::string encode_probe(const probe_message& message, const hybrid_time& now) {
  return encode(message, now);
}

decoded<probe_message> decode_probe(std::string_view bytes) {
  return decode<probe_message>(bytes);
}

std::string encode_load(const load_report& message, const hybrid_time& now) {
  return encode(message, now);
}

decoded<load_report> decode_load(std::string_view bytes) {
  return decode<load_report>(bytes);
}

std::string encode_gossip(const gossip_message& message, const hybrid_time& now) {
  return encode(message, now);
}

decoded<gossip_message> decode_gossip(std::string_view bytes) {
  return decode<gossip_message>(bytes);
}

std::string encode_frame(const attempt_frame& frame, const hybrid_time& now) {
  field_writer out;
  out.array(4);
  put(out, now);
  out.put(static_cast<std::uint8_t>(frame.index()));
  std::visit([&out](const auto& body) { put(out, body); }, frame);
  const std::string body = out.text();
  std::string framed;
  framed.reserve(length_bytes + body.size());
  put_length(framed, body.size());
  return framed.append(body);
}

decoded<attempt_frame> decode_frame(std::string_view bytes) {
  return unpack<stamped<attempt_frame>>(bytes, [](const msgpack::object& object) {
    stamped<attempt_frame> result;
    field_reader in(object);
    get(in, result.sent);
    std::uint8_t index = 0;
    in.get(index);
    result.message = get_frame(index, in.array());
    return result;
  });
}

bool frame_splitter::feed(std::string_view bytes) {
  if (this->start > 0) {
    this->buffer.erase(0, this->start);
    this->start = 0;
  }
  this->buffer.append(bytes);
  const std::optional<std::size_t> length = this->next_length();
  return !length.has_value() || *length <= frame_limit_bytes;
}

std::optional<std::size_t> frame_splitter::next_length() const {
  return get_length(std::string_view(this->buffer).substr(this->start));
}

std::optional<std::string> frame_splitter::next() {
  const std::optional<std::size_t> length = this->next_length();
  if (!length.has_value() || this->buffer.size() - this->start - length_bytes < *length) {
    return std::nullopt;
  }
  std::string frame = this->buffer.substr(this->start + length_bytes, *length);
  this->start += length_bytes + *length;
  return frame;
}

bool frame_splitter::empty() const {
  return this->start == this->buffer.size();
}

std::string pack_stored_answer(const stored_answer_parts& parts) {
  field_writer out;
  out.array(3);
  out.put(parts.status);
  out.put(parts.content_type);
  out.put_bytes(parts.body);
  return out.text();
}

std::optional<stored_answer_parts> unpack_stored_answer(std::string_view bytes) {
  auto result = unpack<stored_answer_parts>(bytes, [](const msgpack::object& object) {
    stored_answer_parts parts;
    field_reader in(object);
    in.get(parts.status);
    in.get(parts.content_type);
    in.get(parts.body);
    return parts;
  });
  if (auto* parts = std::get_if<stored_answer_parts>(&result)) {
    return std::move(*parts);
  }
  return std::nullopt;
}

}  // namespace chestnuthead
