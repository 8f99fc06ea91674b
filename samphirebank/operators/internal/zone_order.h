// File: zone_order.h
//
// The parts of `samphirebank zone`: the call to a coordinator, what each answer
// means for the next try, and the text for people.
//
// Example:
//
//   ZoneTries tries{.servers = settings.servers};
//   const net::SocketAddress server = NextServer(tries);
//   if (RecordAnswer(tries, answer) == ZoneStep::kDone) Print(answer);
#ifndef SAMPHIREBANK_OPERATORS_INTERNAL_ZONE_ORDER_H_
#define SAMPHIREBANK_OPERATORS_INTERNAL_ZONE_ORDER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/dialect/dialect.h"
#include "samphirebank/net/net.h"
#include "samphirebank/settings/settings.h"

namespace samphirebank::operators {

// ZoneAnswer is a coordinator's answer, or why there is none.
struct ZoneAnswer {
  int status = 0;  // 0: none
  std::string location{};
  std::string body{};
  std::string fault{};
  bool was_sent = false;  // without an answer: the order may have arrived
};

// ZoneTries are the tries of one order.
struct ZoneTries {
  std::vector<net::SocketAddress> servers{};
  size_t next = 0;
  std::optional<net::SocketAddress> redirect{};
  int redirects = 0;        // followed in a row
  int refusals = 0;         // 4xx that are tried again
  bool is_unclear = false;  // a try may have been carried out
  ZoneAnswer last{};
};

// ZoneStep is what follows an answer.
enum class ZoneStep : uint8_t { kDone, kFollow, kRetry };

// ZoneMethod and ZonePath are the call of a command.
std::string ZoneMethod(settings::ZoneVerb verb);
std::string ZonePath(const settings::ZoneSettings& settings,
                     const dialect::Dialect& dialect);

// NextServer returns the server that the next try goes to.
net::SocketAddress NextServer(ZoneTries& tries);

// RecordAnswer takes in the answer of the last try. A redirect is followed
// twice in a row; 5xx, 408, 429 and silence are tried again elsewhere; 400,
// 409, 412, 413 and 422 end the order, other refusals end it at the third.
ZoneStep RecordAnswer(ZoneTries& tries, const ZoneAnswer& answer);

// ZoneText returns the outcome for people; ZoneFault why an order was not
// carried out, or that its outcome is not known.
std::string ZoneText(const settings::ZoneSettings& settings,
                     const ZoneAnswer& answer);
std::string ZoneFault(const settings::ZoneSettings& settings,
                      const ZoneTries& tries);

}  // namespace samphirebank::operators

#endif  // SAMPHIREBANK_OPERATORS_INTERNAL_ZONE_ORDER_H_
