#pragma once

#include "control/controlruntime.h"
#include "http/httprouter.h"
#include "operations/operatorquestions.h"
#include "operator/operatorservice.h"
#include "ports.h"
#include "traffic/trafficruntime.h"

namespace wigeonlb::daemon::operations {

//! Answers operators from the state of the control and traffic threads, and
//! queries the control leader for state that only it has. The routes run on the
//! control thread.
class Operations
{
public:
  Operations(control::ControlRuntime& aControl,
             traffic::TrafficRuntime& aTraffic,
             foundation::MetricsRegistry& aRegistry);

  void RegisterRoutes(http::HttpRouter& aRouter);

  //! Reads the newest numbered configuration; nothing if no control leader with
  //! a lease answered, or there is none yet. Control thread only.
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
  //! Queries the control leader, which may be this host.
  void QueryLeader(wire::OperatorQuestion aQuestion,
                   OperatorQuestions::Done aDone);
  //! Logs the id of the document that a reader gets, if it differs from the
  //! last one.
  void LogRead(const std::optional<ConfigurationDocument>& aDocument);
  //! Explains which targets a read may go to; nothing if this host is not an
  //! owner. aDone is called on the group's traffic thread.
  void ExplainLocally(const operators::ExplainReadStatement& aStatement,
                      OperatorQuestions::Done aDone);
  //! Returns an owner of the group that is reachable, this host if it is one;
  //! empty if there is none.
  foundation::HostId FindReachableOwner(
    const foundation::GroupName& aGroup) const;
  //! Answers another host's question, or replies that this host can't.
  void OnQuestion(const foundation::HostId& aFrom,
                  const wire::OperatorQuestion& aQuestion);

  control::ControlRuntime& control_;
  traffic::TrafficRuntime& traffic_;
  foundation::MetricsRegistry& registry_;
  OperatorQuestions questions_;
  std::string lastReadId_; //!< of the document read last, or "none"
};

} // namespace wigeonlb::daemon::operations
