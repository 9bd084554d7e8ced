#pragma once

#include <boost/process.hpp>
#include <string>
#include <vector>

namespace comfreyrill::chaos {

/// A child process of the driver. Its output is written to a file.
class ChildProcess {
public:
  ChildProcess(const std::string &Program,
               const std::vector<std::string> &Arguments,
               std::string OutputFile);
  /// Kills and reaps the process if it is still running.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void signal(int Number);
  /// Returns true until the process has ended and has been reaped.
  bool isRunning();
  int exitCode() const { return Process.exit_code(); }
  int id() const { return Process.id(); }
  /// Returns the first complete line of the output, or an empty string.
  std::string firstLine() const;

private:
  std::string OutputFile;
  boost::process::child Process;
};

} // namespace comfreyrill::chaos
