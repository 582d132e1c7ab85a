// A single list of members per struct serves both directions: serialize(archive, value) passes the
// members in order to the archive, which is a Writer when encoding and a Reader when decoding.
#include "wire/Codec.h"

#include "base/BoundedText.h"
#include "base/JsonReader.h"

#include <concepts>
#include <optional>
#include <stdexcept>

namespace tamarack::wire {

namespace {

using Json = nlohmann::json;

/// The maximum number of elements in a list. Frames with a longer list are rejected.
constexpr size_t kMaxListLength = 70'000;
/// The greatest time, in milliseconds: about 285,000 years.
constexpr int64_t kMaxMillis = int64_t{ 1 } << 53;

template<typename Archive>
void
serialize(Archive& aArchive, auto& aValue);

/// An archive that appends each value to a JSON array.
class Writer
{
public:
  Json take() { return std::move(m_array); }

  void element(bool aValue) { m_array.push_back(aValue ? 1 : 0); }
  void element(uint16_t aValue) { m_array.push_back(aValue); }
  void element(uint32_t aValue) { m_array.push_back(aValue); }
  void element(uint64_t aValue) { m_array.push_back(aValue); }
  void element(const std::string& aValue) { m_array.push_back(aValue); }
  void element(TimePoint aValue) { m_array.push_back(aValue.time_since_epoch().count()); }
  void element(Millis aValue) { m_array.push_back(aValue.count()); }

  template<typename Tag, typename Number>
  void element(StrongId<Tag, Number> aValue)
  {
    m_array.push_back(aValue.m_value);
  }

  template<typename Enum>
  requires std::is_enum_v<Enum>
  void element(Enum aValue) { m_array.push_back(static_cast<uint32_t>(aValue)); }

  template<typename Item>
  void element(const std::vector<Item>& aItems)
  {
    Writer inner;
    for (const Item& entry : aItems) {
      inner.element(entry);
    }
    m_array.push_back(inner.take());
  }

  template<typename Struct>
  requires std::is_class_v<Struct>
  void element(const Struct& aStruct)
  {
    Writer inner;
    serialize(inner, aStruct);
    m_array.push_back(inner.take());
  }

  /// Writes Booleans as the bits of one number, the first in the lowest bit. This saves bytes in
  /// the heartbeat, which is part of each frame.
  template<std::same_as<bool>... Flags>
  void flags(const Flags&... aFlags)
  {
    uint32_t bits = 0;
    uint32_t bit = 1;
    ((bits |= aFlags ? bit : 0, bit <<= 1), ...);
    element(bits);
  }

  /// Writes ascending numbers delta-encoded. Most differences fit in one byte.
  void deltaEncoded(const std::vector<uint16_t>& aNumbers)
  {
    Writer inner;
    uint16_t previous = 0;
    for (const uint16_t number : aNumbers) {
      inner.element(static_cast<uint16_t>(number - previous));
      previous = number;
    }
    m_array.push_back(inner.take());
  }

private:
  Json m_array = Json::array();
};

/// An archive that reads values from a JSON array in order. Throws if a value is missing or has the
/// wrong type or range; decodeFrame converts the exception to a status.
class Reader
{
public:
  explicit Reader(const Json& aArray)
    : m_array(aArray)
  {
    if (!aArray.is_array()) {
      throw std::invalid_argument("expected an array");
    }
  }

  void element(bool& aValue) { aValue = number<uint32_t>() != 0; }
  void element(uint16_t& aValue) { aValue = number<uint16_t>(); }
  void element(uint32_t& aValue) { aValue = number<uint32_t>(); }
  void element(uint64_t& aValue) { aValue = number<uint64_t>(); }
  void element(std::string& aValue) { aValue = next().get<std::string>(); }
  void element(TimePoint& aValue) { aValue = TimePoint{ duration() }; }
  void element(Millis& aValue) { aValue = duration(); }

  template<typename Tag, typename Number>
  void element(StrongId<Tag, Number>& aValue)
  {
    aValue.m_value = number<Number>();
  }

  template<typename Enum>
  requires std::is_enum_v<Enum>
  void element(Enum& aValue)
  {
    const auto value = number<uint8_t>();
    if (value > maxEnumerator(aValue)) {
      throw std::invalid_argument("enumerator out of range");
    }
    aValue = static_cast<Enum>(value);
  }

