#pragma once

#include <string>
#include <system_error>

#include "storage/memberstore.h"
#include "storage/tests/memoryfilesystem.h"

namespace wigeonlb::storage {

inline const std::string kPath = "data";

//! A member's data folder on an in-memory file system.
struct Fixture
{
  MemoryFileSystem files_;
  DataFolder folder_;
  MemberStore store_;
  MemberImage image_;
  foundation::Findings findings_;
};

inline std::error_code
Open(Fixture& aFixture)
{
  aFixture.findings_.clear();
  if (const std::error_code error =
        OpenDataFolder(aFixture.files_, kPath, "a", aFixture.folder_)) {
    return error;
  }
  aFixture.store_ = MemberStore();
  return Load(
    aFixture.folder_, aFixture.store_, aFixture.image_, aFixture.findings_);
}

inline wire::HardState
MakeHardState(std::uint64_t aTerm)
{
  wire::HardState hardState;
  hardState.set_term(aTerm);
  return hardState;
}

} // namespace wigeonlb::storage
