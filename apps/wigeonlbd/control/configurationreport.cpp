#include "control/configurationreport.h"

#include "foundation/logging.h"

namespace wigeonlb::daemon::control {

namespace {

constexpr std::uint64_t kBurstSeconds = 4;

} // namespace

std::optional<BehindChange>
NoteRevision(HostsBehind& aHosts,
             const foundation::HostId& aHost,
             foundation::Revision aInForce,
             foundation::Revision aNewest,
             foundation::Instant aNow)
{
  const auto found = aHosts.hosts_.find(aHost);
  const bool isNew = found == aHosts.hosts_.end();
  if (!isNew && aInForce >= found->second.newest_) {
    const bool wasLogged = found->second.logged_;
    found->second = { aNow, aNewest };
    return wasLogged ? std::optional(BehindChange::CaughtUp) : std::nullopt;
  }
  HostsBehind::Entry& entry =
    isNew ? aHosts.hosts_[aHost] = { aNow, aNewest } : found->second;
  if (entry.logged_ || aNow - entry.since_ <= kBehindMs) {
    return std::nullopt;
  }
  entry.logged_ = true;
  return BehindChange::Behind;
}

void
SentConfigurationLog::Write(const foundation::HostId& aHost,
                            const wire::HeartbeatReply& aConfiguration,
                            const SenderState& aSender,
                            foundation::Instant aNow)
{
  if (!budget_) {
    budget_ = foundation::MakeTokenBucket(
      kSentLinesPerSecond, kBurstSeconds * kSentLinesPerSecond, aNow);
  }
  if (!foundation::TryCharge(*budget_, 1, aNow)) {
    ++leftOut_;
    return;
  }
  foundation::LogChange(
    "control",
    "configuration-sent",
    { { "host", aHost },
      { "revision", std::to_string(aConfiguration.revision()) },
      { "since", std::to_string(aConfiguration.base_revision()) },
      { "index", std::to_string(aSender.index_) },
      { "term", std::to_string(aSender.term_) },
      { "confirmed", aSender.confirmed_ ? "true" : "false" },
      { "left_out", std::to_string(leftOut_) } });
  leftOut_ = 0;
}

} // namespace wigeonlb::daemon::control
