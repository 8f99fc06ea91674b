// File: wire.h
//
// Messages between the system's own processes: one typed struct a kind,
// encoded by cereal, sealed under the fleet key by libsodium.
//
// A message type states its kind and its fields:
//
//   struct Ping {
//     static constexpr wire::Kind kKind = wire::Kind::kPing;
//     uint64_t nonce = 0;
//     template <typename Archive> void serialize(Archive& archive) {
//       archive(nonce);
//     }
//   };
//
//   std::string bytes = sealer.Seal(Encode(Ping{.nonce = 7}),
//                                   {.receiver = "10.0.0.2:7400"});
//   leaf::result<Opened> opened = opener.Open(bytes);
//   leaf::result<Ping> ping = Decode<Ping>(opened->packet);
//
// This header brings in cereal; include it in sources, not in headers.
#ifndef SAMPHIREBANK_WIRE_WIRE_H_
#define SAMPHIREBANK_WIRE_WIRE_H_

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>
#include <utility>

#include "samphirebank/base/base.h"
#include "samphirebank/wire/internal/input_archive.h"

namespace samphirebank::wire {

namespace leaf = boost::leaf;

// kVersion is the protocol version; other versions are refused.
inline constexpr uint8_t kVersion = 6;

// Kind says which message a packet holds. Values are never reused.
enum class Kind : uint16_t {
  kConsensus = 1,         // between control instances
  kConfigPoll = 2,        // an instance asks for configuration and a lease
  kConfigUpdate = 3,      // the answer: lease age, changes
  kDemand = 4,            // entry router to pool scheduler
  kGrant = 5,             // pool scheduler to entry router
  kTargetState = 6,       // a target's announcement or load, to its scheduler
  kClaimRequest = 7,      // router to control: claim or end an idempotency key
  kClaimReply = 8,        // control to router
  kCounterShare = 9,      // between schedulers of one service in two regions
  kPoolRequest = 10,      // router to control: a pool needs a scheduler
  kOperatorForward = 11,  // control instance to leader
  kQuotaAsk = 12,         // pool scheduler to the coordinator of limits
  kQuotaGrant = 13,       // the answer: parts of organisations' limits
  kFollowPoll = 14,       // gateway to coordinator: what is new?
  kFollowUpdate = 15,     // the answer: targets, members, table version
  kTableUpdate = 16,      // coordinator to gateway: a whole route table
  kLoadReport = 17,       // gateway to coordinator: its work and rates
  kLoadShare = 18,        // coordinator to coordinator: its gateways' sum
  kLoadSum = 19,          // coordinator to gateway: what all others have
  kEvidenceReport = 20,   // gateway to coordinator: suspected prompt parts
  kEvidenceShare = 21,    // coordinator to coordinator: its gateways' evidence
  kEvidenceSum = 22,      // coordinator to gateway: the fleet's evidence
  kDepartRequest = 23,    // member to leader: may this process stop?
  kDepartReply = 24,      // the answer, once it may
  kWarmupRequest = 25,    // gateway to coordinator: tokens for cold targets
  kWarmupGrant = 26,      // the answer: the targets that it may send to
  kRunQuery = 30,         // coordinator to all: which run of a target is known?
  kRunReport = 31,        // the answer
  kEndedRun = 32,         // coordinator to coordinator: a run has signed off
  kOriginReport = 33,     // gateway to coordinator: streams that have begun
  kOriginShare = 34,      // coordinator to coordinator: what was reported to it
  kOriginQuery = 35,      // gateway to coordinator: which software began these?
  kOriginReply = 36,      // the answer
};

// Packet is an encoded message with its kind.
struct Packet {
  Kind kind = Kind::kConsensus;
  std::string payload;
  // The sender's hybrid logical clock, for the time line of events.
  int64_t clock_ms = 0;
  uint32_t clock_logical = 0;
};

// ErrorKind says why a packet was refused.
enum class ErrorKind : uint8_t {
  kTruncated,
  kVersion,
  kForged,
  kReplayed,
  kMalformed,
  kTooLarge,
  kWrongKind,
};

// ReasonOf returns the kind in words, for logs.
std::string_view ReasonOf(ErrorKind kind);

// Error is what the functions of this library fail with.
struct Error {
  ErrorKind kind = ErrorKind::kMalformed;
};

// StringSink is a stream buffer that appends to a string; a string stream
// copies what it wrote once more.
class StringSink : public std::streambuf {
 public:
  std::string written;

