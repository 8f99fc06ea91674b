#include "samphirebank/follow/follow.h"

#include <algorithm>
#include <utility>

namespace samphirebank::follow {
namespace {

bool IsResponsive(const Source& source, const Options& options, TimePoint now) {
  return source.last_seen && now - *source.last_seen < options.response_timeout;
}

void AddMembers(Follower& follower, const std::vector<InstanceId>& members,
                TimePoint now) {
  for (const InstanceId& member : members) {
    follower.sources.try_emplace(member,
                                 Source{.added_at = now, .next_poll = now});
  }
}

bool IsInRegion(const Follower& follower, const InstanceId& coordinator) {
  const auto found = follower.sources.find(coordinator);
  return found != follower.sources.end() && found->second.last_seen &&
         found->second.region == follower.options.region;
}

// ShouldIncludeTable returns whether a coordinator should send a table newer
// than the follower's own. That is the nearest coordinator, and every
// coordinator once the newest table has been outstanding for table_timeout. An
// instance without a table cannot serve requests, so it requests its first
// table from every coordinator of its region.
bool ShouldIncludeTable(const Follower& follower, const InstanceId& from,
                        routes::TableVersion own_version, TimePoint now) {
  const auto nearest = NearestResponsive(follower, now);
  if (!nearest || *nearest == from) return true;
  const bool has_no_table = own_version == routes::TableVersion();
  if (has_no_table && IsInRegion(follower, from)) return true;
  return follower.newest_table_version > own_version &&
         now - follower.newest_table_at >= follower.options.table_timeout;
}

void EvictUnresponsive(Follower& follower, TimePoint now) {
  std::erase_if(follower.sources, [&](const auto& item) {
    const Source& source = item.second;
    const TimePoint last_seen = source.last_seen.value_or(source.added_at);
    return !source.is_seed &&
           now - last_seen >= follower.options.eviction_delay;
  });
}

}  // namespace

Follower Start(Options options, TimePoint now) {
  Follower follower{.options = std::move(options)};
  for (const InstanceId& seed : follower.options.seeds) {
    follower.sources[seed] = {
        .added_at = now, .next_poll = now, .is_seed = true};
  }
  return follower;
}

std::vector<InstanceId> TakeDuePolls(Follower& follower, TimePoint now) {
  EvictUnresponsive(follower, now);
  std::vector<InstanceId> due;
  for (auto& [id, source] : follower.sources) {
    if (now < source.next_poll) continue;
    const Options& options = follower.options;
    source.next_poll = now + (IsResponsive(source, options, now)
                                  ? options.poll_interval
                                  : options.unresponsive_poll_interval);
    due.push_back(id);
  }
  return due;
}

Poll BuildPoll(const Follower& follower, const InstanceId& to,
               routes::TableVersion table, TimePoint now) {
  Poll poll{.table_version = table,
            .include_table = ShouldIncludeTable(follower, to, table, now)};
  const auto found = follower.sources.find(to);
  if (found == follower.sources.end()) return poll;
  poll.coordinator_boot = found->second.boot;
  poll.cursor = found->second.cursor;
  return poll;
}

MergeResult Merge(Follower& follower, const InstanceId& from,
                  const Update& update, directory::Directory& directory,
                  TimePoint now) {
  Source& source =
      follower.sources.try_emplace(from, Source{.added_at = now}).first->second;
  const bool same_run = source.boot == update.coordinator_boot;
  const bool stale = same_run && update.cursor < source.cursor;
  source.last_seen = now;
  source.zone = update.zone;
  source.region = update.region;
  source.next_poll =
      std::min(source.next_poll, now + follower.options.poll_interval);
  if (!stale) {
    source.boot = update.coordinator_boot;
    source.cursor = update.cursor;
  }
  AddMembers(follower, update.members, now);
  follower.num_gateways = std::max<uint32_t>(update.num_gateways, 1);
  if (update.table_version > follower.newest_table_version) {
    follower.newest_table_version = update.table_version;
    follower.newest_table_at = now;
  }
  MergeResult result{.has_more = update.has_more};
  for (const directory::Announcement& announcement : update.announcements) {
    const directory::Effect applied =
        directory::ApplyAnnouncement(directory, announcement, now);
    if (applied == directory::Effect::kNew) {
      result.added.push_back(announcement.id);
    } else if (applied == directory::Effect::kChanged &&
               announcement.state != directory::State::kReady) {
      result.leaving.push_back(announcement.id);
    }
  }
  if (result.has_more) source.next_poll = now;
  return result;
}

std::optional<InstanceId> NearestResponsive(const Follower& follower,
                                            TimePoint now) {
  const Options& options = follower.options;
  std::optional<InstanceId> nearest;
  int nearest_distance = 0;
  for (const auto& [id, source] : follower.sources) {
    if (!IsResponsive(source, options, now)) continue;
    const bool same_region = source.region == options.region;
    const int distance = source.zone == options.zone ? 0 : same_region ? 1 : 2;
    if (nearest && distance >= nearest_distance) continue;
    nearest = id;
    nearest_distance = distance;
  }
  return nearest;
}

Duration TimeSinceLastUpdate(const Follower& follower, TimePoint now) {
  Duration shortest = Duration::max();
  for (const auto& [id, source] : follower.sources) {
    const TimePoint last_seen = source.last_seen.value_or(source.added_at);
    shortest = std::min(shortest, now - last_seen);
  }
  return shortest;
}

}  // namespace samphirebank::follow
