#include "AnswerCheck.h"

namespace comfreyrill::standins {

std::string expectedAnswer(std::string_view Token, std::size_t Bytes) {
  const std::string Line = "echo " + std::string(Token) + "\n";
  std::string Answer;
  Answer.reserve(Bytes + Line.size() + 4);
  do
    Answer += Line;
  while (Answer.size() < Bytes);
  Answer += "end\n";
  return Answer;
}

} // namespace comfreyrill::standins
