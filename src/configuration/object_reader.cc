#include "configuration/object_reader.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/located_json.h"

namespace burdockwheel::configuration {

namespace {

constexpr std::size_t kMostNameBytes = 64;
constexpr std::size_t kMostLongNameBytes = 1024;

bool IsName(std::string_view text, std::size_t most_bytes) {
  if (text.empty() || text.size() > most_bytes) return false;
  return std::ranges::all_of(text, [](char character) {
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '.' ||
           character == '_' || character == '-';
  });
}

// Returns the key without the unit at its end.
std::string_view WithoutUnit(std::string_view key) {
  static constexpr std::array<std::string_view, 13> kUnits = {
      "_ns",    "_us",      "_ms",  "_seconds", "_s",  "_minutes", "_min",
      "_hours", "_percent", "_kib", "_mib",     "_kb", "_bytes"};
  for (const auto unit : kUnits) {
    if (key.ends_with(unit)) return key.substr(0, key.size() - unit.size());
  }
  return key;
}

std::string RangeText(std::string_view noun, Range range) {
  return std::string(noun) + " from " + std::to_string(range.least) + " to " +
         std::to_string(range.most);
}

bool IsIn(Range range, std::size_t count) {
  return count >= static_cast<std::size_t>(range.least) &&
         count <= static_cast<std::size_t>(range.most);
}

}  // namespace

const StringForm& NameForm() {
  static const StringForm kForm{
      [](std::string_view text) { return IsName(text, kMostNameBytes); },
      "1 to 64 letters, digits, '.', '_' and '-'"};
  return kForm;
}

const StringForm& LongNameForm() {
  static const StringForm kForm{
      [](std::string_view text) { return IsName(text, kMostLongNameBytes); },
      "1 to 1024 letters, digits, '.', '_' and '-'"};
  return kForm;
}

ObjectReader::ObjectReader(const LocatedJson& document,
                           const nlohmann::json& value, std::string pointer,
                           ConfigurationFaults& faults)
    : document(&document),
      value(&value),
      pointer(std::move(pointer)),
      faults(&faults) {
  if (!value.is_object())
    this->AddFault(FaultReason::kWrongType, "", "an object");
}

bool ObjectReader::Has(std::string_view key) const {
  return this->value->is_object() && this->value->contains(key);
}

int ObjectReader::Line(std::string_view key) const {
  return this->document->LineOf(ExtendPointer(this->pointer, key));
}

const nlohmann::json* ObjectReader::FindOrNull(std::string_view key,
                                               Presence presence) {
  this->known_keys.emplace_back(key);
  if (!this->value->is_object()) return nullptr;
  const auto found = this->value->find(key);
  if (found != this->value->end()) return &*found;
  if (presence == Presence::kRequired)
    this->AddFault(FaultReason::kMissing, key, "");
  return nullptr;
}

void ObjectReader::AddFault(FaultReason reason, std::string_view key,
                            std::string expected) {
  std::string where =
      key.empty() ? this->pointer : ExtendPointer(this->pointer, key);
  const int line = this->document->LineOf(where);
  this->faults->push_back({reason, this->document->File(), line,
                           std::move(where), std::move(expected)});
}

std::optional<std::int64_t> ObjectReader::TryReadInteger(std::string_view key,
                                                         Range range,
                                                         Presence presence) {
  const nlohmann::json* member = this->FindOrNull(key, presence);
  if (member == nullptr) return std::nullopt;
  if (!member->is_number_integer()) {
    this->AddFault(FaultReason::kWrongType, key,
                   RangeText("an integer", range));
    return std::nullopt;
  }
  const bool is_too_large =
      member->is_number_unsigned() &&
      member->get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const auto number = is_too_large ? 0 : member->get<std::int64_t>();
  if (is_too_large || number < range.least || number > range.most) {
    this->AddFault(FaultReason::kOutOfRange, key,
                   RangeText("an integer", range));
    return std::nullopt;
  }
  return number;
}

void ObjectReader::ReadInteger(std::string_view key, Range range, int& target,
                               Presence presence) {
  const auto number = this->TryReadInteger(key, range, presence);
  if (number) target = static_cast<int>(*number);
}

void ObjectReader::ReadInteger64(std::string_view key, Range range,
                                 std::int64_t& target) {
  const auto number = this->TryReadInteger(key, range, Presence::kOptional);
  if (number) target = *number;
}

void ObjectReader::ReadUnsigned(std::string_view key, Range range,
                                std::uint64_t& target, Presence presence) {
  const auto number = this->TryReadInteger(key, range, presence);
  if (number) target = static_cast<std::uint64_t>(*number);
}

void ObjectReader::ReadNumber(std::string_view key, double least, double most,
                              double& target) {
  const nlohmann::json* member = this->FindOrNull(key, Presence::kOptional);
  if (member == nullptr) return;
  const std::string expected = "a number from " + nlohmann::json(least).dump() +
                               " to " + nlohmann::json(most).dump();
  if (!member->is_number()) {
    this->AddFault(FaultReason::kWrongType, key, expected);
    return;
  }
  const auto number = member->get<double>();
  if (!(number >= least && number <= most)) {
    this->AddFault(FaultReason::kOutOfRange, key, expected);
    return;
  }
  target = number;
}

void ObjectReader::ReadBoolean(std::string_view key, bool& target,
                               Presence presence) {
  const nlohmann::json* member = this->FindOrNull(key, presence);
  if (member == nullptr) return;
  if (!member->is_boolean()) {
    this->AddFault(FaultReason::kWrongType, key, "true or false");
    return;
  }
  target = member->get<bool>();
}

void ObjectReader::ReadString(std::string_view key, const StringForm& form,
                              std::string& target, Presence presence) {
  const nlohmann::json* member = this->FindOrNull(key, presence);
  if (member == nullptr) return;
  if (!member->is_string()) {
    this->AddFault(FaultReason::kWrongType, key, form.description);
    return;
  }
  const auto& text = member->get_ref<const std::string&>();
  if (!form.is_right(text)) {
    this->AddFault(FaultReason::kMalformed, key, form.description);
    return;
  }
  target = text;
}

std::optional<ObjectReader> ObjectReader::TryReadObject(std::string_view key,
                                                        Presence presence) {
  const nlohmann::json* member = this->FindOrNull(key, presence);
  if (member == nullptr) return std::nullopt;
  return ObjectReader(*this->document, *member,
                      ExtendPointer(this->pointer, key), *this->faults);
}

std::vector<ObjectReader> ObjectReader::ReadObjects(std::string_view key,
                                                    Range range,
                                                    Presence presence) {
  const nlohmann::json* member = this->FindOrNull(key, presence);
  if (member == nullptr) return {};
  if (!member->is_array()) {
    this->AddFault(FaultReason::kWrongType, key, "a list of objects");
    return {};
  }
  if (!IsIn(range, member->size())) {
    this->AddFault(FaultReason::kOutOfRange, key,
                   RangeText("a list of length", range));
    return {};
  }
  std::vector<ObjectReader> readers;
  const std::string list_pointer = ExtendPointer(this->pointer, key);
  for (std::size_t index = 0; index < member->size(); ++index) {
    readers.emplace_back(*this->document, (*member)[index],
                         ExtendPointer(list_pointer, std::to_string(index)),
                         *this->faults);
  }
  return readers;
}

void ObjectReader::ReadStrings(std::string_view key, Range range,
                               const StringForm& form,
                               std::vector<std::string>& target) {
  const nlohmann::json* member = this->FindOrNull(key, Presence::kOptional);
  if (member == nullptr) return;
  if (!member->is_array()) {
    this->AddFault(FaultReason::kWrongType, key, "a list of strings");
    return;
  }
  if (!IsIn(range, member->size())) {
    this->AddFault(FaultReason::kOutOfRange, key,
                   RangeText("a list of length", range));
    return;
  }
  target.clear();
  for (std::size_t index = 0; index < member->size(); ++index) {
    const nlohmann::json& element = (*member)[index];
    if (element.is_string() && form.is_right(element.get<std::string>())) {
      target.push_back(element.get<std::string>());
      continue;
    }
    const std::string where =
        ExtendPointer(ExtendPointer(this->pointer, key), std::to_string(index));
    this->faults->push_back({element.is_string() ? FaultReason::kMalformed
                                                 : FaultReason::kWrongType,
                             this->document->File(),
                             this->document->LineOf(where), where,
                             form.description});
  }
}

void ObjectReader::Finish() {
  if (!this->value->is_object()) return;
  for (const auto& [key, member] : this->value->items()) {
    if (std::ranges::find(this->known_keys, key) == this->known_keys.end())
      this->AddUnknown(key);
  }
}

void ObjectReader::AddUnknown(const std::string& key) {
  for (const auto& known : this->known_keys) {
    if (WithoutUnit(known) != WithoutUnit(key)) continue;
    this->AddFault(FaultReason::kWrongUnit, key, "\"" + known + "\"");
    return;
  }
  std::string names;
  for (const auto& known : this->known_keys)
    names += (names.empty() ? "" : ", ") + known;
  this->AddFault(FaultReason::kUnknownKey, key, "one of " + names);
}

}  // namespace burdockwheel::configuration
