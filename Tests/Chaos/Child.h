#pragma once

#include <boost/process.hpp>
#include <string>
#include <vector>

namespace comfreyrill::chaos {

/// A process that the driver started. Its output goes to a file.
class Child {
public:
  Child(const std::string &Program, const std::vector<std::string> &Arguments,
        std::string OutputFile);
  /// Kills and reaps the process if it still runs.
  ~Child();
  Child(const Child &) = delete;
  Child &operator=(const Child &) = delete;

  void signal(int Number);
  /// True until the process has ended and has been reaped.
  bool isRunning();
  int exitCode() const { return Process.exit_code(); }
  int id() const { return Process.id(); }
  /// The first whole line of the output, or an empty text.
  std::string firstLine() const;

private:
  std::string OutputFile;
  boost::process::child Process;
};

} // namespace comfreyrill::chaos
