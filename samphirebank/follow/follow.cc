#include "samphirebank/follow/follow.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <tuple>
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

int DistanceTo(const Source& source, const Options& options) {
  if (source.zone == options.zone) return 0;
  return source.region == options.region ? 1 : 2;
}

// SpreadHash orders coordinators at the same distance differently for each
// instance, so that the instances of a zone do not all turn to the same one.
uint64_t SpreadHash(const Options& options, const InstanceId& coordinator) {
  const std::string text = options.self.value + '/' + coordinator.value;
  return XXH3_64bits(text.data(), text.size());
}

// IsOverdue returns whether a newer table has been outstanding for `limit`.
bool IsOverdue(const Follower& follower, Duration limit, TimePoint now) {
  return follower.awaited.version > follower.installed &&
         now - follower.awaited.announced_at >= limit;
}

// IsBehind returns whether a coordinator lacks a table that it should have: the
// instance's own one, or a newer one that is overdue.
bool IsBehind(const Follower& follower, const Source& source, TimePoint now) {
  if (source.table_version < follower.installed) return true;
  return source.table_version < follower.awaited.version &&
         IsOverdue(follower, follower.options.table_timeout, now);
}

// TableSource returns the coordinator that should send newer tables: the
// nearest responsive one that is not behind. If all are behind, it returns the
// nearest responsive one; nullopt if there is none.
std::optional<InstanceId> TableSource(const Follower& follower, TimePoint now) {
  const Options& options = follower.options;
  std::optional<InstanceId> best;
  std::tuple<int, uint64_t> best_rank;
  for (const auto& [id, source] : follower.sources) {
    if (!IsResponsive(source, options, now)) continue;
    if (IsBehind(follower, source, now)) continue;
    const std::tuple rank(DistanceTo(source, options), SpreadHash(options, id));
    if (best && rank >= best_rank) continue;
    best = id;
    best_rank = rank;
  }
  return best ? best : NearestResponsive(follower, now);
}

// ShouldIncludeTable returns whether a coordinator should send a table newer
// than the follower's own. That is the table source, and every coordinator once
// the source had its time too. An instance without a table cannot serve
// requests, so it requests its first table from every coordinator of its
// region.
bool ShouldIncludeTable(const Follower& follower, const InstanceId& from,
                        TimePoint now) {
  const auto source = TableSource(follower, now);
  if (!source || *source == from) return true;
  const bool has_no_table = follower.installed == routes::TableVersion();
  if (has_no_table && IsInRegion(follower, from)) return true;
  return IsOverdue(follower, 2 * follower.options.table_timeout, now);
}

// RecordAnnouncedTable notes that a coordinator holds the table of `version`.
void RecordAnnouncedTable(Follower& follower, routes::TableVersion version,
                          TimePoint now) {
  if (version <= follower.newest.version) return;
  follower.newest = {.version = version, .announced_at = now};
  if (follower.awaited.version <= follower.installed) {
    follower.awaited = follower.newest;
  }
}

// Advance records that the changes of an update were received, and returns
// whether any were new. An update that was sent for another poll may leave out
// changes.
bool Advance(directory::Position& position, const Update& update) {
  const directory::Position before = position;
  if (update.since.states <= position.states) {
    position.states = std::max(position.states, update.until.states);
  }
  if (update.since.renewals <= position.renewals) {
    position.renewals = std::max(position.renewals, update.until.renewals);
  }
  return position != before;
}

using std::chrono::milliseconds;

uint64_t MsOf(TimePoint at) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count());
}

// RecordKnown notes up to when the state of a coordinator is known. A number
// that is none of this instance's polls counts for nothing.
void RecordKnown(Source& source, const Update& update, TimePoint now) {
  const bool is_polled =
      update.poll_sent_ms > 0 && update.poll_sent_ms <= MsOf(now);
  if (update.has_more || !is_polled) return;
  const TimePoint sent_at{
      milliseconds(static_cast<int64_t>(update.poll_sent_ms))};
  source.known_until = std::max(source.known_until.value_or(sent_at), sent_at);
}

void EvictUnresponsive(Follower& follower, TimePoint now) {
  std::erase_if(follower.sources, [&](const auto& item) {
    const Source& source = item.second;
    const TimePoint last_seen = source.last_seen.value_or(source.added_at);
    return !source.is_seed &&
           now - last_seen >= follower.options.eviction_delay;
  });
}

