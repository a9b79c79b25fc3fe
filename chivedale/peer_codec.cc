// Writer and Reader visit the same field lists (peer_fields.h), so their order
// cannot differ. Reader checks the type of each value itself, because the
// conversions of msgpack accept more than the protocol allows.
#include "chivedale/peer_codec.h"

#include <array>
#include <cmath>
#include <limits>
#include <msgpack.hpp>
#include <type_traits>
#include <utility>

#include "chivedale/peer_fields.h"

namespace chivedale {
namespace {

// Limit of nested arrays and maps; messages contain lists of structs of
// structs.
constexpr size_t kMaxDepth = 8;
constexpr size_t kHeaderFields = 2;

template <typename T>
using EnableEnum = std::enable_if_t<std::is_enum_v<T>, int>;
template <typename T>
using EnableInteger =
    std::enable_if_t<std::is_integral_v<T> && !std::is_same_v<T, bool>, int>;

[[noreturn]] void FailTooLong(size_t length, size_t bound) {
  throw PeerCodecError(CodecFault::kTooLong,
                       "length " + std::to_string(length) +
                           " exceeds the limit of " + std::to_string(bound));
}

void CheckLength(size_t length, size_t bound) {
  if (length > bound) {
    FailTooLong(length, bound);
  }
}

bool IsInRange(int64_t value, int64_t limit) {
  return value >= -limit && value <= limit;
}

void CheckRange(int64_t value, int64_t limit) {
  if (!IsInRange(value, limit)) {
    throw PeerCodecError(CodecFault::kTooLong,
                         std::to_string(value) + " is out of range");
  }
}

template <typename T>
constexpr void AssertAllFieldsListed() {
  static_assert(ListsAllFields<T>(),
                "peer_fields.h must list each member of the struct once");
}

// TableData::json is the only string field that may exceed kMaxTextBytes.
template <typename T>
constexpr size_t MaxStringBytes() {
  return std::is_same_v<T, TableData> ? kMaxBodyBytes : kMaxTextBytes;
}

class StringSink {
 public:
  explicit StringSink(std::string& out) : out_(out) {}
  void write(const char* data, size_t size) { out_.append(data, size); }

 private:
  std::string& out_;
};

class Writer {
 public:
  explicit Writer(std::string& out) : sink_(out), packer_(sink_) {}

  template <typename T>
  void WriteMessage(size_t type, const T& message) {
    max_text_ = MaxStringBytes<T>();
    HeaderVisitor visitor{*this, type};
    FieldsOf<T>::Visit(visitor, message);
  }

  template <typename... Fields>
  void operator()(const Fields&... fields) {
    packer_.pack_array(sizeof...(fields));
    (Write(fields), ...);
  }

 private:
  struct HeaderVisitor {
    Writer& writer;
    size_t type;
    template <typename... Fields>
    void operator()(const Fields&... fields) {
      writer.packer_.pack_array(kHeaderFields + sizeof...(fields));
      writer.packer_.pack_uint64(type);
      writer.packer_.pack_uint32(kPeerProtocol);
      (writer.Write(fields), ...);
    }
  };

