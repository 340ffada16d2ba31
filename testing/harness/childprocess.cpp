#include "testing/harness/childprocess.h"

#include <csignal>
#include <stdexcept>

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wigeonlb::testing::harness {

ChildProcess::ChildProcess(std::vector<std::string> aArguments)
{
  int pipeFds[2] = {};
  if (pipe(pipeFds) != 0) {
    throw std::runtime_error("can't create a pipe");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipeFds[1], STDOUT_FILENO);
  posix_spawn_file_actions_addclose(&actions, pipeFds[0]);
  posix_spawn_file_actions_addclose(&actions, pipeFds[1]);
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (std::string& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const int error = posix_spawn(
    &id_, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipeFds[1]);
  output_ = pipeFds[0];
  if (error != 0) {
    id_ = -1;
    throw std::runtime_error("can't start " + aArguments[0]);
  }
  char byte = 0;
  while (read(output_, &byte, 1) == 1 && byte != '\n') {
    firstLine_.push_back(byte);
  }
}

ChildProcess::~ChildProcess()
{
  Signal(SIGKILL);
  Wait();
  close(output_);
}

std::string
ChildProcess::Address() const
{
  return firstLine_.substr(firstLine_.rfind(' ') + 1);
}

std::string
ChildProcess::ReadRest()
{
  std::string text;
  char chunk[4096];
  for (ssize_t bytes = read(output_, chunk, sizeof chunk); bytes > 0;
       bytes = read(output_, chunk, sizeof chunk)) {
    text.append(chunk, static_cast<std::size_t>(bytes));
  }
  return text;
}

void
ChildProcess::Signal(int aSignal) const
{
  if (id_ > 0) {
    kill(id_, aSignal);
  }
}

int
ChildProcess::Wait()
{
  int status = 0;
  if (id_ <= 0 || waitpid(id_, &status, 0) != id_) {
    return -1;
  }
  id_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace wigeonlb::testing::harness
