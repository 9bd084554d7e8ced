#include <LibJson/NearestName.h>

#include <algorithm>
#include <cstddef>

namespace comfreyrill {

namespace {

constexpr std::size_t MaximumDistance = 2;
// Field names are short; the limit bounds the CPU time for a malicious file.
constexpr std::size_t MaximumLength = 64;

// Edit distance in which swapping two adjacent letters counts as one edit
// (optimal string alignment).
std::size_t editDistance(std::string_view A, std::string_view B) {
  std::vector<std::size_t> BeforePrevious(B.size() + 1);
  std::vector<std::size_t> Previous(B.size() + 1);
  std::vector<std::size_t> Current(B.size() + 1);
  for (std::size_t J = 0; J <= B.size(); ++J)
    Previous[J] = J;
  for (std::size_t I = 1; I <= A.size(); ++I) {
    Current[0] = I;
    for (std::size_t J = 1; J <= B.size(); ++J) {
      const std::size_t Replaced =
          Previous[J - 1] + (A[I - 1] == B[J - 1] ? 0 : 1);
      Current[J] = std::min({Previous[J] + 1, Current[J - 1] + 1, Replaced});
      if (I > 1 && J > 1 && A[I - 1] == B[J - 2] && A[I - 2] == B[J - 1])
        Current[J] = std::min(Current[J], BeforePrevious[J - 2] + 1);
    }
    std::swap(BeforePrevious, Previous);
    std::swap(Previous, Current);
  }
  return Previous[B.size()];
}

} // namespace

std::string_view nearestName(std::string_view Misspelt,
                             const std::vector<std::string_view> &Known) {
  std::string_view Nearest;
  if (Misspelt.size() > MaximumLength)
    return Nearest;
  std::size_t Best = MaximumDistance + 1;
  for (const std::string_view Name : Known) {
    const std::size_t Distance = editDistance(Misspelt, Name);
    if (Distance < Best && Distance * 2 < Name.size()) {
      Best = Distance;
      Nearest = Name;
    }
  }
  return Nearest;
}

} // namespace comfreyrill
