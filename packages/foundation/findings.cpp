#include "foundation/findings.h"

#include <utility>

namespace wigeonlb::foundation {

void
AddFinding(Findings& aFindings, std::string aLocation, std::string aMessage)
{
  aFindings.push_back(Finding{ std::move(aLocation), std::move(aMessage) });
}

std::string
ToString(const Findings& aFindings)
{
  std::string text;
  for (const Finding& finding : aFindings) {
    text += finding.location_ + ": " + finding.message_ + "\n";
  }
  return text;
}

} // namespace wigeonlb::foundation
