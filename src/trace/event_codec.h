// The form that the engine's events have in a trace.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "engine/engine_settings.h"
#include "engine/events.h"
#include "kernel/instant.h"

namespace burdockwheel::trace {

// Times are written in nanoseconds since `start`.
nlohmann::json ToJson(const engine::Event& event, kernel::Instant start);

// Reads what ToJson wrote. Throws nlohmann::json::exception or
// std::invalid_argument if the text is not of that form.
engine::Event EventFromJson(const nlohmann::json& json, kernel::Instant start);

// The settings that the engine's decisions depend on. The test switches and the
// router's settings are left at their defaults.
nlohmann::json ToJson(const engine::EngineSettings& settings);
engine::EngineSettings SettingsFromJson(const nlohmann::json& json);

}  // namespace burdockwheel::trace
