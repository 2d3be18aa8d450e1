#include "Net/peer_codec.h"

#include <memory>
#include <type_traits>
#include <utility>

#include "Net/msgpack_fields.h"
#include "Net/peer_fields.h"

namespace chestnuthead {

namespace {

constexpr std::size_t length_bytes = 4;

/// Unpack limits, which protect against messages that would need much memory or
/// a deep stack.
const msgpack::unpack_limit limits(/* array */ 65'536, /* map */ 0, /* str */ 4U << 20U,
                                   /* bin */ 20U << 20U, /* ext */ 0, /* depth */ 8);

template <class Frame>
attempt_frame get_frame_as(field_reader in) {
  Frame frame;
  get(in, frame);
  return frame;
}

/// Reads a frame of the alternative `index` of `attempt_frame`.
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

/// Encodes a message, preceded by the timestamp.
template <class Message>
std::string encode(const Message& message, const hybrid_time& now) {
  field_writer out;
  out.array(3);
  put(out, now);
  put(out, message);
  return out.text();
}

/// Unpacks `bytes` and calls `read` on the object. Converts any exception into
/// a `codec_fault`.
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
    return codec_fault{"the header is truncated"};
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
