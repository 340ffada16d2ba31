#include "tests/shardfixture.h"

#include <algorithm>

#include <boost/asio/write.hpp>

#include "foundation/keydigest.h"

namespace wigeonlb::daemon::traffic {

namespace {

std::string
Frame(const std::string& aType, const std::string& aPayload)
{
  const std::size_t length = aPayload.size() + 4;
  std::string frame = aType;
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame += static_cast<char>(length >> static_cast<unsigned>(shift));
  }
  return frame + aPayload;
}

} // namespace

std::error_code
RecordingPort::SendForward(const foundation::HostId& aHost,
                           wire::PeerMessage aMessage)
{
  if (std::find(unreachable_.begin(), unreachable_.end(), aHost) !=
      unreachable_.end()) {
    return std::make_error_code(std::errc::host_unreachable);
  }
  sent_.emplace_back(aHost, std::move(aMessage));
  return {};
}

ShardFixture::ShardFixture()
  : client_(context_)
  , metrics_(registry_)
{
  ShardSettings settings;
  settings.entry_.host_ = "entry";
  settings.entry_.boot_ = kBoot;
  settings.entry_.dataCentre_ = "dc";
  settings.entry_.statementDeadline_ = std::chrono::seconds(60);
  settings.entry_.port_ = &port_;
  settings.entry_.metrics_ = &metrics_;
  settings.cachedStatements_ = 16;
  shard_ = std::make_unique<TrafficShard>(context_, 0, settings, listener_);
  auto routes = std::make_shared<RoutingTable>();
  routes->groups_["g"].owners_ = { "h1", "h2" };
  routes->databases_["g"].group_ = "g";
  shard_->SetRoutes(std::move(routes));
  caller::CallerServerOptions options;
  options.address_ = "127.0.0.1";
  const caller::CallerWorker worker{ &context_, shard_.get() };
  server_ = std::make_unique<caller::CallerServer>(
    std::span<const caller::CallerWorker>(&worker, 1), options);
  REQUIRE_FALSE(server_->Listen());
}

void
ShardFixture::SetOrganisations(
  const std::map<std::string, foundation::Tenant>& aOrganisations)
{
  auto routes = std::make_shared<RoutingTable>();
  routes->groups_["g"].owners_ = { "h1", "h2" };
  routes->databases_["g"].group_ = "g";
  auto organisations = std::make_shared<OrganisationTable>();
  for (const auto& [key, organisation] : aOrganisations) {
    organisations->byKeyDigest_[foundation::DigestKey(key)] = organisation;
    organisations->large_.insert(organisation);
  }
  routes->organisations_ = std::move(organisations);
  shard_->SetRoutes(std::move(routes));
}

ShardFixture::~ShardFixture()
{
  server_->CloseAll();
  RunUntil([this] { return server_->SessionCount() == 0; });
}

void
ShardFixture::Connect()
{
  using namespace std::string_literals;
  client_.connect(
    { boost::asio::ip::make_address("127.0.0.1"), server_->Port() });
  client_.non_blocking(true);
  boost::asio::write(client_,
                     boost::asio::buffer(Frame(
                       "", "\0\3\0\0user\0"s + user_ + "\0database\0g\0\0"s)));
  ReadUntil(Frame("Z", "I"));
}

void
ShardFixture::Query(const std::string& aSql)
{
  boost::asio::write(client_, boost::asio::buffer(Frame("Q", aSql + '\0')));
}

std::pair<foundation::HostId, wire::ForwardRequest>
ShardFixture::NextRequest()
{
  const auto isRequest = [](const auto& aSent) {
    return aSent.second.has_forward_request();
  };
  REQUIRE(RunUntil([&] {
    return std::any_of(port_.sent_.begin(), port_.sent_.end(), isRequest);
  }));
  const auto found =
    std::find_if(port_.sent_.begin(), port_.sent_.end(), isRequest);
  auto request = std::make_pair(found->first, found->second.forward_request());
  port_.sent_.erase(found);
  sessionNumber_ = request.second.session();
  return request;
}

std::uint64_t
ShardFixture::BeginTransaction()
{
  Query("BEGIN");
  const auto [host, begin] = NextRequest();
  REQUIRE(host == "h1");
  wire::ForwardEnd end = MakeEnd(begin, wire::OUTCOME_DONE);
  end.set_transaction_status("T");
  SendEnd(end);
  ReadUntil(Frame("Z", "T"));
  return begin.request();
}