  template<typename Item>
  void element(std::vector<Item>& aItems)
  {
    const Json& list = next();
    if (list.size() > kMaxListLength) {
      throw std::invalid_argument("list exceeds the maximum length");
    }
    Reader inner(list);
    aItems.resize(list.size());
    for (Item& entry : aItems) {
      inner.element(entry);
    }
  }

  template<typename Struct>
  requires std::is_class_v<Struct>
  void element(Struct& aStruct)
  {
    Reader inner(next());
    serialize(inner, aStruct);
  }

  /// Reads Booleans that Writer::flags() wrote. Throws if a bit beyond them is set.
  template<std::same_as<bool>... Flags>
  void flags(Flags&... aFlags)
  {
    const auto bits = number<uint32_t>();
    uint32_t bit = 1;
    ((aFlags = (bits & bit) != 0, bit <<= 1), ...);
    if (bits >= bit) {
      throw std::invalid_argument("unknown flag set");
    }
  }

  /// Reads numbers that Writer::deltaEncoded() wrote.
  void deltaEncoded(std::vector<uint16_t>& aNumbers)
  {
    element(aNumbers);
    uint16_t previous = 0;
    for (uint16_t& number : aNumbers) {
      number = static_cast<uint16_t>(number + previous);
      previous = number;
    }
  }

private:
  /// Returns the highest enumerator of the argument's type. The argument only selects the overload.
  static uint8_t maxEnumerator(mapping::Phase)
  {
    return static_cast<uint8_t>(mapping::Phase::Pinned);
  }
  static uint8_t maxEnumerator(admission::Mode)
  {
    return static_cast<uint8_t>(admission::Mode::Closed);
  }

  const Json& next() { return m_array.at(m_index++); }

  /// Reads a time in milliseconds. Throws if sums with it could overflow.
  Millis duration()
  {
    const auto count = toInteger<int64_t>(next());
    if (count < -kMaxMillis || count > kMaxMillis) {
      throw std::invalid_argument("time out of range");
    }
    return Millis{ count };
  }

  /// Reads an unsigned number. Throws if it exceeds the range of its type.
  template<typename Number>
  Number number()
  {
    const Json& item = next();
    if (!item.is_number_unsigned() || item.get<uint64_t>() > std::numeric_limits<Number>::max()) {
      throw std::invalid_argument("expected an unsigned number in the range of the field");
    }
    return item.get<Number>();
  }