  void Write(bool value) { packer_.pack(value); }
  void Write(double value) { packer_.pack_double(value); }
  template <typename T, EnableInteger<T> = 0>
  void Write(T value) {
    if constexpr (std::is_signed_v<T>) {
      CheckRange(value, kMaxMessageNumber);
    }
    packer_.pack(value);
  }
  template <typename T, EnableEnum<T> = 0>
  void Write(T value) {
    packer_.pack_int32(static_cast<int32_t>(value));
  }
  void Write(Millis value) {
    CheckRange(value.count(), kMaxMessageDuration.count());
    packer_.pack_int64(value.count());
  }
  void Write(const std::string& value) {
    CheckLength(value.size(), max_text_);
    packer_.pack_str(static_cast<uint32_t>(value.size()));
    packer_.pack_str_body(value.data(), static_cast<uint32_t>(value.size()));
  }
  template <typename Tag>
  void Write(const Id<Tag>& value) {
    CheckLength(value.str().size(), kMaxIdBytes);
    Write(value.str());
  }
  void Write(const Body& value) {
    if (value == nullptr) {
      packer_.pack_nil();
      return;
    }
    CheckLength(value->size(), kMaxBodyBytes);
    packer_.pack_bin(static_cast<uint32_t>(value->size()));
    packer_.pack_bin_body(value->data(), static_cast<uint32_t>(value->size()));
  }
  template <typename T>
  void Write(const std::optional<T>& value) {
    if (value) {
      Write(*value);
    } else {
      packer_.pack_nil();
    }
  }
  template <typename T>
  void Write(const std::vector<T>& values) {
    CheckLength(values.size(), kMaxListLength);
    packer_.pack_array(static_cast<uint32_t>(values.size()));
    for (const T& value : values) {
      Write(value);
    }
  }
  template <typename T>
  void Write(const std::map<std::string, T>& values) {
    CheckLength(values.size(), kMaxListLength);
    packer_.pack_map(static_cast<uint32_t>(values.size()));
    for (const auto& [key, value] : values) {
      Write(key);
      Write(value);
    }
  }
  template <typename T, typename = decltype(FieldsOf<T>::kName)>
  void Write(const T& value) {
    FieldsOf<T>::Visit(*this, value);
  }

  StringSink sink_;
  msgpack::packer<StringSink> packer_;
  size_t max_text_ = kMaxTextBytes;
};

// Reads the fields of a struct from an array, after the first `skip` elements.
class Reader {
 public:
  using Object = msgpack::object;

  Reader(const Object& object,
         std::string_view name,
         size_t skip,
         size_t max_text)
      : object_(object), name_(name), skip_(skip), max_text_(max_text) {}

  template <typename... Fields>
  void operator()(Fields&... fields) {
    if (object_.type != msgpack::type::ARRAY) {
      FailType("an array");
    }
    if (object_.via.array.size < skip_ + sizeof...(fields)) {
      throw PeerCodecError(CodecFault::kMissingField,
                           std::string(name_) + " has " +
                               std::to_string(object_.via.array.size - skip_) +
                               " of " + std::to_string(sizeof...(fields)) +
                               " fields");
    }
    const Object* next = object_.via.array.ptr + skip_;
    (Read(*next++, fields), ...);
  }

 private:
  [[noreturn]] void FailType(const char* expected) const {
    throw PeerCodecError(
        CodecFault::kWrongType,
        std::string(name_) + " contains a value that is not " + expected);
  }