std::optional<wire::ForwardClose>
ShardFixture::NextClose(const foundation::HostId& aHost,
                        std::chrono::milliseconds aTimeout)
{
  const auto isClose = [&](const auto& aSent) {
    return aSent.first == aHost && aSent.second.has_forward_close();
  };
  const auto find = [&] { return std::ranges::find_if(port_.sent_, isClose); };
  if (!RunUntil([&] { return find() != port_.sent_.end(); }, aTimeout)) {
    return std::nullopt;
  }
  const wire::ForwardClose close = find()->second.forward_close();
  port_.sent_.erase(find());
  return close;
}

void
ShardFixture::AnswerCheck(bool aKnown)
{
  const auto find = [&] {
    return std::ranges::find_if(port_.sent_, [](const auto& aSent) {
      return aSent.second.has_forward_check();
    });
  };
  REQUIRE(RunUntil([&] { return find() != port_.sent_.end(); }));
  const wire::ForwardCheck check = find()->second.forward_check();
  port_.sent_.erase(find());
  wire::PeerMessage message;
  wire::ForwardChecked& checked = *message.mutable_forward_checked();
  checked.set_session(check.session());
  checked.set_request(check.request());
  checked.set_known(aKnown);
  shard_->OnPeerMessage(std::move(message));
}

void
ShardFixture::ConfirmClose(const foundation::HostId& aFrom,
                           std::uint64_t aRequest)
{
  wire::PeerMessage message;
  message.set_from(aFrom);
  wire::ForwardClosed& closed = *message.mutable_forward_closed();
  closed.set_session(sessionNumber_);
  closed.set_group("g");
  closed.set_request(aRequest);
  shard_->OnPeerMessage(std::move(message));
}

void
ShardFixture::AnswerNotOwner(const wire::ForwardRequest& aRequest)
{
  wire::ForwardEnd end = MakeEnd(aRequest, wire::OUTCOME_NOT_RUN);
  end.set_not_owner(true);
  SendEnd(end);
}

std::string
ShardFixture::ReadUntil(const std::string& aText)
{
  RunUntil([&] {
    ReadAvailable();
    return ended_ || received_.find(aText) != std::string::npos;
  });
  std::string received;
  received.swap(received_);
  return received;
}

void
ShardFixture::ReadAvailable()
{
  char chunk[4096];
  boost::system::error_code error;
  const std::size_t count =
    client_.read_some(boost::asio::buffer(chunk), error);
  received_.append(chunk, count);
  ended_ = ended_ || (error && error != boost::asio::error::would_block);
}

bool
ShardFixture::RunUntil(const std::function<bool()>& aCondition,
                       std::chrono::milliseconds aTimeout)
{
  const foundation::Instant end = foundation::SteadyNow() + aTimeout;
  while (!aCondition() && foundation::SteadyNow() < end) {
    context_.restart();
    context_.run_one_for(std::chrono::milliseconds(1));
  }
  return aCondition();
}

void
ShardFixture::SendFrames(const wire::ForwardRequest& aRequest,
                         std::uint64_t aSequence,
                         const std::string& aFrames)
{
  wire::PeerMessage message;
  wire::ForwardFrames& frames = *message.mutable_forward_frames();
  frames.set_session(aRequest.session());
  frames.set_request(aRequest.request());
  frames.set_sequence(aSequence);
  frames.set_frames(aFrames);
  shard_->OnPeerMessage(std::move(message));
}

void
ShardFixture::SendEnd(wire::ForwardEnd aEnd)
{
  wire::PeerMessage message;
  message.set_boot(ownerBoot_);
  *message.mutable_forward_end() = std::move(aEnd);
  shard_->OnPeerMessage(std::move(message));
}

wire::ForwardEnd
ShardFixture::MakeEnd(const wire::ForwardRequest& aRequest,
                      wire::Outcome aOutcome) const
{
  wire::ForwardEnd end;
  end.set_session(aRequest.session());
  end.set_request(aRequest.request());
  end.set_outcome(aOutcome);
  end.set_target_answered(aOutcome == wire::OUTCOME_DONE);
  end.set_transaction_status("I");
  return end;
}

} // namespace wigeonlb::daemon::traffic
