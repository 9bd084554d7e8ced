#pragma once

#include <GatewayMain.h>
#include <LibCore/Endpoint.h>

#include <array>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/wait.h>
#include <unistd.h>

namespace comfreyrill {

/// Returns the settings of a gateway that listens on free ports.
inline boost::json::object gatewaySettings(const Endpoint &Store) {
  const std::string Free = "127.0.0.1:0";
  return {{"host", "h"},
          {"failure_domain", "west"},
          {"caller_address", Free},
          {"readiness_address", Free},
          {"directory_address", Free},
          {"peer_address", Free},
          {"store_address", formatEndpoint(Store)},
          {"stop_time_s", 6},
          {"address_lifetime_maximum_s", 5},
          {"retry_ratio", 0.2},
          {"retry_slack", 58},
          {"retry_window_s", 10},
          {"probes_per_target_per_s", 60}};
}

/// A gateway in a process of its own.
class GatewayProcess {
public:
  explicit GatewayProcess(const boost::json::object &Settings) {
    std::string Directory = testing::TempDir() + "gateway-XXXXXX";
    EXPECT_NE(::mkdtemp(Directory.data()), nullptr);
    const std::string Path = Directory + "/settings.json";
    std::ofstream(Path) << Settings;
    std::array<int, 2> Ends{-1, -1};
    EXPECT_EQ(::pipe(Ends.data()), 0);
    Child = ::fork();
    EXPECT_GE(Child, 0);
    if (Child == 0) {
      ::dup2(Ends[1], STDOUT_FILENO);
      // The sockets of the test must not stay open in this process.
      ::close_range(STDERR_FILENO + 1, ~0U, 0);
      std::_Exit(runGateway(Path, false));
    }
    ::close(Ends[1]);
    Output = Ends[0];
    EXPECT_TRUE(waitForLog("event=start"));
    std::filesystem::remove_all(Directory);
  }

  ~GatewayProcess() {
    signal(SIGKILL);
    ::waitpid(Child, nullptr, 0);
    ::close(Output);
  }

  GatewayProcess(const GatewayProcess &) = delete;
  GatewayProcess &operator=(const GatewayProcess &) = delete;

  void signal(int Number) const { ::kill(Child, Number); }

  /// Returns the address for callers, which the start line of the log names.
  Endpoint callers() const { return addressAfter("caller_address="); }
  /// Returns the address for metrics, if the settings name one.
  Endpoint metrics() const {
    return addressAfter("event=metrics_available address=");
  }

  /// Waits until the process has written this text to its log, and calls
  /// Meanwhile again and again. Returns false if the process ends before.
  bool waitForLog(
      std::string_view Expected,
      const std::function<void()> &Meanwhile = [] {}) {
    while (Written.find(Expected) == std::string::npos) {
      Meanwhile();
      if (!readLog())
        return false;
    }
    return true;
  }

  /// Makes room for further lines of the log. A process whose log nobody reads
  /// stops when the pipe is full.
  void discardLog() {
    while (hasOutput(0) && readLog())
      Written.clear();
  }

  /// Returns true once the process has ended.
  bool hasEnded() { return !readLog(); }

private:
  Endpoint addressAfter(std::string_view Field) const {
    const auto Begin = Written.find(Field) + Field.size();
    const auto End = Written.find_first_of(" \n", Begin);
    return parseEndpoint(Written.substr(Begin, End - Begin)).value();
  }

  bool hasOutput(int WaitMilliseconds) const {
    pollfd Readable{Output, POLLIN, 0};
    return ::poll(&Readable, 1, WaitMilliseconds) > 0;
  }

  /// Returns false at the end of the log.
  bool readLog() {
    constexpr int WaitMilliseconds = 5;
    if (!hasOutput(WaitMilliseconds))
      return true;
    std::array<char, 4096> Bytes{};
    const auto Count = ::read(Output, Bytes.data(), Bytes.size());
    if (Count <= 0)
      return false;
    Written.append(Bytes.data(), static_cast<std::size_t>(Count));
    return true;
  }

  pid_t Child = -1;
  int Output = -1;
  std::string Written;
};

} // namespace comfreyrill
