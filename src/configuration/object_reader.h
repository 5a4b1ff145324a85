// Reads the members of a JSON object that a person wrote and collects every
// fault in them.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration_fault.h"

namespace burdockwheel::configuration {

class LocatedJson;

enum class Presence { kOptional, kRequired };

// The least and the greatest value that a number may have, or the fewest and
// the most elements or bytes of a list or string.
struct Range {
  std::int64_t least = 0;
  std::int64_t most = 0;
};

// The form that a string must have.
struct StringForm {
  std::function<bool(std::string_view)> is_right;
  std::string description;
};

// A name: 1 to 64 letters, digits, '.', '_' and '-'.
const StringForm& NameForm();

// The same of up to 1,024 characters, for names that others give.
const StringForm& LongNameForm();

// Each reading method leaves its target as it is, and so at its default, if the
// member is missing or faulty.
class ObjectReader {
 public:
  // Reads the value at `pointer`, which is `value` and should be an object.
  // All arguments must outlive the reader.
  ObjectReader(const LocatedJson& document, const nlohmann::json& value,
               std::string pointer, ConfigurationFaults& faults);

  void ReadInteger(std::string_view key, Range range, int& target,
                   Presence presence = Presence::kOptional);
  void ReadInteger64(std::string_view key, Range range, std::int64_t& target);
  void ReadUnsigned(std::string_view key, Range range, std::uint64_t& target,
                    Presence presence = Presence::kOptional);
  void ReadNumber(std::string_view key, double least, double most,
                  double& target);
  void ReadBoolean(std::string_view key, bool& target,
                   Presence presence = Presence::kOptional);
  void ReadString(std::string_view key, const StringForm& form,
                  std::string& target, Presence presence = Presence::kOptional);

  // Reads a whole number of `Duration`; `range` is in its unit, which the key
  // names.
  template <typename Duration>
  void ReadDuration(std::string_view key, Range range, Duration& target,
                    Presence presence = Presence::kOptional) {
    const auto count = this->TryReadInteger(key, range, presence);
    if (count) target = Duration(*count);
  }

  // Returns a reader of a member that is an object, or nothing.
  std::optional<ObjectReader> TryReadObject(
      std::string_view key, Presence presence = Presence::kOptional);

  // Returns readers of the objects in a list whose length is in `range`.
  std::vector<ObjectReader> ReadObjects(
      std::string_view key, Range range,
      Presence presence = Presence::kOptional);

  // Reads a list of strings whose length is in `range`.
  void ReadStrings(std::string_view key, Range range, const StringForm& form,
                   std::vector<std::string>& target);

  bool Has(std::string_view key) const;

  // Records a fault of the member `key`, or of the object if it is empty.
  void AddFault(FaultReason reason, std::string_view key, std::string expected);

  // Records a fault for each member that was not asked for. Called last.
  void Finish();

  const std::string& Pointer() const { return this->pointer; }
  int Line(std::string_view key) const;

 private:
  // Returns the member, or null after recording that it is missing if it must
  // be there.
  const nlohmann::json* FindOrNull(std::string_view key, Presence presence);
  std::optional<std::int64_t> TryReadInteger(std::string_view key, Range range,
                                             Presence presence);
  void AddUnknown(const std::string& key);

  const LocatedJson* document;
  const nlohmann::json* value;
  std::string pointer;
  ConfigurationFaults* faults;
  std::vector<std::string> known_keys;
};

}  // namespace burdockwheel::configuration
