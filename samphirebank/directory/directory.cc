#include "samphirebank/directory/directory.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace samphirebank::directory {
namespace {

// OrderingKey orders announcements. Within a run the state only moves forward,
// so a later state is newer whatever its sequence number: the coordinator that
// takes a sign-off may have missed the run's last heartbeats.
auto OrderingKey(const Announcement& announcement) {
  return std::tie(announcement.started_at_ms, announcement.state,
                  announcement.sequence);
}

// IsUnchanged returns whether an announcement only renews another one. The
// remaining cold time changes with each heartbeat; only whether there is one
// counts.
bool IsUnchanged(Announcement renewed, const Announcement& known) {
  const std::chrono::milliseconds none{};
  if ((renewed.cold_remaining > none) != (known.cold_remaining > none)) {
    return false;
  }
  renewed.sequence = known.sequence;
  renewed.cold_remaining = known.cold_remaining;
  return renewed == known;
}

// ExtendsCold returns whether a target says that it stays cold for noticeably
// longer than the published change says.
bool ExtendsCold(const Entry& known, const Announcement& renewed,
                 TimePoint now) {
  constexpr Duration kNoticeable = std::chrono::milliseconds(500);
  const bool is_cold = renewed.cold_remaining > std::chrono::milliseconds(0);
  return is_cold && now + renewed.cold_remaining >=
                        known.published_cold_until + kNoticeable;
}

// PublishRenewal publishes that a target is alive.
void PublishRenewal(Directory& directory, Entry& entry, TimePoint now) {
  directory.by_change.erase(entry.last_change);
  directory.last_change = directory.last_change.Next();
  entry.last_change = directory.last_change;
  directory.by_change[entry.last_change] = entry.announcement.id;
  entry.published_at = now;
}

void PublishChange(Directory& directory, Entry& entry, TimePoint now) {
  PublishRenewal(directory, entry, now);
  directory.by_state_change.erase(entry.last_state_change);
  entry.last_state_change = entry.last_change;
  directory.by_state_change[entry.last_state_change] = entry.announcement.id;
  entry.published_cold_until = now + entry.announcement.cold_remaining;
}

bool IsStale(const Entry& entry, const Announcement& received) {
  return OrderingKey(received) < OrderingKey(entry.announcement);
}

void RemoveAddress(Directory& directory, const Announcement& announcement) {
  const auto found = directory.by_address.find(announcement.address);
  if (found == directory.by_address.end()) return;
  found->second.erase(announcement.id);
  if (found->second.empty()) directory.by_address.erase(found);
}

void RemoveRun(Directory& directory, const Announcement& announcement) {
  const auto found = directory.by_run.find(HashRun(announcement));
  const bool is_own =
      found != directory.by_run.end() && found->second == announcement.id;
  if (is_own) directory.by_run.erase(found);
}

// OthersAt returns the other targets that announced the same address.
std::vector<TargetId> OthersAt(const Directory& directory,
                               const Announcement& received) {
  const auto found = directory.by_address.find(received.address);
  if (found == directory.by_address.end()) return {};
  std::vector<TargetId> others(found->second.begin(), found->second.end());
  std::erase(others, received.id);
  return others;
}

// IsAddressTaken returns whether a later run of another target announced the
// same address.
bool IsAddressTaken(const Directory& directory, const Announcement& received) {
  return std::ranges::any_of(
      OthersAt(directory, received), [&](const TargetId& id) {
        const Entry& other = directory.entries.at(id);
        return other.announcement.started_at_ms > received.started_at_ms;
      });
}

// RetireEarlierOwners marks the earlier runs of other targets at the same
// address as gone.
void RetireEarlierOwners(Directory& directory, const Announcement& received,
                         TimePoint now) {
  for (const TargetId& id : OthersAt(directory, received)) {
    Entry& entry = directory.entries.at(id);
    Announcement& other = entry.announcement;
    const bool is_earlier = other.started_at_ms < received.started_at_ms;
    if (!is_earlier || other.state == State::kGone) continue;
    other.state = State::kGone;
    PublishChange(directory, entry, now);
  }
}

// AddStates adds the targets whose state changed after `since`, and takes their
// space from `room`, which counts renewals.
void AddStates(const Directory& directory, const Position& since, size_t* room,
               Changes* changes) {
  for (auto next = directory.by_state_change.upper_bound(since.states);
       next != directory.by_state_change.end(); ++next) {
    if (*room < kRenewalsPerAnnouncement) {
      changes->has_more = true;
      return;
    }
    *room -= kRenewalsPerAnnouncement;
    changes->announcements.push_back(
        directory.entries.at(next->second).announcement);
    changes->until.states = next->first;
  }
  changes->until.states = directory.last_change;
}

// AddRenewals adds the renewals after `since`. A target whose state changed
// after it is listed in full, now or in a later batch.
void AddRenewals(const Directory& directory, const Position& since,
                 size_t* room, Changes* changes) {
  for (auto next = directory.by_change.upper_bound(since.renewals);
       next != directory.by_change.end(); ++next) {
    const Entry& entry = directory.entries.at(next->second);
    const bool is_renewal = entry.last_state_change <= since.states;
    if (is_renewal && *room == 0) {
      changes->has_more = true;
      return;
    }
    if (is_renewal) {
      --*room;
      changes->renewed.push_back(HashRun(entry.announcement));
    }
    changes->until.renewals = next->first;
  }
  changes->until.renewals = directory.last_change;
}

}  // namespace

