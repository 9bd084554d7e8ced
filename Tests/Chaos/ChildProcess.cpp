#include "ChildProcess.h"

#include <csignal>
#include <fstream>

namespace comfreyrill::chaos {

namespace process = boost::process;

ChildProcess::ChildProcess(const std::string &Program,
                           const std::vector<std::string> &Arguments,
                           std::string OutputFile)
    : OutputFile(std::move(OutputFile)),
      Process(process::exe = Program, process::args = Arguments,
              (process::std_out & process::std_err) > this->OutputFile,
              process::std_in < process::null) {}

ChildProcess::~ChildProcess() {
  std::error_code Ignored;
  if (Process.running(Ignored)) {
    signal(SIGKILL);
    Process.wait(Ignored);
  }
}

void ChildProcess::signal(int Number) {
  std::error_code Ignored;
  // The id of a reaped process can be reused, so the signal could reach an
  // unrelated process.
  if (Process.running(Ignored))
    ::kill(Process.id(), Number);
}

bool ChildProcess::isRunning() {
  std::error_code Ignored;
  return Process.running(Ignored);
}

std::string ChildProcess::firstLine() const {
  std::ifstream File(OutputFile);
  std::string Line;
  // A line without a terminating newline is not complete yet.
  if (!std::getline(File, Line) || File.eof())
    return {};
  return Line;
}

} // namespace comfreyrill::chaos
