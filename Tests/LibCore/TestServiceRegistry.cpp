#include <LibCore/ServiceRegistry.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

struct Alpha {
  int Value = 0;
};
struct Beta {};

TEST(ServiceRegistry, FindsAnAddedService) {
  ServiceRegistry Registry;
  ASSERT_TRUE(Registry.add("alpha", std::make_shared<Alpha>(Alpha{7})));
  auto Found = Registry.find<Alpha>("alpha");
  ASSERT_TRUE(Found.has_value());
  EXPECT_EQ(Found.value()->Value, 7);
}

// Guards against silently replacing a service that was registered under the
// same name.
TEST(ServiceRegistry, RefusesSecondServiceOfSameName) {
  ServiceRegistry Registry;
  ASSERT_TRUE(Registry.add("alpha", std::make_shared<Alpha>()));
  auto Second = Registry.add("alpha", std::make_shared<Alpha>());
  ASSERT_FALSE(Second.has_value());
  EXPECT_EQ(Second.error().Kind, ErrorKind::Conflict);
}

// Guards against a cast of a service to a type that it was not registered with.
TEST(ServiceRegistry, RefusesWrongType) {
  ServiceRegistry Registry;
  ASSERT_TRUE(Registry.add("alpha", std::make_shared<Alpha>()));
  auto Found = Registry.find<Beta>("alpha");
  ASSERT_FALSE(Found.has_value());
  EXPECT_EQ(Found.error().Kind, ErrorKind::InvalidInput);
}

} // namespace
} // namespace comfreyrill
