#include <GatewayMain.h>

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

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

/// A gateway process that listens on free ports of one address and can reach no
/// store.
class GatewayProcess {
public:
  explicit GatewayProcess(const std::string &Directory) {
    const std::string Path = Directory + "/settings.json";
    std::ofstream(Path) << R"({
        "host":"h","failure_domain":"d","caller_address":"127.0.0.1:0",
        "readiness_address":"127.0.0.1:0","directory_address":"127.0.0.1:0",
        "peer_address":"127.0.0.1:0","store_address":"127.0.0.1:1",
        "stop_time_s":6,"address_lifetime_maximum_s":5,"retry_ratio":0.2,
        "retry_slack":58,"retry_window_s":10,"probes_per_target_per_s":60})";
    int Ends[2] = {-1, -1};
    EXPECT_EQ(::pipe(Ends), 0);
    Child = ::fork();
    EXPECT_GE(Child, 0);
    if (Child == 0) {
      ::dup2(Ends[1], STDOUT_FILENO);
      ::close(Ends[0]);
      ::close(Ends[1]);
      std::_Exit(runGateway(Path, false));
    }
    ::close(Ends[1]);
    Output = Ends[0];
  }

  ~GatewayProcess() {
    ::kill(Child, SIGKILL);
    ::waitpid(Child, nullptr, 0);
    ::close(Output);
  }

  GatewayProcess(const GatewayProcess &) = delete;
  GatewayProcess &operator=(const GatewayProcess &) = delete;

  /// Waits until the process has written this text to its log. Returns false if
  /// the process ends before.
  bool waitForLog(std::string_view Expected) {
    char Bytes[4096];
    while (Written.find(Expected) == std::string::npos) {
      const auto Count = ::read(Output, Bytes, sizeof(Bytes));
      if (Count <= 0)
        return false;
      Written.append(Bytes, static_cast<std::size_t>(Count));
    }
    return true;
  }

private:
  pid_t Child = -1;
  int Output = -1;
  std::string Written;
};

// Guards against a port that a gateway takes although its settings do not name
// it, which another program on the host may have.
TEST(GatewayMain, TwoGatewaysStartOnOneAddress) {
  std::string Directory = testing::TempDir() + "gateways-XXXXXX";
  ASSERT_NE(::mkdtemp(Directory.data()), nullptr);
  GatewayProcess First(Directory);
  EXPECT_TRUE(First.waitForLog("event=start"));
  GatewayProcess Second(Directory);
  EXPECT_TRUE(Second.waitForLog("event=start"));
  std::filesystem::remove_all(Directory);
}

} // namespace
} // namespace comfreyrill