// TakeRenewals records which runs are alive. A run that is unknown here was
// evicted while no update arrived, so all targets are asked for again.
void TakeRenewals(const Follower& follower, Source& source,
                  const std::vector<directory::RunHash>& renewed,
                  directory::Directory& directory, TimePoint now) {
  bool knows_all = true;
  for (const directory::RunHash run : renewed) {
    knows_all = directory::Renew(directory, run, now) && knows_all;
  }
  const bool may_resync =
      !source.resynced_at ||
      now - *source.resynced_at >= follower.options.resync_interval;
  if (knows_all || !may_resync) return;
  source.resynced_at = now;
  source.position = {};
  source.next_poll = now;
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

Poll BuildPoll(const Follower& follower, const InstanceId& to, TimePoint now) {
  Poll poll{.table_version = follower.installed,
            .include_table = ShouldIncludeTable(follower, to, now),
            .sent_ms = MsOf(now)};
  const auto found = follower.sources.find(to);
  if (found == follower.sources.end()) return poll;
  poll.coordinator_boot = found->second.boot;
  poll.position = found->second.position;
  return poll;
}

MergeResult Merge(Follower& follower, const InstanceId& from,
                  const Update& update, directory::Directory& directory,
                  TimePoint now) {
  Source& source =
      follower.sources.try_emplace(from, Source{.added_at = now}).first->second;
  const bool same_run = source.boot == update.coordinator_boot;
  if (!same_run) {
    source.boot = update.coordinator_boot;
    source.position = {};
  }
  source.last_seen = now;
  RecordKnown(source, update, now);
  source.zone = update.zone;
  source.region = update.region;
  source.next_poll =
      std::min(source.next_poll, now + follower.options.poll_interval);
  source.table_version =
      same_run ? std::max(source.table_version, update.table_version)
               : update.table_version;
  const bool has_advanced = Advance(source.position, update);
  AddMembers(follower, update.members, now);
  follower.num_gateways = std::max<uint32_t>(update.num_gateways, 1);
  RecordAnnouncedTable(follower, update.table_version, now);
  MergeResult result{
      .zones = evacuation::TakeNewer(follower.evacuations, update.evacuations),
      .has_more = update.has_more && has_advanced};
  for (const directory::Announcement& announcement : update.announcements) {
    const directory::Effect applied =
        directory::ApplyAnnouncement(directory, announcement, now);
    const bool is_new = applied == directory::Effect::kNew;
    const bool is_gone = announcement.state == directory::State::kGone;
    if (is_new && !is_gone) {
      result.added.push_back(announcement.id);
    } else if (is_new || (applied == directory::Effect::kChanged &&
                          announcement.state != directory::State::kReady)) {
      result.leaving.push_back(announcement.id);
    }
  }
  TakeRenewals(follower, source, update.renewed, directory, now);
  if (result.has_more) source.next_poll = now;
  return result;
}

Duration RecordInstalledTable(Follower& follower, const InstanceId& from,
                              routes::TableVersion version, TimePoint now) {
  const bool was_awaited = follower.awaited.version > follower.installed;
  const Duration waited =
      was_awaited ? now - follower.awaited.announced_at : Duration::zero();
  const auto found = follower.sources.find(from);
  if (found != follower.sources.end()) {
    Source& source = found->second;
    source.table_version = std::max(source.table_version, version);
  }
  follower.installed = std::max(follower.installed, version);
  RecordAnnouncedTable(follower, version, now);
  if (follower.awaited.version <= follower.installed) {
    follower.awaited = follower.newest;
  }
  return waited;
}

std::optional<InstanceId> NearestResponsive(const Follower& follower,
                                            TimePoint now) {
  const Options& options = follower.options;
  std::optional<InstanceId> nearest;
  int nearest_distance = 0;
  for (const auto& [id, source] : follower.sources) {
    if (!IsResponsive(source, options, now)) continue;
    const int distance = DistanceTo(source, options);
    if (nearest && distance >= nearest_distance) continue;
    nearest = id;
    nearest_distance = distance;
  }
  return nearest;
}

std::vector<InstanceId> Responsive(const Follower& follower, TimePoint now) {
  std::vector<InstanceId> responsive;
  for (const auto& [id, source] : follower.sources) {
    if (IsResponsive(source, follower.options, now)) responsive.push_back(id);
  }
  return responsive;
}

bool IsInStep(const Follower& follower, TimePoint now) {
  const Options& options = follower.options;
  size_t num_heard = 0;
  size_t num_known = 0;
  for (const auto& [id, source] : follower.sources) {
    const bool is_heard =
        source.last_seen && now - *source.last_seen < options.eviction_delay;
    if (!is_heard) continue;
    ++num_heard;
    const bool is_known =
        source.known_until && now - *source.known_until < options.max_state_age;
    if (is_known) ++num_known;
  }
  return 2 * num_known > num_heard;
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