  void Read(const Object& object, bool& value) const {
    if (object.type != msgpack::type::BOOLEAN) {
      FailType("a boolean");
    }
    value = object.via.boolean;
  }
  void Read(const Object& object, double& value) const {
    // msgpack encodes a floating-point value without a fraction as an integer.
    switch (object.type) {
      case msgpack::type::POSITIVE_INTEGER:
        value = static_cast<double>(object.via.u64);
        return;
      case msgpack::type::NEGATIVE_INTEGER:
        value = static_cast<double>(object.via.i64);
        return;
      case msgpack::type::FLOAT32:
      case msgpack::type::FLOAT64:
        value = object.via.f64;
        if (std::isfinite(value)) {
          return;
        }
        [[fallthrough]];
      default:
        FailType("a finite number");
    }
  }
  template <typename T, EnableInteger<T> = 0>
  void Read(const Object& object, T& value) const {
    using Limits = std::numeric_limits<T>;
    if (object.type == msgpack::type::POSITIVE_INTEGER &&
        object.via.u64 <= static_cast<uint64_t>(Limits::max())) {
      value = static_cast<T>(object.via.u64);
    } else if (object.type == msgpack::type::NEGATIVE_INTEGER &&
               std::is_signed_v<T> &&
               object.via.i64 >= static_cast<int64_t>(Limits::min())) {
      value = static_cast<T>(object.via.i64);
    } else {
      FailType("an integer in range");
    }
    if constexpr (std::is_signed_v<T>) {
      if (!IsInRange(value, kMaxMessageNumber)) {
        FailType("an integer in range");
      }
    }
  }
  template <typename T, EnableEnum<T> = 0>
  void Read(const Object& object, T& value) const {
    uint32_t number = 0;
    Read(object, number);
    if (number > static_cast<uint32_t>(LastEnumValue<T>::kValue)) {
      FailType("a known enumeration value");
    }
    value = static_cast<T>(number);
  }
  void Read(const Object& object, Millis& value) const {
    int64_t count = 0;
    Read(object, count);
    if (!IsInRange(count, kMaxMessageDuration.count())) {
      FailType("a duration in range");
    }
    value = Millis(count);
  }
  void Read(const Object& object, std::string& value) const {
    if (object.type != msgpack::type::STR) {
      FailType("a string");
    }
    CheckLength(object.via.str.size, max_text_);
    value.assign(object.via.str.ptr, object.via.str.size);
  }
  template <typename Tag>
  void Read(const Object& object, Id<Tag>& value) const {
    std::string text;
    Read(object, text);
    CheckLength(text.size(), kMaxIdBytes);
    value = Id<Tag>(std::move(text));
  }
  void Read(const Object& object, Body& value) const {
    if (object.type == msgpack::type::NIL) {
      value = nullptr;
      return;
    }
    if (object.type != msgpack::type::BIN) {
      FailType("binary");
    }
    CheckLength(object.via.bin.size, kMaxBodyBytes);
    value = std::make_shared<const std::string>(object.via.bin.ptr,
                                                object.via.bin.size);
  }
  template <typename T>
  void Read(const Object& object, std::optional<T>& value) const {
    if (object.type == msgpack::type::NIL) {
      value.reset();
      return;
    }
    Read(object, value.emplace());
  }
  template <typename T>
  void Read(const Object& object, std::vector<T>& values) const {
    if (object.type != msgpack::type::ARRAY) {
      FailType("a list");
    }
    CheckLength(object.via.array.size, kMaxListLength);
    values.resize(object.via.array.size);
    for (size_t i = 0; i < values.size(); ++i) {
      Read(object.via.array.ptr[i], values[i]);
    }
  }
  template <typename T>
  void Read(const Object& object, std::map<std::string, T>& values) const {
    if (object.type != msgpack::type::MAP) {
      FailType("a map");
    }
    CheckLength(object.via.map.size, kMaxListLength);
    for (size_t i = 0; i < object.via.map.size; ++i) {
      std::string key;
      Read(object.via.map.ptr[i].key, key);
      CheckLength(key.size(), kMaxTextBytes);
      Read(object.via.map.ptr[i].val, values[key]);
    }
    if (values.size() != object.via.map.size) {
      FailType("a map with distinct keys");
    }
  }
  template <typename T, typename = decltype(FieldsOf<T>::kName)>
  void Read(const Object& object, T& value) const {
    AssertAllFieldsListed<T>();
    Reader reader(object, FieldsOf<T>::kName, 0, kMaxTextBytes);
    FieldsOf<T>::Visit(reader, value);
  }

  const Object& object_;
  std::string_view name_;
  size_t skip_;
  size_t max_text_;
};

template <typename T>
Message ReadMessage(const msgpack::object& object) {
  AssertAllFieldsListed<T>();
  T message;
  Reader reader(object, FieldsOf<T>::kName, kHeaderFields, MaxStringBytes<T>());
  FieldsOf<T>::Visit(reader, message);
  return message;
}

using ReadFunction = Message (*)(const msgpack::object&);

template <size_t... I>
constexpr auto MakeReaders(std::index_sequence<I...>) {
  return std::array<ReadFunction, sizeof...(I)>{
      &ReadMessage<std::variant_alternative_t<I, Message>>...};
}

// The type number of a message is its index in Message plus one.
constexpr auto kReaders =
    MakeReaders(std::make_index_sequence<std::variant_size_v<Message>>());

uint64_t ReadHeaderNumber(const msgpack::object& object) {
  if (object.type != msgpack::type::POSITIVE_INTEGER) {
    throw PeerCodecError(
        CodecFault::kWrongType,
        "type and protocol version must be non-negative integers");
  }
  return object.via.u64;
}

msgpack::object_handle Unpack(std::string_view frame) {
  const msgpack::unpack_limit limit(kMaxListLength, kMaxListLength,
                                    kMaxBodyBytes, kMaxBodyBytes, 0, kMaxDepth);
  size_t offset = 0;
  msgpack::object_handle handle;
  try {
    // Strings refer to `frame`; the readers copy them.
    handle = msgpack::unpack(
        frame.data(), frame.size(), offset,
        [](msgpack::type::object_type, size_t, void*) { return true; }, nullptr,
        limit);
  } catch (const msgpack::size_overflow& error) {
    throw PeerCodecError(CodecFault::kTooLong, error.what());
  } catch (const msgpack::unpack_error& error) {
    throw PeerCodecError(CodecFault::kMalformed, error.what());
  }
  if (offset != frame.size()) {
    throw PeerCodecError(CodecFault::kMalformed,
                         "trailing bytes after the message");
  }
  return handle;
}

// Sums the sizes of the fields; an initial constant covers the overhead.
struct SizeEstimate {
  size_t bytes = 64;