 protected:
  std::streamsize xsputn(const char* bytes, std::streamsize count) override {
    this->written.append(bytes, static_cast<size_t>(count));
    return count;
  }
  int_type overflow(int_type byte) override {
    this->written.push_back(traits_type::to_char_type(byte));
    return byte;
  }
};

// EncodeFields returns the fields of any serializable struct.
template <typename T>
std::string EncodeFields(const T& value) {
  StringSink sink;
  std::ostream out(&sink);
  cereal::PortableBinaryOutputArchive archive(out);
  archive(value);
  return std::move(sink.written);
}

// DecodeFields reads what EncodeFields wrote; kMalformed when it does not fit
// or when bytes are left over. A stated length beyond the bytes takes no
// memory.
template <typename T>
leaf::result<T> DecodeFields(std::string_view bytes) {
  try {
    T value;
    internal::InputArchive archive(bytes);
    archive(value);
    if (archive.left() != 0) {
      return leaf::new_error(Error{ErrorKind::kMalformed});
    }
    return value;
  } catch (const std::exception&) {
    return leaf::new_error(Error{ErrorKind::kMalformed});
  }
}

// Encode packs a message.
template <typename Message>
Packet Encode(const Message& message) {
  return Packet{.kind = Message::kKind, .payload = EncodeFields(message)};
}

// Decode unpacks a message; fails on another kind or on malformed bytes.
template <typename Message>
leaf::result<Message> Decode(const Packet& packet) {
  if (packet.kind != Message::kKind) {
    return leaf::new_error(Error{ErrorKind::kWrongKind});
  }
  return DecodeFields<Message>(packet.payload);
}

// Take decodes a packet and calls `handle` with the message. Returns false, and
// does not call it, if the packet is of another kind or malformed.
template <typename Message, typename Handler>
bool Take(const Packet& packet, const Handler& handle) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(message, Decode<Message>(packet));
        handle(std::move(message));
        return true;
      },
      [] { return false; });
}

// FleetKey is the secret that all instances of a fleet share: 32 bytes.
struct FleetKey {
  std::string bytes;
};

// ParseFleetKey reads 64 hexadecimal digits; nothing if malformed.
std::optional<FleetKey> ParseFleetKey(std::string_view hex);

// Opened is a packet whose sender holds the fleet key.
struct Opened {
  InstanceId from;
  BootId boot;
  Packet packet;
};

// Transport is how a packet travels. A datagram overtakes what is sent over
// connections.
enum class Transport : uint8_t { kDatagram, kConnection };

// Channel names a receiver, in any form that is the same each time, and the
// transport to it. Each channel has packet numbers of its own, so that what a
// sender sends to others does not count in the receiver's replay window.
struct Channel {
  std::string receiver{};
  Transport transport = Transport::kDatagram;

  friend auto operator<=>(const Channel&, const Channel&) = default;
};

// Sealer encrypts and numbers the packets of one instance's run. The boot id
// has to be random: no two runs of any instances under one key may share it,
// since it is part of the nonce.
class Sealer {
 public:
  Sealer(FleetKey fleet_key, InstanceId self, BootId self_boot);

  // Seal returns the bytes to send on a channel.
  std::string Seal(const Packet& packet, const Channel& channel);

 private:
  struct Numbering {
    uint32_t channel_number = 0;
    uint64_t next_number = 1;
  };

  FleetKey key;
  InstanceId instance;
  BootId boot;
  std::map<Channel, Numbering> numberings;
};

// Opener checks and decrypts packets and refuses replays: within one channel of
// a sender's run each packet number is taken once, and numbers more than
// kReplayWindow behind the newest are refused.
class Opener {
 public:
  explicit Opener(FleetKey fleet_key);

  // Open fails with Error; nothing changes when it fails.
  leaf::result<Opened> Open(std::string_view bytes);

 private:
  // Source is one channel of a sender's run.
  struct Source {
    std::string from;
    uint64_t boot = 0;
    uint32_t channel_number = 0;

    friend auto operator<=>(const Source&, const Source&) = default;
  };
  struct Window {
    uint64_t newest = 0;
    uint64_t seen = 0;  // bit i: number newest - i was taken
  };
  FleetKey key;
  std::map<Source, Window> windows;
};

// kReplayWindow is how far packets may be reordered.
inline constexpr uint64_t kReplayWindow = 64;

}  // namespace samphirebank::wire

#endif  // SAMPHIREBANK_WIRE_WIRE_H_
