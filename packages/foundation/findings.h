#pragma once

#include <string>
#include <vector>

namespace wigeonlb::foundation {

//! One problem in an input, and its location.
struct Finding
{
  //! A flag, an environment variable, `file:line:column`, or `line:column`.
  std::string location_;
  std::string message_;
};

//! Problems collected while an input is checked, to be reported together.
using Findings = std::vector<Finding>;

void
AddFinding(Findings& aFindings, std::string aLocation, std::string aMessage);

//! One line per finding: `location: message`.
std::string
ToString(const Findings& aFindings);

} // namespace wigeonlb::foundation
