// Registry of the plug-ins of one kind, by name.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockwheel::kernel {

// Maps the names of plug-ins to their factories. A plug-in registers itself by
// a static Registration in its own source file; the library that holds plug-ins
// is linked as a whole archive.
template <typename Plugin, typename... Arguments>
class PluginRegistry {
 public:
  using Factory = std::function<std::unique_ptr<Plugin>(Arguments...)>;

  // Registers a factory for the lifetime of the program.
  class Registration {
   public:
    Registration(std::string name, Factory factory) {
      PluginRegistry::Factories().emplace(std::move(name), std::move(factory));
    }
  };

  // Returns a new plug-in, or null if none is registered under this name.
  static std::unique_ptr<Plugin> CreateOrNull(std::string_view name,
                                              Arguments... arguments) {
    const auto found = PluginRegistry::Factories().find(name);
    if (found == PluginRegistry::Factories().end()) return nullptr;
    return found->second(std::forward<Arguments>(arguments)...);
  }

  static bool IsRegistered(std::string_view name) {
    return PluginRegistry::Factories().contains(name);
  }

  // Returns the registered names in alphabetical order.
  static std::vector<std::string> Names() {
    std::vector<std::string> names;
    for (const auto& [name, factory] : PluginRegistry::Factories())
      names.push_back(name);
    return names;
  }

 private:
  static std::map<std::string, Factory, std::less<>>& Factories() {
    static std::map<std::string, Factory, std::less<>> factories;
    return factories;
  }
};

}  // namespace burdockwheel::kernel
