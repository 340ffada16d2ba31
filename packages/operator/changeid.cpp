#include "operator/changeid.h"

#include <iomanip>
#include <random>
#include <sstream>

namespace wigeonlb::operators {

std::string
MakeChangeId()
{
  std::random_device random;
  std::ostringstream id;
  id << std::hex << std::setfill('0');
  for (int word = 0; word < 4; ++word) {
    id << std::setw(8) << random();
  }
  return id.str();
}

} // namespace wigeonlb::operators
