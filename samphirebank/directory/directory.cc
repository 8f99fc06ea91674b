#include "samphirebank/directory/directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace samphirebank::directory {
namespace {

auto AgeOf(const Announcement& announcement) {
  return std::tie(announcement.born_ms, announcement.sequence);
}

bool SameFacts(Announcement a, const Announcement& b) {
  a.sequence = b.sequence;
  return a == b;
}

void Publish(Directory& directory, Entry& entry, TimePoint now) {
  directory.last = directory.last.Next();
  entry.changed = directory.last;
  entry.published_at = now;
}

bool IsLate(const Entry& known, const Announcement& heard) {
  const Announcement& last = known.announcement;
  // A run that signed off does not come back; the state only moves on.
  const bool ended = last.born_ms == heard.born_ms && last.state > heard.state;
  return ended || AgeOf(heard) < AgeOf(last);
}

// AddressTaken tells whether a later run of another target has the address.
bool AddressTaken(const Directory& directory, const Announcement& heard) {
  return std::ranges::any_of(directory.entries, [&](const auto& item) {
    const Announcement& other = item.second.announcement;
    return other.id != heard.id && other.address == heard.address &&
           other.born_ms > heard.born_ms;
  });
}

// RetireAddress ends earlier owners of the address.
void RetireAddress(Directory& directory, const Announcement& heard,
                   TimePoint now) {
  for (auto& [id, entry] : directory.entries) {
    Announcement& other = entry.announcement;
    const bool earlier_owner = id != heard.id &&
                               other.address == heard.address &&
                               other.born_ms < heard.born_ms;
    if (!earlier_owner || other.state == State::kGone) continue;
    other.state = State::kGone;
    Publish(directory, entry, now);
  }
}

}  // namespace

Verdict Hear(Directory& directory, const Announcement& announcement,
             TimePoint now) {
  const auto found = directory.entries.find(announcement.id);
  const bool known = found != directory.entries.end();
  if (known && IsLate(found->second, announcement)) return Verdict::kStale;
  if (AddressTaken(directory, announcement)) return Verdict::kStale;
  RetireAddress(directory, announcement, now);
  Entry& entry = directory.entries[announcement.id];
  const bool same_run =
      known && entry.announcement.born_ms == announcement.born_ms;
  const bool unchanged =
      same_run && SameFacts(entry.announcement, announcement);
  entry.announcement = announcement;
  entry.heard_at = now;
  const bool due = now - entry.published_at >= directory.options.refresh;
  if (!unchanged || due) Publish(directory, entry, now);
  if (!same_run) return Verdict::kNew;
  return unchanged ? Verdict::kRenewed : Verdict::kChanged;
}

bool SignOff(Directory& directory, const TargetId& id, TimePoint now) {
  const auto found = directory.entries.find(id);
  if (found == directory.entries.end()) return false;
  Entry& entry = found->second;
  entry.heard_at = now;
  if (entry.announcement.state == State::kGone) return true;
  entry.announcement.state = State::kGone;
  Publish(directory, entry, now);
  return true;
}

std::vector<TargetId> Forget(Directory& directory, TimePoint now) {
  std::vector<TargetId> silent;
  std::erase_if(directory.entries, [&](const auto& item) {
    const Entry& entry = item.second;
    const bool gone = entry.announcement.state == State::kGone;
    const Duration limit =
        gone ? directory.options.remember_gone : directory.options.silence;
    if (now - entry.heard_at < limit) return false;
    if (!gone) silent.push_back(item.first);
    return true;
  });
  return silent;
}

Changes ChangesSince(const Directory& directory, Cursor cursor, size_t most) {
  std::vector<const Entry*> changed;
  for (const auto& [id, entry] : directory.entries) {
    if (entry.changed > cursor) changed.push_back(&entry);
  }
  std::ranges::sort(changed, {}, &Entry::changed);
  Changes changes{.cursor = directory.last, .more = changed.size() > most};
  if (changes.more) changed.resize(most);
  for (const Entry* entry : changed) {
    changes.announcements.push_back(entry->announcement);
  }
  if (changes.more) changes.cursor = changed.back()->changed;
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
