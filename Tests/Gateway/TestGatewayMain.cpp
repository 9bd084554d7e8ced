#include "GatewayProcess.h"

#include <chrono>
#include <sys/stat.h>
#include <thread>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

// Guards against a reload that ends a process that has just been started. The
// settings come through a pipe, so that the process is known to be starting
// until they are written.
TEST(GatewayMain, ReloadDuringTheStartDoesNotEndTheProcess) {
  std::string Directory = testing::TempDir() + "gateway-XXXXXX";
  ASSERT_NE(::mkdtemp(Directory.data()), nullptr);
  const std::string Path = Directory + "/settings.json";
  ASSERT_EQ(::mkfifo(Path.c_str(), 0600), 0);
  const pid_t Child = ::fork();
  ASSERT_GE(Child, 0);
  std::signal(SIGPIPE, SIG_IGN);
  if (Child == 0)
    std::_Exit(runGateway(Path, false));

  // Opening the pipe waits until the process reads its settings.
  std::ofstream Pipe(Path);
  ::kill(Child, SIGHUP);
  std::this_thread::sleep_for(100ms);
  Pipe << "not settings";
  Pipe.close();
  int Status = 0;
  EXPECT_EQ(::waitpid(Child, &Status, 0), Child);
  EXPECT_TRUE(WIFEXITED(Status));
  EXPECT_EQ(WEXITSTATUS(Status), 2);
  std::filesystem::remove_all(Directory);
}

// Guards against a port that a gateway takes although its settings do not name
// it, which another program on the host may have.
TEST(GatewayMain, TwoGatewaysStartOnOneAddress) {
  const auto Settings = gatewaySettings({"127.0.0.1", 1});
  GatewayProcess First(Settings);
  EXPECT_TRUE(First.waitForLog("event=start"));
  GatewayProcess Second(Settings);
  EXPECT_TRUE(Second.waitForLog("event=start"));
}

} // namespace
} // namespace comfreyrill
