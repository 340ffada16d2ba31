#include "daemonmain.h"

int
main(int argc, char** argv)
{
  return wigeonlb::daemon::DaemonMain(
    argc, argv, wigeonlb::daemon::StandardPorts());
}
