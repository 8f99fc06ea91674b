// File: work.h
//
// Which of its two kinds of work the router's thread does, so that the
// processor time of control can be told from that of callers' requests.
//
// Example:
//
//   const WorkScope scope(router.work, Work::kControl);  // until the block
//   ends
#ifndef SAMPHIREBANK_ROUTER_INTERNAL_WORK_H_
#define SAMPHIREBANK_ROUTER_INTERNAL_WORK_H_

#include <cstdint>
#include <ctime>

#include "samphirebank/metrics/metrics.h"

namespace samphirebank::router {

// Work is a kind of work.
enum class Work : uint8_t {
  kRequests,  // callers' requests, and all that is nothing else
  kControl,   // packets, sharing, configuration
};

// WorkAccount counts the processor time of control.
struct WorkAccount {
  metrics::Counter& control_cpu;  // nanoseconds
  Work now = Work::kRequests;
  int64_t since_ns = 0;  // thread time
};

// WorkScope makes a kind of work the present one until it goes.
class WorkScope {
 public:
  WorkScope(WorkAccount& work_account, Work kind)
      : account(work_account), before(work_account.now) {
    this->Switch(kind);
  }
  ~WorkScope() { this->Switch(this->before); }
  WorkScope(const WorkScope&) = delete;
  WorkScope& operator=(const WorkScope&) = delete;

 private:
  static int64_t ThreadTime() {
    constexpr int64_t kSecond = 1'000'000'000;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return time.tv_sec * kSecond + time.tv_nsec;
  }

  void Switch(Work kind) {
    if (kind == this->account.now) return;
    const int64_t now = ThreadTime();
    if (this->account.now == Work::kControl) {
      this->account.control_cpu.Add(
          static_cast<uint64_t>(now - this->account.since_ns));
    }
    this->account.now = kind;
    this->account.since_ns = now;
  }

  WorkAccount& account;
  Work before;
};

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_INTERNAL_WORK_H_