RunHash HashRun(const Announcement& announcement) {
  const std::string& id = announcement.id.value;
  const auto seed = static_cast<uint64_t>(announcement.started_at_ms);
  return static_cast<RunHash>(XXH64(id.data(), id.size(), seed));
}

Effect ApplyAnnouncement(Directory& directory, const Announcement& announcement,
                         TimePoint now) {
  const auto found = directory.entries.find(announcement.id);
  const bool known = found != directory.entries.end();
  if (known && IsStale(found->second, announcement)) return Effect::kStale;
  if (IsAddressTaken(directory, announcement)) return Effect::kStale;
  RetireEarlierOwners(directory, announcement, now);
  Entry& entry = directory.entries[announcement.id];
  const bool same_run =
      known && entry.announcement.started_at_ms == announcement.started_at_ms;
  const bool unchanged = same_run &&
                         IsUnchanged(announcement, entry.announcement) &&
                         !ExtendsCold(entry, announcement, now);
  const uint64_t last_sequence = entry.announcement.sequence;
  if (known && entry.announcement.address != announcement.address) {
    RemoveAddress(directory, entry.announcement);
  }
  if (known) RemoveRun(directory, entry.announcement);
  directory.by_address[announcement.address].insert(announcement.id);
  directory.by_run[HashRun(announcement)] = announcement.id;
  entry.announcement = announcement;
  if (same_run) {
    entry.announcement.sequence =
        std::max(last_sequence, announcement.sequence);
  } else {
    entry.run_seen_at = now;
  }
  entry.last_seen = now;
  const bool is_refresh_due =
      now - entry.published_at >= directory.options.refresh_interval;
  if (!unchanged) {
    PublishChange(directory, entry, now);
  } else if (is_refresh_due) {
    PublishRenewal(directory, entry, now);
  }
  if (!same_run) return Effect::kNew;
  return unchanged ? Effect::kRenewed : Effect::kChanged;
}

bool Renew(Directory& directory, RunHash run, TimePoint now) {
  const auto found = directory.by_run.find(run);
  if (found == directory.by_run.end()) return false;
  Entry& entry = directory.entries.at(found->second);
  if (entry.announcement.state != State::kGone) entry.last_seen = now;
  return true;
}

bool MarkGone(Directory& directory, const TargetId& id, TimePoint now) {
  const auto found = directory.entries.find(id);
  if (found == directory.entries.end()) return false;
  Entry& entry = found->second;
  entry.last_seen = now;
  if (entry.announcement.state == State::kGone) return true;
  entry.announcement.state = State::kGone;
  PublishChange(directory, entry, now);
  return true;
}

std::vector<TargetId> EvictExpired(Directory& directory, TimePoint now) {
  std::vector<TargetId> timed_out;
  std::erase_if(directory.entries, [&](const auto& item) {
    const Entry& entry = item.second;
    const bool gone = entry.announcement.state == State::kGone;
    const Duration ttl = gone ? directory.options.tombstone_ttl
                              : directory.options.heartbeat_timeout;
    if (now - entry.last_seen < ttl) return false;
    if (!gone) timed_out.push_back(item.first);
    directory.by_change.erase(entry.last_change);
    directory.by_state_change.erase(entry.last_state_change);
    RemoveAddress(directory, entry.announcement);
    RemoveRun(directory, entry.announcement);
    return true;
  });
  return timed_out;
}

Changes ChangesSince(const Directory& directory, const Position& since,
                     size_t max_announcements) {
  Changes changes{.until = since};
  size_t room = max_announcements * kRenewalsPerAnnouncement;
  AddStates(directory, since, &room, &changes);
  AddRenewals(directory, since, &room, &changes);
  return changes;
}

std::vector<const Announcement*> ReadyTargets(const Directory& directory,
                                              const ServiceId& service) {
  std::vector<const Announcement*> ready;
  for (const auto& [id, entry] : directory.entries) {
    const Announcement& announcement = entry.announcement;
    if (announcement.service != service) continue;
    if (announcement.state == State::kReady) ready.push_back(&announcement);
  }
  return ready;
}

}  // namespace samphirebank::directory
