#include "configuration/located_json.h"

#include <boost/iterator/transform_iterator.hpp>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace burdockwheel::configuration {

namespace {

constexpr std::size_t kMostDepth = 16;

// The line of the last character read that is not white space. The lexer reads
// one character past a number, so white space must not count.
struct LineCounter {
  int line = 1;
  int line_of_last_token = 1;

  void Read(char character) {
    if (character == '\n') {
      ++this->line;
      return;
    }
    if (character == ' ' || character == '\t' || character == '\r') return;
    this->line_of_last_token = this->line;
  }
};

// Builds the tree from the events of nlohmann's parser.
class TreeBuilder : public nlohmann::json_sax<nlohmann::json> {
 public:
  // `lines` receives the line of each value, unless it is null.
  TreeBuilder(const LineCounter& counter, std::string_view file,
              ConfigurationFaults& faults, LocatedJson::LineByPointer* lines)
      : counter(counter), file(file), faults(faults), lines(lines) {}

  bool null() override { return this->AddScalar(nullptr); }
  bool boolean(bool value) override { return this->AddScalar(value); }
  bool number_integer(number_integer_t value) override {
    return this->AddScalar(value);
  }
  bool number_unsigned(number_unsigned_t value) override {
    return this->AddScalar(value);
  }
  bool number_float(number_float_t value, const string_t& /*text*/) override {
    return this->AddScalar(value);
  }
  bool string(string_t& value) override {
    return this->AddScalar(std::move(value));
  }
  bool binary(binary_t& /*value*/) override { return false; }

  bool start_object(std::size_t /*elements*/) override {
    return this->Open(nlohmann::json::object());
  }
  bool start_array(std::size_t /*elements*/) override {
    return this->Open(nlohmann::json::array());
  }
  bool end_object() override { return this->Close(); }
  bool end_array() override { return this->Close(); }

  bool key(string_t& name) override {
    Level& level = this->levels.back();
    if (level.value->contains(name)) {
      this->AddFault(FaultReason::kDuplicateKey,
                     ExtendPointer(this->Pointer(), name), "");
    }
    level.key = std::move(name);
    return true;
  }

  // The faulty token stays out of the fault, as it may be part of a secret.
  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const nlohmann::json::exception& /*error*/) override {
    this->AddFault(FaultReason::kNotJson, this->Pointer(),
                   "JSON as RFC 8259 says");
    return false;
  }

  nlohmann::json TakeRoot() { return std::move(this->root); }

 private:
  struct Level {
    nlohmann::json* value;
    std::string key;  // of the member that was read last, if it is an object
  };

  // Returns the pointer of the innermost object or array that is open.
  std::string Pointer() const {
    std::string pointer;
    for (std::size_t depth = 0; depth + 1 < this->levels.size(); ++depth)
      pointer = ExtendPointer(pointer, TokenIn(this->levels[depth]));
    return pointer;
  }

  // Returns the token of the value that was put into the level last.
  static std::string TokenIn(const Level& level) {
    if (level.value->is_object()) return level.key;
    return std::to_string(level.value->size() - 1);
  }

  void AddFault(FaultReason reason, std::string pointer, std::string expected) {
    this->faults.push_back({reason, std::string(this->file),
                            this->counter.line_of_last_token,
                            std::move(pointer), std::move(expected)});
  }

  bool AddScalar(nlohmann::json value) {
    this->Place(std::move(value));
    return true;
  }

  // Puts the value where the parser stands.
  nlohmann::json* Place(nlohmann::json value) {
    nlohmann::json* placed = &this->root;
    if (this->levels.empty()) {
      this->root = std::move(value);
    } else if (this->levels.back().value->is_array()) {
      Level& level = this->levels.back();
      level.value->push_back(std::move(value));
      placed = &level.value->back();
    } else {
      Level& level = this->levels.back();
      placed = &((*level.value)[level.key] = std::move(value));
    }
    if (this->lines != nullptr) this->NoteLine();
    return placed;
  }

  void NoteLine() {
    std::string pointer;
    if (!this->levels.empty())
      pointer = ExtendPointer(this->Pointer(), TokenIn(this->levels.back()));
    (*this->lines)[pointer] = this->counter.line_of_last_token;
  }

  bool Open(nlohmann::json value) {
    nlohmann::json* placed = this->Place(std::move(value));
    this->levels.push_back({placed, {}});
    if (this->levels.size() <= kMostDepth) return true;
    this->AddFault(FaultReason::kTooDeep, this->Pointer(),
                   "at most " + std::to_string(kMostDepth) + " levels");
    return false;
  }

  bool Close() {
    this->levels.pop_back();
    return true;
  }

  const LineCounter& counter;
  std::string_view file;
  ConfigurationFaults& faults;
  LocatedJson::LineByPointer* lines;
  nlohmann::json root;
  std::vector<Level> levels;
};

// Parses the text; returns null after adding a fault if it is no JSON.
std::shared_ptr<const nlohmann::json> ParseOrNull(
    std::string_view text, std::string_view file, ConfigurationFaults& faults,
    LocatedJson::LineByPointer* lines) {
  LineCounter counter;
  if (lines == nullptr) {
    // Faults need the line: a text that has some is read once more.
    ConfigurationFaults unplaced;
    TreeBuilder builder(counter, file, unplaced, nullptr);
    const bool is_parsed = nlohmann::json::sax_parse(text, &builder);
    if (is_parsed && unplaced.empty())
      return std::make_shared<const nlohmann::json>(builder.TakeRoot());
  }
  TreeBuilder builder(counter, file, faults, lines);
  // The parser reads each character once, in order.
  const auto count = [&counter](char character) {
    counter.Read(character);
    return character;
  };
  const bool is_parsed = nlohmann::json::sax_parse(
      boost::make_transform_iterator(text.data(), count),
      boost::make_transform_iterator(text.data() + text.size(), count),
      &builder);
  if (!is_parsed) return nullptr;
  return std::make_shared<const nlohmann::json>(builder.TakeRoot());
}

}  // namespace

LocatedJson::LocatedJson(std::shared_ptr<const nlohmann::json> root,
                         std::string_view text, std::string file)
    : root(std::move(root)), text(text), file(std::move(file)) {}

std::optional<LocatedJson> LocatedJson::TryParse(std::string_view text,
                                                 std::string_view file,
                                                 std::size_t most_bytes,
                                                 ConfigurationFaults& faults) {
  if (text.size() > most_bytes) {
    faults.push_back({FaultReason::kTooLarge, std::string(file), 1, "",
                      "at most " + std::to_string(most_bytes) + " bytes"});
    return std::nullopt;
  }
  auto root = ParseOrNull(text, file, faults, nullptr);
  if (root == nullptr) return std::nullopt;
  return LocatedJson(std::move(root), text, std::string(file));
}

int LocatedJson::LineOf(std::string pointer) const {
  if (this->lines.empty()) {
    ConfigurationFaults known;
    ParseOrNull(this->text, this->file, known, &this->lines);
  }
  while (true) {
    const auto found = this->lines.find(pointer);
    if (found != this->lines.end()) return found->second;
    const auto slash = pointer.rfind('/');
    if (slash == std::string::npos) return 1;
    pointer.resize(slash);
  }
}

std::string ExtendPointer(std::string_view pointer, std::string_view token) {
  std::string extended(pointer);
  extended += '/';
  for (const char character : token) {
    if (character == '~') {
      extended += "~0";
    } else if (character == '/') {
      extended += "~1";
    } else {
      extended += character;
    }
  }
  return extended;
}

}  // namespace burdockwheel::configuration
