#include "samphirebank/follow/follow.h"

#include <algorithm>
#include <utility>

namespace samphirebank::follow {
namespace {

bool HeardLately(const Source& source, const Options& options, TimePoint now) {
  return source.heard_at && now - *source.heard_at < options.silence;
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
  return found != follower.sources.end() && found->second.heard_at &&
         found->second.region == follower.options.region;
}

// TakesTableFrom says whether a coordinator is to send a table newer than the
// follower's own: the nearest one, and any while that does not do it. Without a
// table nothing can be served: then any of the region's will do at once.
bool TakesTableFrom(const Follower& follower, const InstanceId& from,
                    routes::TableVersion own, TimePoint now) {
  const auto nearest = NearestHeard(follower, now);
  if (!nearest || *nearest == from) return true;
  const bool has_none = own == routes::TableVersion();
  if (has_none && IsInRegion(follower, from)) return true;
  return follower.newest_table > own &&
         now - follower.newest_table_at >= follower.options.table_patience;
}

void ForgetSilent(Follower& follower, TimePoint now) {
  std::erase_if(follower.sources, [&](const auto& item) {
    const Source& source = item.second;
    const TimePoint last = source.heard_at.value_or(source.added_at);
    return !source.is_seed && now - last >= follower.options.forget;
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
  ForgetSilent(follower, now);
  std::vector<InstanceId> due;
  for (auto& [id, source] : follower.sources) {
    if (now < source.next_poll) continue;
    const Options& options = follower.options;
    source.next_poll =
        now + (HeardLately(source, options, now) ? options.poll_interval
                                                 : options.search_interval);
    due.push_back(id);
  }
  return due;
}

Poll PollOf(const Follower& follower, const InstanceId& to,
            routes::TableVersion table, TimePoint now) {
  Poll poll{.table = table,
            .takes_table = TakesTableFrom(follower, to, table, now)};
  const auto found = follower.sources.find(to);
  if (found == follower.sources.end()) return poll;
  poll.answerer = found->second.boot;
  poll.cursor = found->second.cursor;
  return poll;
}

Heard Merge(Follower& follower, const InstanceId& from, const Update& update,
            directory::Directory& directory, TimePoint now) {
  Source& source =
      follower.sources.try_emplace(from, Source{.added_at = now}).first->second;
  const bool same_run = source.boot == update.answerer;
  const bool stale = same_run && update.cursor < source.cursor;
  source.heard_at = now;
  source.zone = update.zone;
  source.region = update.region;
  source.next_poll =
      std::min(source.next_poll, now + follower.options.poll_interval);
  if (!stale) {
    source.boot = update.answerer;
    source.cursor = update.cursor;
  }
  AddMembers(follower, update.members, now);
  follower.gateways = std::max<uint32_t>(update.gateways, 1);
  if (update.table > follower.newest_table) {
    follower.newest_table = update.table;
    follower.newest_table_at = now;
  }
  Heard heard{.poll_again = update.more};
  for (const directory::Announcement& announcement : update.announcements) {
    const directory::Verdict verdict =
        directory::Hear(directory, announcement, now);
    if (verdict == directory::Verdict::kNew) {
      heard.arrived.push_back(announcement.id);
    } else if (verdict == directory::Verdict::kChanged &&
               announcement.state != directory::State::kReady) {
      heard.leaving.push_back(announcement.id);
    }
  }
  if (heard.poll_again) source.next_poll = now;
  return heard;
}

std::optional<InstanceId> NearestHeard(const Follower& follower,
                                       TimePoint now) {
  const Options& options = follower.options;
  std::optional<InstanceId> nearest;
  int nearest_steps = 0;
  for (const auto& [id, source] : follower.sources) {
    if (!HeardLately(source, options, now)) continue;
    const bool same_region = source.region == options.region;
    const int steps = source.zone == options.zone ? 0 : same_region ? 1 : 2;
    if (nearest && steps >= nearest_steps) continue;
    nearest = id;
    nearest_steps = steps;
  }
  return nearest;
}

Duration SilentFor(const Follower& follower, TimePoint now) {
  Duration least = Duration::max();
  for (const auto& [id, source] : follower.sources) {
    const TimePoint last = source.heard_at.value_or(source.added_at);
    least = std::min(least, now - last);
  }
  return least;
}

}  // namespace samphirebank::follow
