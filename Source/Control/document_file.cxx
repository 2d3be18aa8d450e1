#include "Control/document_file.h"

#include "Control/generate.h"
#include "Control/questionnaire.h"
#include "Net/json_text.h"

namespace chestnuthead {

namespace {

// Only a configuration has the key `pools`; answers have `services`.
bool is_configuration(const std::string& text) {
  const Poco::JSON::Object::Ptr object = parse_json_object(text);
  return !object.isNull() && object->has("pools");
}

}  // namespace

std::variant<configuration_document, command_failure> read_document_file(const std::string& path) {
  const auto text = read_file(path);
  if (const auto* failure = std::get_if<command_failure>(&text)) {
    return *failure;
  }
  if (is_configuration(std::get<std::string>(text))) {
    configuration_result parsed = parse_configuration(std::get<std::string>(text));
    if (const auto* faults = std::get_if<std::vector<settings_fault>>(&parsed)) {
      return report_faults(path, *faults);
    }
    return std::get<configuration_document>(std::move(parsed));
  }
  const answers_result parsed = parse_answers(std::get<std::string>(text));
  if (const auto* faults = std::get_if<std::vector<settings_fault>>(&parsed)) {
    return report_faults(path, *faults);
  }
  return generate_configuration(std::get<questionnaire_answers>(parsed));
}

}  // namespace chestnuthead
