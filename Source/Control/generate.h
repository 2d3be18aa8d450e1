#pragma once

#include "chestnuthead/configuration.h"

#include "Control/questionnaire.h"

namespace chestnuthead {

/// Generates the configuration from the answers. It takes nothing out of service.
configuration_document generate_configuration(const questionnaire_answers& answers);

}  // namespace chestnuthead
