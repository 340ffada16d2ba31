#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "control.pb.h"
#include "core/grants/holderrecord.h"
#include "foundation/clock.h"
#include "foundation/logposition.h"
#include "foundation/termepoch.h"

//! What the holders of a group's grants have acknowledged to callers, as known
//! to the leader. For groups whose writes are acknowledged once one replica has
//! received them: the holders know which writes these are, whichever targets
//! have received them.
namespace wigeonlb::core::grants {

//! What one holder has told of its writes in a term.
struct HolderWrites
{
  foundation::TermEpoch issuedTerm_; //!< of its last grant
  std::uint64_t issuedSequence_ = 0; //!< of the heartbeat that this answered
  bool hasToldAll_ = false;          //!< after it stopped using its last grant
  foundation::Instant toldAt_;       //!< time of its last heartbeat
  std::uint32_t unknown_ = 0;        //!< writes with an unknown outcome
};

//! What all holders have told of their writes in a term.
struct TermWrites
{
  std::uint64_t term_ = 0;
  //! This leader knows every holder that had a grant of the term.
  bool knowsAllHolders_ = false;
  std::uint64_t leastOffset_ = 0; //!< see wire::AcknowledgedWrites
  std::uint64_t mostOffset_ = 0;
  std::map<HolderKey, HolderWrites> holders_;
};

//! Bounds of the position up to which writes were acknowledged.
struct AcknowledgedBounds
{
  foundation::LogPosition least_; //!< the last write ends here or later
  foundation::LogPosition most_;  //!< of the writes that holders told of
  //! Nothing after most_ was acknowledged. Only then is most_ a bound for all
  //! writes.
  bool isExact_ = false;
};

//! Starts the record of a term. aKnowsAllHolders: this leader issues all of its
//! grants.
void
BeginTerm(TermWrites& aWrites, std::uint64_t aTerm, bool aKnowsAllHolders);

//! Records a grant that is issued in reply to a heartbeat.
void
RecordIssued(TermWrites& aWrites,
             const HolderKey& aHolder,
             foundation::TermEpoch aTerm,
             std::uint64_t aSequence);

//! The record of each group whose writes are acknowledged once one replica has
//! them.
using WritesByGroup = std::map<foundation::GroupName, TermWrites>;

//! Records the grant that answers a heartbeat, if the group's option makes its
//! holder a source of such writes, and adds to the grant what all holders told.
//! So this outlasts them and this leader.
void
NoteWriter(WritesByGroup& aWrites,
           const wire::GroupState& aGroup,
           const wire::Heartbeat& aHeartbeat,
           wire::Grant& aGrant);

//! Records what a heartbeat of the holder tells of the group. The caller has
//! checked that no newer heartbeat of it was processed.
void
RecordTold(TermWrites& aWrites,
           const HolderKey& aHolder,
           std::string_view aGroup,
           const wire::Heartbeat& aHeartbeat,
           foundation::Instant aNow);

//! Whether every holder to which this leader has issued a grant has told of its
//! writes since aSince.
bool
HaveAllToldSince(const TermWrites& aWrites, foundation::Instant aSince);

//! The bounds while no grant of the group's term is in use, or as of the last
//! heartbeats while some are. aWrites: null if nothing was told.
AcknowledgedBounds
FindAcknowledged(const TermWrites* aWrites, const wire::GroupState& aGroup);

} // namespace wigeonlb::core::grants
