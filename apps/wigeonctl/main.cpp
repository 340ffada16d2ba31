#include <iostream>

#include "commands.h"

int
main(int argc, char** argv)
{
  using namespace wigeonlb;
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  foundation::Findings findings;
  const ctl::CtlSettings settings =
    ctl::ParseCommandLine(arguments, ctl::ReadEnvironment, findings);
  if (!findings.empty()) {
    std::cerr << foundation::ToString(findings) << "see wigeonctl --help\n";
    return static_cast<int>(ctl::ExitCode::BadInput);
  }
  const ctl::CommandResult result = ctl::RunCommand(settings, std::cin);
  std::cout << result.output_ << std::flush;
  std::cerr << result.error_;
  return static_cast<int>(result.exitCode_);
}
