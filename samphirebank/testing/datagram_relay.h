// File: datagram_relay.h
//
// A relay of UDP datagrams between groups of processes on loopback: it delays
// and drops datagrams that pass between two groups, and cuts groups off. Each
// process is reached through a port of the relay; who sent a datagram is known
// by its source port.
//
// Example:
//
//   DatagramRelay relay({.seed = 1, .delay = std::chrono::milliseconds(20)});
//   uint16_t reached_at = relay.Add("south", bound_port);
//   relay.Cut("south", true);
#ifndef SAMPHIREBANK_TESTING_DATAGRAM_RELAY_H_
#define SAMPHIREBANK_TESTING_DATAGRAM_RELAY_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace samphirebank::testing {

// RelayOptions say what happens to datagrams between two groups; those within
// a group pass at once.
struct RelayOptions {
  uint64_t seed = 1;
  std::chrono::milliseconds delay{0};
  double drop = 0;  // the fraction that is lost
};

// DatagramRelay forwards on a thread of its own.
class DatagramRelay {
 public:
  explicit DatagramRelay(const RelayOptions& relay_options);
  ~DatagramRelay();
  DatagramRelay(const DatagramRelay&) = delete;
  DatagramRelay& operator=(const DatagramRelay&) = delete;

  // Add returns the port under which others reach the process that is bound to
  // `bound_port`.
  uint16_t Add(const std::string& group, uint16_t bound_port);

  // Cut loses, while `cut`, all that enters or leaves a group. A port given
  // as a group's name stands for that process alone, also within its group.
  void Cut(const std::string& group, bool cut);

  // Drop sets the fraction of datagrams between groups that is lost.
  void Drop(double fraction);

  // bytes_between counts the datagrams' bytes between groups so far.
  uint64_t bytes_between() const { return this->between; }

 private:
  using Clock = std::chrono::steady_clock;

  // Front is one process's port here.
  struct Front {
    int descriptor = -1;
    uint16_t bound_port = 0;
    std::string group;
  };

  // Held is a datagram on its way.
  struct Held {
    size_t front = 0;  // index
    std::string bytes;
  };

  void Run();
  void Receive(size_t front);
  bool Loses(const std::string& from, uint16_t port, const Front& to);
  void SendDue();

  RelayOptions options;
  std::mutex mutex;  // over all below
  std::mt19937_64 random;
  std::vector<Front> fronts;
  std::map<uint16_t, std::string> groups;  // by bound port
  std::set<std::string> cuts;
  std::multimap<Clock::time_point, Held> held;
  std::atomic<uint64_t> between = 0;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace samphirebank::testing

#endif  // SAMPHIREBANK_TESTING_DATAGRAM_RELAY_H_
