// File: memory.h
//
// The budget for what a router holds of its callers' requests: heads, bodies
// and copies that wait to be sent. Each request has an Account, which counts
// its bytes until it is destroyed. Above the high mark no further long request
// is admitted until the low mark is reached; short ones and those that were
// admitted go on. While an organisation is refused, others above an equal share
// are not admitted either. No I/O.
//
// Example:
//
//   auto budget = std::make_shared<Budget>(OptionsFor(Bytes(260 << 20)));
//   Account account(budget);
//   if (!account.Resize(organisation, head.size() + body_length, now)) {
//     Refuse();
//   }
#ifndef SAMPHIREBANK_MEMORY_MEMORY_H_
#define SAMPHIREBANK_MEMORY_MEMORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "samphirebank/base/base.h"

namespace samphirebank::memory {

// Options sets the marks. The default is no budget.
struct Options {
  Bytes high_mark{};  // 0: no budget
  Bytes low_mark{};
  // Requests up to this size are admitted at any time.
  Bytes short_request{64 << 10};
  // An organisation that was refused within this time waits.
  Duration waiting_time = std::chrono::seconds(2);
};

// OptionsFor returns the marks for a process that may use `memory`; 0 means no
// budget. The rest is for the process itself and its tables, answers on their
// way to callers, and what the allocator does not return at once.
Options OptionsFor(Bytes memory);

// Holder is the record of one organisation.
struct Holder {
  int64_t bytes = 0;                      // that its requests hold
  std::optional<TimePoint> refused_at{};  // the last time
};

// Budget is the state of one router.
struct Budget {
  Options options{};
  int64_t bytes = 0;          // held by all
  bool is_exhausted = false;  // from the high mark down to the low one
  std::map<OrganisationId, Holder> holders{};
};

// ShouldAdmit returns whether a long request of `bytes` may be read.
bool ShouldAdmit(const Budget& budget, const OrganisationId& organisation,
                 int64_t bytes, TimePoint now);

// Account counts the bytes of one request.
class Account {
 public:
  explicit Account(std::shared_ptr<Budget> shared);
  ~Account();
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  // Resize sets what the request holds. Returns false, and changes nothing but
  // that the organisation waits, if a request that becomes long or longer is
  // not admitted. What is held counts for the organisation of the last call.
  bool Resize(const OrganisationId& organisation, Bytes held, TimePoint now);
  // Release counts nothing more of this request.
  void Release();
  Bytes held() const { return Bytes(this->bytes); }

 private:
  void Set(int64_t held);

  std::shared_ptr<Budget> budget;
  OrganisationId owner;
  int64_t bytes = 0;
};

}  // namespace samphirebank::memory

#endif  // SAMPHIREBANK_MEMORY_MEMORY_H_
