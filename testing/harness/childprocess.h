#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace wigeonlb::testing::harness {

//! Child process of a test. The destructor kills and reaps it.
class ChildProcess
{
public:
  //! Starts aArguments[0] and blocks until it has printed its first line to
  //! standard output or closed it. Throws std::runtime_error on failure.
  explicit ChildProcess(std::vector<std::string> aArguments);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  //! First line of standard output, empty if the program printed nothing.
  const std::string& FirstLine() const { return firstLine_; }

  //! Text after the last space of the first line, which ends with the address
  //! that the program listens on.
  std::string Address() const;

  //! Returns the remaining standard output; blocks until the program closes it.
  std::string ReadRest();

  void Signal(int aSignal) const;

  //! Waits for the process to exit. Returns its exit status, or -1 if it was
  //! ended by a signal or has been reaped before.
  int Wait();

  pid_t Id() const { return id_; }

private:
  pid_t id_ = -1;
  int output_ = -1;
  std::string firstLine_;
};

} // namespace wigeonlb::testing::harness
