#include <LibCore/ServiceRegistry.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

struct Alpha {
  int Value = 0;
};
struct Beta {};

TEST(ServiceRegistry, FindsWhatWasAdded) {
  ServiceRegistry Registry;
  ASSERT_TRUE(Registry.add("alpha", std::make_shared<Alpha>(Alpha{7})));
  auto Found = Registry.find<Alpha>("alpha");
  ASSERT_TRUE(Found.has_value());
  EXPECT_EQ(Found.value()->Value, 7);
}

// Guards against a wiring fault that would replace a service silently.
TEST(ServiceRegistry, RefusesSecondServiceOfSameName) {
  ServiceRegistry Registry;
  ASSERT_TRUE(Registry.add("alpha", std::make_shared<Alpha>()));
  auto Second = Registry.add("alpha", std::make_shared<Alpha>());
  ASSERT_FALSE(Second.has_value());
  EXPECT_EQ(Second.error().Kind, ErrorKind::Conflict);
}

// Guards against a cast to a type that the service does not have.
TEST(ServiceRegistry, RefusesWrongType) {
  ServiceRegistry Registry;
  ASSERT_TRUE(Registry.add("alpha", std::make_shared<Alpha>()));
  auto Found = Registry.find<Beta>("alpha");
  ASSERT_FALSE(Found.has_value());
  EXPECT_EQ(Found.error().Kind, ErrorKind::InvalidInput);
}

} // namespace
} // namespace comfreyrill
