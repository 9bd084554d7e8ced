#include <LibManifest/Envelope.h>

#include <LibCore/Hash.h>
#include <LibManifest/ManifestReader.h>
#include <LibManifest/ManifestWriter.h>
#include <LibManifest/PlatformLimits.h>

#include <boost/json/serialize.hpp>
#include <limits>

namespace comfreyrill {

namespace json = boost::json;

namespace {

// Hosts exchange manifest numbers as signed 64-bit integers.
constexpr std::uint64_t MaximumNumber =
    std::numeric_limits<std::int64_t>::max();

std::vector<ApplyRecord> readHistory(JsonDocument &Document, JsonReader Reader,
                                     const ManifestEnvelope &Envelope) {
  std::vector<ApplyRecord> History;
  ManifestNumber Previous{0};
  Reader.array(0, ApplyHistoryLength, [&](JsonReader Element) {
    ApplyRecord Record;
    const bool HasId = Element.required("apply_id").identifier(Record.Apply);
    const bool HasNumber = Element.required("number").integer(
        Record.Number.Value, 1, MaximumNumber);
    if (HasNumber && Envelope.Number.Value > 0 &&
        (Record.Number.Value <= Previous.Value ||
         Record.Number.Value >= Envelope.Number.Value))
      Document.addFault(
          {Element.path() + ".number", std::to_string(Record.Number.Value),
           "numbers that increase and stay below the envelope's number"});
    if (HasId && Record.Apply == Envelope.Apply)
      Document.addFault({Element.path() + ".apply_id",
                         "the apply id of the envelope",
                         "the id of an earlier apply"});
    Previous = Record.Number;
    History.push_back(std::move(Record));
  });
  return History;
}

} // namespace

ApplyId newApplyId(Random &Generator) {
  const std::string First = hexadecimal(Generator());
  return ApplyId(First + hexadecimal(Generator()));
}

Result<ManifestEnvelope> parseEnvelope(std::string_view Text) {
  JsonDocument Document(Text, {MaximumPlatformValueBytes, 16});
  JsonReader Root = Document.root();
  ManifestEnvelope Envelope;
  Root.required("number").integer(Envelope.Number.Value, 1, MaximumNumber);
  Root.required("apply_id").identifier(Envelope.Apply);
  Envelope.History = readHistory(Document, Root.required("history"), Envelope);
  Envelope.Content = readManifest(Document, Root.required("manifest"));
  TRY(Document.finish("manifest envelope"));
  return Envelope;
}

Result<std::string> formatEnvelope(const ManifestEnvelope &Envelope) {
  json::array History;
  for (const ApplyRecord &Record : Envelope.History)
    History.push_back(json::object{{"apply_id", Record.Apply.Value},
                                   {"number", Record.Number.Value}});
  std::string Text = json::serialize(
      json::object{{"number", Envelope.Number.Value},
                   {"apply_id", Envelope.Apply.Value},
                   {"history", std::move(History)},
                   {"manifest", manifestToJson(Envelope.Content)}});
  if (Text.size() > MaximumPlatformValueBytes)
    return Error{ErrorKind::TooLarge,
                 "the manifest takes " + std::to_string(Text.size()) +
                     " bytes with its envelope, but the platform stores at "
                     "most " +
                     std::to_string(MaximumPlatformValueBytes) +
                     "; remove services or targets"};
  return Text;
}

} // namespace comfreyrill
