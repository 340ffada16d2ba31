#pragma once

#include "control/controlruntime.h"
#include "http/httprouter.h"
#include "operations/operatorquestions.h"
#include "operator/operatorservice.h"
#include "ports.h"
#include "traffic/trafficruntime.h"

namespace wigeonlb::daemon::operations {

//! Answers operators from the state of the control and traffic threads, and
//! asks the control leader for what only it knows. The routes run on the
//! control thread.
class Operations
{
public:
  Operations(control::ControlRuntime& aControl,
             traffic::TrafficRuntime& aTraffic,
             foundation::MetricsRegistry& aRegistry);

  void RegisterRoutes(http::HttpRouter& aRouter);

  //! The newest numbered configuration, or nothing when no leader is sure of
  //! it. Control thread only.
  using DocumentDone =
    std::function<void(std::optional<ConfigurationDocument>)>;
  void ReadDocument(const DocumentDone& aDone);

private:
  using QueryDone = operators::OperatorCallbacks::QueryDone;
  using ChangeDone = operators::OperatorCallbacks::ChangeDone;

  void Show(operators::ShowKind aKind, const QueryDone& aDone);
  void ShowHosts(const QueryDone& aDone);
  void ShowConfig(const QueryDone& aDone);
  void ShowSessions(const QueryDone& aDone);
  void ShowWhy(const foundation::GroupName& aGroup, const QueryDone& aDone);
  void Explain(const operators::ExplainReadStatement& aStatement,
               const QueryDone& aDone);
  void Submit(wire::ConfigurationChange aChange, const ChangeDone& aDone);
  //! Asks the control leader; this host itself if it is the one.
  void QueryLeader(wire::OperatorQuestion aQuestion,
                   OperatorQuestions::Done aDone);
  //! Explains where a read would go; nothing when this host is no owner. The
  //! answer comes on the group's traffic thread.
  void ExplainLocally(const operators::ExplainReadStatement& aStatement,
                      OperatorQuestions::Done aDone);
  //! An owner of the group that can be asked; empty when there is none.
  foundation::HostId FindReachableOwner(
    const foundation::GroupName& aGroup) const;
  //! Answers another host's question, or tells that this host can't.
  void OnQuestion(const foundation::HostId& aFrom,
                  const wire::OperatorQuestion& aQuestion);

  control::ControlRuntime& control_;
  traffic::TrafficRuntime& traffic_;
  foundation::MetricsRegistry& registry_;
  OperatorQuestions questions_;
};

} // namespace wigeonlb::daemon::operations
