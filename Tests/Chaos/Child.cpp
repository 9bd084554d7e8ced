#include "Child.h"

#include <csignal>
#include <fstream>

namespace comfreyrill::chaos {

namespace process = boost::process;

Child::Child(const std::string &Program,
             const std::vector<std::string> &Arguments, std::string OutputFile)
    : OutputFile(std::move(OutputFile)),
      Process(process::exe = Program, process::args = Arguments,
              (process::std_out & process::std_err) > this->OutputFile,
              process::std_in < process::null) {}

Child::~Child() {
  std::error_code Ignored;
  if (Process.running(Ignored)) {
    signal(SIGKILL);
    Process.wait(Ignored);
  }
}

void Child::signal(int Number) {
  std::error_code Ignored;
  // A process that has been reaped gives its id back, so that the signal could
  // reach a process of somebody else.
  if (Process.running(Ignored))
    ::kill(Process.id(), Number);
}

bool Child::isRunning() {
  std::error_code Ignored;
  return Process.running(Ignored);
}

std::string Child::firstLine() const {
  std::ifstream File(OutputFile);
  std::string Line;
  // Without a line end the rest of the line is still to come.
  if (!std::getline(File, Line) || File.eof())
    return {};
  return Line;
}

} // namespace comfreyrill::chaos