  template <typename... Fields>
  void operator()(const Fields&... fields) {
    (Add(fields), ...);
  }
  template <typename T>
  void Add(const T& value) {
    if constexpr (std::is_same_v<T, std::string>) {
      bytes += value.size() + 5;
    } else if constexpr (std::is_same_v<T, Body>) {
      bytes += value == nullptr ? 1 : value->size() + 5;
    } else if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T> ||
                         std::is_same_v<T, Millis>) {
      bytes += 5;
    } else {
      AddOther(value);
    }
  }
  template <typename Tag>
  void AddOther(const Id<Tag>& value) {
    bytes += value.str().size() + 3;
  }
  template <typename T>
  void AddOther(const std::optional<T>& value) {
    if (value) {
      Add(*value);
    }
  }
  template <typename T>
  void AddOther(const std::vector<T>& values) {
    for (const T& value : values) {
      Add(value);
    }
  }
  template <typename T>
  void AddOther(const std::map<std::string, T>& values) {
    for (const auto& [key, value] : values) {
      Add(key);
      Add(value);
    }
  }
  template <typename T, typename = decltype(FieldsOf<T>::kName)>
  void AddOther(const T& value) {
    FieldsOf<T>::Visit(*this, value);
  }
};

}  // namespace

std::string_view CodecFaultName(CodecFault fault) {
  static constexpr std::string_view kNames[] = {
      "malformed",     "unknown_type", "wrong_version",
      "missing_field", "wrong_type",   "too_long"};
  return kNames[static_cast<size_t>(fault)];
}

std::string EncodeMessage(const Message& message) {
  std::string frame;
  frame.reserve(EstimateFrameBytes(message));
  Writer writer(frame);
  std::visit(
      [&](const auto& m) { writer.WriteMessage(message.index() + 1, m); },
      message);
  CheckLength(frame.size(), kMaxFrameBytes);
  return frame;
}

Message DecodeMessage(std::string_view frame) {
  CheckLength(frame.size(), kMaxFrameBytes);
  const msgpack::object_handle handle = Unpack(frame);
  const msgpack::object& root = handle.get();
  if (root.type != msgpack::type::ARRAY) {
    throw PeerCodecError(CodecFault::kWrongType, "the frame is not an array");
  }
  if (root.via.array.size < kHeaderFields) {
    throw PeerCodecError(CodecFault::kMissingField,
                         "the frame has no type or protocol version");
  }
  const uint64_t type = ReadHeaderNumber(root.via.array.ptr[0]);
  const uint64_t protocol = ReadHeaderNumber(root.via.array.ptr[1]);
  if (protocol != kPeerProtocol) {
    throw PeerCodecError(CodecFault::kWrongVersion,
                         "unsupported protocol version " +
                             std::to_string(protocol) + ", expected " +
                             std::to_string(kPeerProtocol));
  }
  if (type == 0 || type > kReaders.size()) {
    throw PeerCodecError(CodecFault::kUnknownType,
                         "unknown message type " + std::to_string(type));
  }
  return kReaders[type - 1](root);
}

size_t EstimateFrameBytes(const Message& message) {
  SizeEstimate estimate;
  std::visit([&](const auto& m) { estimate.Add(m); }, message);
  return estimate.bytes;
}

std::string_view MessageName(const Message& message) {
  return std::visit(
      [](const auto& m) { return FieldsOf<std::decay_t<decltype(m)>>::kName; },
      message);
}

}  // namespace chivedale
