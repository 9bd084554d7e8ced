#include <platform/Settings.h>

#include <gtest/gtest.h>

namespace comfreyrill::platform {
namespace {

// Guards against evacuations that are ignored because of the place of their
// word in the list, and against billed calls for other words that contain it.
TEST(Settings, EvacuationsAreOneWordOfAList) {
  for (const char *Text : {"places", "accounts,places", "places,accounts",
                           "accounts, places ,pipelining"})
    EXPECT_TRUE(includesEvacuations(Text)) << Text;
  for (const char *Text :
       {"", ",", "accounts", "place", "workplaces,placess", "{{contracts}}"})
    EXPECT_FALSE(includesEvacuations(Text)) << Text;
}

} // namespace
} // namespace comfreyrill::platform
