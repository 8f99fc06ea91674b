#include "samphirebank/replication/internal/departure.h"

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "samphirebank/events/events.h"
#include "samphirebank/replication/internal/member.h"

namespace samphirebank::replication {
namespace {

using consensus::MemberId;
using std::chrono::milliseconds;

constexpr Duration kRequestInterval = milliseconds(100);

TimePoint Now() { return std::chrono::steady_clock::now(); }

// MemberIn returns the member that a DepartRequest or a DepartReply
// names; nullopt if the packet cannot be decoded.
template <typename Message>
std::optional<MemberId> MemberIn(const wire::Packet& packet) {
  return wire::leaf::try_handle_all(
      [&]() -> wire::leaf::result<std::optional<MemberId>> {
        BOOST_LEAF_AUTO(message, wire::Decode<Message>(packet));
        return std::optional<MemberId>(message.member);
      },
      [] { return std::optional<MemberId>(); });
}

}  // namespace

void Member::Depart(std::function<void()> done) {
  const TimePoint now = Now();
  this->departure = {.done = std::move(done),
                     .started_at = now,
                     .deadline = now + kDepartureTimeout};
  this->ContinueDeparture(now);
}

void Member::ContinueDeparture(TimePoint now) {
  if (!this->departure) return;
  if (!this->disk) return this->EndDeparture("the data folder is not open");
  const MemberId& self = this->state.options.self;
  if (now >= this->departure->deadline) return this->EndDeparture("timeout");
  if (this->options.desired_voters == 0) {
    return this->EndDeparture("operators move votes");
  }
  if (this->leads()) {
    if (this->Release(self, now)) this->EndDeparture("released");
    return;
  }
  const auto& current = consensus::CurrentMembership(this->state);
  if (!current.membership.Contains(self)) {
    return this->EndDeparture("not a member");
  }
  if (!this->state.leader || now < this->departure->next_request) return;
  this->departure->next_request = now + kRequestInterval;
  this->hooks.send(this->state.leader->instance,
                   wire::Encode(DepartRequest{.member = self}));
}

void Member::EndDeparture(const std::string& reason) {
  const Departure ended = *std::exchange(this->departure, std::nullopt);
  events::Log({.number = events::Number::kMemberDeparts,
               .duration = Now() - ended.started_at,
               .reason = reason});
  ended.done();
}

bool Member::Release(const MemberId& member, TimePoint now) {
  this->departing[member] = now;
  this->MaintainMembership(now);
  // The change may have made this member step down.
  return this->leads() &&
         MayDepart(this->View(), this->Maintenance(), member, now);
}

void Member::OnDepartRequest(const wire::Opened& opened) {
  const auto member = MemberIn<DepartRequest>(opened.packet);
  if (!member || member->instance != opened.from || !this->leads()) return;
  if (!this->Release(*member, Now())) return;
  this->hooks.send(member->instance,
                   wire::Encode(DepartReply{.member = *member}));
}

void Member::OnDepartReply(const wire::Opened& opened) {
  const auto member = MemberIn<DepartReply>(opened.packet);
  if (!this->departure || member != this->state.options.self) return;
  this->EndDeparture("released");
}

}  // namespace samphirebank::replication
