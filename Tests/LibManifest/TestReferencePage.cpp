#include <LibJson/JsonText.h>
#include <LibManifest/ManifestReader.h>
#include <LibManifest/ManifestWriter.h>

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace comfreyrill {
namespace {

std::string readFile(const std::string &Name) {
  std::ifstream File(COMFREYRILL_SOURCE_DIRECTORY "/" + Name);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// A manifest in which all optional fields have their defaults.
Manifest defaultManifest() {
  Manifest Out;
  ServiceConfig Service;
  Service.Name = ServiceName("s");
  Service.Targets.push_back(
      {TargetId("t"), {"127.0.0.1", 1}, FailureDomain("a"), 6});
  Out.Services.push_back(Service);
  return Out;
}

/// Value of the field at a path, taking the first element of each list.
boost::json::value valueAt(const boost::json::value &Root,
                           const std::string &Pattern) {
  boost::json::value Current = Root;
  std::stringstream Parts(Pattern);
  std::string Part;
  while (std::getline(Parts, Part, '.')) {
    const bool IsList = Part.ends_with("[]");
    Current = boost::json::value(
        Current.at(IsList ? Part.substr(0, Part.size() - 2) : Part));
    if (IsList)
      Current = boost::json::value(Current.at(0));
  }
  return Current;
}

// Guards against a reference page that differs from the parser: a missing or
// obsolete field, a different range or a different default.
TEST(ReferencePage, ListsEveryFieldAsTheParserReadsIt) {
  Manifest Full = defaultManifest();
  Full.Services[0].Operations.push_back({"GET", "/", true});
  JsonDocument Document(formatManifest(Full));
  Document.recordFields();
  readManifest(Document, Document.root());
  ASSERT_TRUE(Document.finish("manifest").has_value());

  const boost::json::value Defaults = manifestToJson(defaultManifest());
  std::string Expected;
  for (const JsonFieldDescription &Field : Document.fields()) {
    if (Field.Pattern.empty() || Field.Pattern.ends_with(']'))
      continue;
    std::string Default = "required";
    if (!Field.Required) {
      const auto Value = valueAt(Defaults, Field.Pattern);
      Default = Value.is_object() ? "{}" : prettyJson(Value);
      Default = "`" + Default.substr(0, Default.find('\n')) + "`";
    }
    Expected += "| `" + Field.Pattern + "` | " + Field.Allowed + " | " +
                Default + " |\n";
  }

  std::string Found;
  std::stringstream Lines(readFile("docs/manifest.md"));
  std::string Line;
  while (std::getline(Lines, Line)) {
    if (!Line.starts_with("| `"))
      continue;
    // The last column is a free-text description.
    const std::size_t Last = Line.rfind(" | ");
    Found += Line.substr(0, Last) + " |\n";
  }
  EXPECT_EQ(Found, Expected);
}

struct Example {
  const char *File;
  const char *Service;
  std::size_t Targets;
  std::uint32_t Slots;
  std::uint32_t Connections;
  std::size_t Domains;
};

// Guards against example manifests that are rejected or do not describe the
// deployments that they are named after.
TEST(Examples, DescribeBothDeployments) {
  for (const Example &Wanted : std::initializer_list<Example>{
           {"soitinlaina", "catalogue", 24, 6, 200, 3},
           {"soitinlaina", "returns", 6, 6, 200, 3},
           {"hollins", "stock-and-reorder", 30, 2, 250, 4},
           {"hollins", "delivery", 8, 2, 250, 4}}) {
    const auto Parsed = parseManifest(
        readFile("examples/" + std::string(Wanted.File) + ".json"));
    ASSERT_TRUE(Parsed.has_value()) << Parsed.error().Message;
    EXPECT_GT(Parsed.value().HostsMaximum, 17U);
    bool IsPresent = false;
    for (const ServiceConfig &Service : Parsed.value().Services) {
      if (Service.Name.Value != Wanted.Service)
        continue;
      IsPresent = true;
      EXPECT_EQ(Service.Targets.size(), Wanted.Targets);
      std::vector<std::string> Domains;
      for (const TargetConfig &Target : Service.Targets) {
        EXPECT_EQ(Target.Slots, Wanted.Slots);
        EXPECT_EQ(Target.MaxConnections, Wanted.Connections);
        if (std::find(Domains.begin(), Domains.end(), Target.Domain.Value) ==
            Domains.end())
          Domains.push_back(Target.Domain.Value);
      }
      EXPECT_EQ(Domains.size(), Wanted.Domains);
    }
    EXPECT_TRUE(IsPresent) << Wanted.Service;
  }
}

} // namespace
} // namespace comfreyrill
