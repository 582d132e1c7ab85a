// Parses and builds IPv4, TCP, UDP and ICMP headers with the structures of the C library.
#include "packet/Packet.h"

#include "base/Hash.h"

#include <array>
#include <cstring>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <optional>

namespace tamarack::packet {

namespace {

using Bytes = std::span<const uint8_t>;

constexpr size_t kMinIpHeaderBytes = sizeof(iphdr);
/// An ICMP error quotes at least this much of the transport header (RFC 792), which includes the
/// ports of TCP and UDP.
constexpr size_t kMinQuotedTransportBytes = 8;
constexpr size_t kIcmpHeaderBytes = 8;
constexpr uint8_t kTimeToLive = 64;
/// The bits of the fragment field that are zero in an unfragmented packet.
constexpr uint32_t kFragmentMask = IP_OFFMASK | IP_MF;

/// Copies a header out of the packet, because the bytes may not be aligned. If the packet is
/// shorter than the header, the remaining fields are zero.
template<typename Header>
Header
readHeader(Bytes aBytes)
{
  Header header{};
  std::memcpy(&header, aBytes.data(), std::min(sizeof(Header), aBytes.size()));
  return header;
}

/// A parsed IPv4 header and a view of the bytes that follow it.
struct IpView
{
  iphdr m_header{};
  Bytes m_payload;
};

/// Parses an IPv4 header and skips its options. `aAllowTruncated` accepts a packet that is shorter
/// than its total length field says, as quoted in an ICMP error.
std::variant<IpView, ErrorKind>
parseIp(Bytes aPacket, bool aAllowTruncated)
{
  if (aPacket.size() < kMinIpHeaderBytes) {
    return ErrorKind::PacketTruncated;
  }
  const auto header = readHeader<iphdr>(aPacket);
  if (header.version != IPVERSION) {
    return ErrorKind::PacketUnsupported;
  }
  const size_t headerBytes = size_t{ header.ihl } * 4;
  const size_t totalBytes = ntohs(header.tot_len);
  if (headerBytes < kMinIpHeaderBytes || headerBytes > aPacket.size() || totalBytes < headerBytes) {
    return ErrorKind::PacketTruncated;
  }
  if (totalBytes > aPacket.size() && !aAllowTruncated) {
    return ErrorKind::PacketTruncated;
  }
  if ((ntohs(header.frag_off) & kFragmentMask) != 0) {
    return ErrorKind::PacketFragment;
  }
  const size_t end = std::min(totalBytes, aPacket.size());
  return IpView{ header, aPacket.subspan(headerBytes, end - headerBytes) };
}

std::optional<Protocol>
protocolOf(const iphdr& aHeader)
{
  if (aHeader.protocol == IPPROTO_TCP) {
    return Protocol::Tcp;
  }
  if (aHeader.protocol == IPPROTO_UDP) {
    return Protocol::Udp;
  }
  return std::nullopt;
}

FlowKey
readFlowKey(const IpView& aView, Protocol aProtocol)
{
  const auto ports = readHeader<udphdr>(aView.m_payload);
  return FlowKey{ .m_source = { ntohl(aView.m_header.saddr) },
                  .m_destination = { ntohl(aView.m_header.daddr) },
                  .m_sourcePort = ntohs(ports.source),
                  .m_destinationPort = ntohs(ports.dest),
                  .m_protocol = aProtocol };
}

/// Swaps source and destination.
FlowKey
reverseFlow(const FlowKey& aFlow)
{
  return FlowKey{ .m_source = aFlow.m_destination,
                  .m_destination = aFlow.m_source,
                  .m_sourcePort = aFlow.m_destinationPort,
                  .m_destinationPort = aFlow.m_sourcePort,
                  .m_protocol = aFlow.m_protocol };
}

bool
isIcmpErrorType(uint8_t aType)
{
  return aType == ICMP_DEST_UNREACH || aType == ICMP_TIME_EXCEEDED || aType == ICMP_PARAMETERPROB;
}

/// Parses an ICMP error and the start of the packet that it quotes.
std::variant<PacketMeta, ErrorKind>
parseIcmpError(Bytes aPayload)
{
  if (aPayload.size() < kIcmpHeaderBytes) {
    return ErrorKind::PacketTruncated;
  }
  if (!isIcmpErrorType(readHeader<icmphdr>(aPayload).type)) {
    return ErrorKind::PacketUnsupported;
  }
  const auto quoted = parseIp(aPayload.subspan(kIcmpHeaderBytes), true);
  if (const auto* error = std::get_if<ErrorKind>(&quoted)) {
    return *error;
  }
  const auto& view = std::get<IpView>(quoted);
  const auto protocol = protocolOf(view.m_header);
  if (!protocol) {
    return ErrorKind::PacketUnsupported;
  }
  if (view.m_payload.size() < kMinQuotedTransportBytes) {
    return ErrorKind::PacketTruncated;
  }
  // The quoted packet was sent by an upstream to a caller, so its five-tuple is that of the flow in
  // the reverse direction.
  return PacketMeta{ .m_flow = reverseFlow(readFlowKey(view, *protocol)), .m_isIcmpError = true };
}

/// Adds the big-endian 16-bit words of the bytes to a partial checksum. An odd last byte is padded
/// with zero.
uint32_t
sumWords(Bytes aBytes, uint32_t aSum)
{
  size_t index = 0;
  for (; index + 1 < aBytes.size(); index += 2) {
    aSum += (uint32_t{ aBytes[index] } << 8U) | aBytes[index + 1];
  }
  if (index < aBytes.size()) {
    aSum += uint32_t{ aBytes[index] } << 8U;
  }
  return aSum;
}

/// Folds a partial checksum into the Internet checksum (RFC 1071), in network byte order.
uint16_t
foldChecksum(uint32_t aSum)
{
  while ((aSum >> 16U) != 0) {
    aSum = (aSum & 0xffffU) + (aSum >> 16U);
  }
  return htons(static_cast<uint16_t>(~aSum));
}

/// Computes the TCP or UDP checksum, which covers a pseudo-header of IP fields.
uint16_t
transportChecksum(const iphdr& aIp, Bytes aTransport)
{
  std::array<uint8_t, 12> pseudoHeader{};
  std::memcpy(pseudoHeader.data(), &aIp.saddr, 4);
  std::memcpy(pseudoHeader.data() + 4, &aIp.daddr, 4);
  pseudoHeader[9] = aIp.protocol;
  pseudoHeader[10] = static_cast<uint8_t>(aTransport.size() >> 8U);
  pseudoHeader[11] = static_cast<uint8_t>(aTransport.size());
  return foldChecksum(sumWords(aTransport, sumWords(pseudoHeader, 0)));
}

iphdr
makeIpHeader(const FlowKey& aFlow, size_t aTotalBytes)
{
  iphdr header{};
  header.version = IPVERSION;
  header.ihl = kMinIpHeaderBytes / 4;
  header.tot_len = htons(static_cast<uint16_t>(aTotalBytes));
  header.ttl = kTimeToLive;
  header.protocol = static_cast<uint8_t>(aFlow.m_protocol);
  header.saddr = htonl(aFlow.m_source.m_value);
  header.daddr = htonl(aFlow.m_destination.m_value);
  std::array<uint8_t, kMinIpHeaderBytes> bytes{};
  std::memcpy(bytes.data(), &header, bytes.size());
  header.check = foldChecksum(sumWords(bytes, 0));
  return header;
}

tcphdr
makeTcpHeader(const PacketOptions& aOptions)
{
  tcphdr header{};
  header.source = htons(aOptions.m_flow.m_sourcePort);
  header.dest = htons(aOptions.m_flow.m_destinationPort);
  header.seq = htonl(aOptions.m_sequence);
  header.ack_seq = htonl(aOptions.m_acknowledgement);
  header.doff = sizeof(tcphdr) / 4;
  header.th_flags = aOptions.m_tcpFlags;
  header.window = htons(0xffff);
  return header;
}

udphdr
makeUdpHeader(const PacketOptions& aOptions)
{
  udphdr header{};
  header.source = htons(aOptions.m_flow.m_sourcePort);
  header.dest = htons(aOptions.m_flow.m_destinationPort);
  header.len = htons(static_cast<uint16_t>(sizeof(udphdr) + aOptions.m_payload.size()));
  return header;
}

/// Concatenates IP header, transport header and payload, and fills in the transport checksum at
/// `aChecksumOffset` of the transport header.
template<typename Header>
std::vector<uint8_t>
assemble(const PacketOptions& aOptions, const Header& aHeader, size_t aChecksumOffset)
{
  const size_t total = kMinIpHeaderBytes + sizeof(Header) + aOptions.m_payload.size();
  const iphdr ip = makeIpHeader(aOptions.m_flow, total);
  std::vector<uint8_t> packet(total);
  std::memcpy(packet.data(), &ip, kMinIpHeaderBytes);
  std::memcpy(packet.data() + kMinIpHeaderBytes, &aHeader, sizeof(Header));
  if (!aOptions.m_payload.empty()) {
    std::memcpy(packet.data() + kMinIpHeaderBytes + sizeof(Header),
                aOptions.m_payload.data(),
                aOptions.m_payload.size());
  }
  const uint16_t sum = transportChecksum(ip, Bytes(packet).subspan(kMinIpHeaderBytes));
  std::memcpy(packet.data() + kMinIpHeaderBytes + aChecksumOffset, &sum, sizeof(sum));
  return packet;
}

} // namespace

FlowId
flowId(const FlowKey& aFlow, uint64_t aSeed)
{
  const uint64_t addresses =
    (uint64_t{ aFlow.m_source.m_value } << 32U) | aFlow.m_destination.m_value;
  const uint64_t ports = (uint64_t{ aFlow.m_sourcePort } << 32U) |
                         (uint64_t{ aFlow.m_destinationPort } << 8U) |
                         static_cast<uint64_t>(aFlow.m_protocol);
  return FlowId{ mixHash(mixHash(aSeed, addresses), ports) };
}

std::variant<PacketMeta, ErrorKind>
parsePacket(Bytes aPacket)
{
  const auto ip = parseIp(aPacket, false);
  if (const auto* error = std::get_if<ErrorKind>(&ip)) {
    return *error;
  }
  const auto& view = std::get<IpView>(ip);
  if (view.m_header.protocol == IPPROTO_ICMP) {
    return parseIcmpError(view.m_payload);
  }
  const auto protocol = protocolOf(view.m_header);
  if (!protocol) {
    return ErrorKind::PacketUnsupported;
  }
  const size_t minTransportBytes = *protocol == Protocol::Tcp ? sizeof(tcphdr) : sizeof(udphdr);
  if (view.m_payload.size() < minTransportBytes) {
    return ErrorKind::PacketTruncated;
  }
  PacketMeta meta{ .m_flow = readFlowKey(view, *protocol) };
  if (*protocol == Protocol::Tcp) {
    const uint8_t flags = readHeader<tcphdr>(view.m_payload).th_flags;
    meta.m_opensFlow = (flags & TH_SYN) != 0 && (flags & TH_ACK) == 0;
    meta.m_endsFlow = (flags & (TH_FIN | TH_RST)) != 0;
  }
  return meta;
}

std::vector<uint8_t>
buildReset(Bytes aPacket)
{
  const auto ip = parseIp(aPacket, false);
  const auto* view = std::get_if<IpView>(&ip);
  if (view == nullptr || view->m_header.protocol != IPPROTO_TCP ||
      view->m_payload.size() < sizeof(tcphdr)) {
    return {};
  }
  const auto tcp = readHeader<tcphdr>(view->m_payload);
  if ((tcp.th_flags & TH_RST) != 0) {
    return {};
  }
  const size_t headerBytes = std::min(size_t{ tcp.doff } * 4, view->m_payload.size());
  // The sequence numbers that the packet occupies: its payload, and one each for SYN and FIN.
  size_t sequenceLength = view->m_payload.size() - headerBytes;
  sequenceLength += (tcp.th_flags & TH_SYN) != 0 ? 1 : 0;
  sequenceLength += (tcp.th_flags & TH_FIN) != 0 ? 1 : 0;
  const bool hasAck = (tcp.th_flags & TH_ACK) != 0;
  return buildPacket(
    PacketOptions{ .m_flow = reverseFlow(readFlowKey(*view, Protocol::Tcp)),
                   .m_sequence = hasAck ? ntohl(tcp.ack_seq) : 0,
                   .m_acknowledgement = ntohl(tcp.seq) + static_cast<uint32_t>(sequenceLength),
                   .m_tcpFlags = static_cast<uint8_t>(hasAck ? TH_RST : TH_RST | TH_ACK) });
}

std::vector<uint8_t>
buildPacket(const PacketOptions& aOptions)
{
  if (aOptions.m_flow.m_protocol == Protocol::Tcp) {
    return assemble(aOptions, makeTcpHeader(aOptions), offsetof(tcphdr, check));
  }
  return assemble(aOptions, makeUdpHeader(aOptions), offsetof(udphdr, check));
}

} // namespace tamarack::packet
