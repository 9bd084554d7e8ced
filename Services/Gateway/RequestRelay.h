#pragma once

#include "TargetProber.h"

#include <LibGateway/RelayChoice.h>
#include <LibMembership/DomainTable.h>
#include <LibMembership/MemberTable.h>

#include <memory>
#include <unordered_map>

namespace comfreyrill {

/// A request that this host passes on to another one.
struct RelayedRequest {
  /// Lent to the relay, which may move the body out and back.
  HttpRequest &Message;
  RequestId Id;
  /// What the other host has to know beside the message.
  RelayMetadata Metadata;
  HttpLimits AnswerLimits;
  TimePoint Deadline;
  /// Connection of the relay in progress, with which its owner cancels it.
  std::shared_ptr<HttpConnection> &ActiveConnection;
  const bool &HasCallerLeft;
};

/// What has become of a relayed request.
struct RelayResult {
  /// Complete answer of another host.
  std::optional<HttpResponse> Answer;
  /// A host may have run the request although it has not answered.
  bool MayHaveRun = false;
};

/// Passes requests on to other hosts while this one reaches no targets. The
/// other host is asked as callers ask it; it does not relay again.
class RequestRelay : public std::enable_shared_from_this<RequestRelay> {
public:
  RequestRelay(const GatewayDependencies &Dependencies,
               const MemberTable &Members, const DomainTable &Domains,
               TargetProber &Prober);

  /// Starts looking for targets that answer whenever this host is cut off.
  void start();

  /// True when there are other hosts, whether or not one of them can take a
  /// request.
  bool hasOtherHosts() const;

  /// Asks one host after the other. The request stays valid until then.
  Awaitable<RelayResult> relay(RelayedRequest &Request);

private:
  struct Attempt {
    std::optional<HttpResponse> Answer;
    WriteProgress Progress = WriteProgress::NothingWritten;
  };

  Awaitable<Attempt> attempt(RelayedRequest &Request, Endpoint Remote);
  std::vector<RelayHost> hosts() const;
  Awaitable<void> runChecks();
  Awaitable<void> checkTargets();
  void log(const RelayedRequest &Request, const Endpoint &Remote,
           std::string_view Outcome, TimePoint Begin) const;

  const GatewayDependencies &Dependencies;
  const MemberTable &Members;
  const DomainTable &Domains;
  TargetProber &Prober;
  std::unordered_map<Endpoint, TimePoint> UnfitUntil;
  Timer CheckTimer;
};

} // namespace comfreyrill