  const Json& m_array;
  size_t m_index{};
};

/// Passes several members to the archive, in the given order.
template<typename Archive, typename... Members>
void
elements(Archive& aArchive, Members&... aMembers)
{
  (aArchive.element(aMembers), ...);
}

/// Whether a type is the given struct, const or not.
template<typename Given, typename Struct>
concept IsStruct = std::same_as<std::remove_const_t<Given>, Struct>;

template<typename Archive>
void
serialize(Archive& aArchive, auto& aValue)
{
  using T = std::remove_cvref_t<decltype(aValue)>;
  auto& value = aValue;
  if constexpr (IsStruct<T, mapping::BucketVersion>) {
    elements(aArchive, value.m_counter, value.m_coordinator);
  } else if constexpr (IsStruct<T, mapping::Bucket>) {
    elements(
      aArchive, value.m_base, value.m_current, value.m_owner, value.m_replica, value.m_version);
    elements(aArchive, value.m_phase);
  } else if constexpr (IsStruct<T, mapping::BucketGroup>) {
    elements(aArchive, value.m_value);
    aArchive.deltaEncoded(value.m_buckets);
  } else if constexpr (IsStruct<T, mapping::MapDelta>) {
    elements(aArchive, value.m_service, value.m_isSnapshot, value.m_groups);
  } else if constexpr (IsStruct<T, mapping::MapRequest>) {
    elements(aArchive, value.m_services);
  } else if constexpr (IsStruct<T, mapping::MapDigests::Entry>) {
    elements(aArchive, value.m_service, value.m_digest);
  } else if constexpr (IsStruct<T, mapping::MapDigests>) {
    elements(aArchive, value.m_entries, value.m_completesSync);
  } else if constexpr (IsStruct<T, mapping::PinGroup>) {
    elements(aArchive, value.m_upstream, value.m_flows);
  } else if constexpr (IsStruct<T, mapping::PinBatch>) {
    elements(aArchive, value.m_service, value.m_groups, value.m_removed, value.m_handedOver);
  } else if constexpr (IsStruct<T, mapping::BucketReport>) {
    elements(aArchive, value.m_service, value.m_completed, value.m_counters);
  } else if constexpr (IsStruct<T, admission::UpstreamReport>) {
    elements(
      aArchive, value.m_service, value.m_upstream, value.m_answered, value.m_identityMatches);
    elements(aArchive, value.m_claimsCold, value.m_sheds, value.m_draining, value.m_run);
    elements(aArchive, value.m_connections, value.m_busySlots);
  } else if constexpr (IsStruct<T, admission::ModeUpdate>) {
    elements(aArchive, value.m_service, value.m_upstream, value.m_mode, value.m_cold, value.m_lost);
    elements(aArchive, value.m_coldDuration);
    elements(aArchive, value.m_counter, value.m_coordinator, value.m_settingsRevision);
  } else if constexpr (IsStruct<T, admission::GrantRequest>) {
    elements(
      aArchive, value.m_service, value.m_upstream, value.m_requestedCount, value.m_requestedAt);
  } else if constexpr (IsStruct<T, admission::Grant>) {
    elements(aArchive, value.m_service, value.m_upstream, value.m_count, value.m_requestedAt);
  } else if constexpr (IsStruct<T, membership::ListedHost>) {
    elements(aArchive, value.m_host, value.m_dataCentre, value.m_leaving);
  } else if constexpr (IsStruct<T, membership::PeerExchange>) {
    elements(aArchive, value.m_hosts);
  } else if constexpr (IsStruct<T, membership::Heartbeat>) {
    elements(aArchive, value.m_from, value.m_incarnation, value.m_sentAt, value.m_echo);
    aArchive.flags(value.m_hasCompleteMap, value.m_viewStable, value.m_leaving, value.m_left);
    elements(aArchive, value.m_settingsRevision);
    elements(aArchive, value.m_settingsAge, value.m_mapDigest, value.m_votes, value.m_channelEpoch);
    elements(aArchive, value.m_leaseBarrier, value.m_ackEpoch, value.m_ack);
  } else {
    static_assert(!sizeof(T), "serialize() does not list the members of this struct");
  }
}

/// Reads a body whose alternative in the variant node::Body has the index `aIndex`.
template<size_t Index = 0>
node::Body
readBody(size_t aIndex, const Json& aContent)
{
  if constexpr (Index == std::variant_size_v<node::Body>) {
    throw std::invalid_argument("unknown message type");
  } else {
    if (aIndex != Index) {
      return readBody<Index + 1>(aIndex, aContent);
    }
    std::variant_alternative_t<Index, node::Body> body;
    Reader reader(aContent);
    serialize(reader, body);
    return body;
  }
}

/// Writes a body as an array of sequence number, index of the alternative in node::Body, and
/// content.
Json
writeBody(const channel::Sequenced<node::Body>& aNumbered)
{
  Json content = std::visit(
    [](const auto& aBody) {
      Writer writer;
      serialize(writer, aBody);
      return writer.take();
    },
    aNumbered.m_body);
  return Json::array({ aNumbered.m_sequence, aNumbered.m_body.index(), std::move(content) });
}

} // namespace

std::vector<uint8_t>
encodeFrame(const node::Frame& aFrame)
{
  Writer heartbeat;
  serialize(heartbeat, aFrame.m_heartbeat);
  Json bodies = Json::array();
  for (const auto& numbered : aFrame.m_bodies) {
    bodies.push_back(writeBody(numbered));
  }
  return Json::to_msgpack(Json::array({ heartbeat.take(), std::move(bodies) }));
}

absl::StatusOr<node::Frame>
decodeFrame(std::span<const uint8_t> aBytes)
{
  if (aBytes.size() > kMaxFrameBytes) {
    return absl::InvalidArgumentError("frame exceeds the maximum length");
  }
  try {
    const Json json = parseMessagePack(aBytes);
    node::Frame frame;
    Reader heartbeat(json.at(0));
    serialize(heartbeat, frame.m_heartbeat);
    for (const Json& item : json.at(1)) {
      frame.m_bodies.push_back(
        { toInteger<uint32_t>(item.at(0)), readBody(toInteger<size_t>(item.at(1)), item.at(2)) });
    }
    return frame;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError("malformed frame: " + boundedText(error.what()));
  }
}

} // namespace tamarack::wire
