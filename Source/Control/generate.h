#pragma once

#include "chestnuthead/configuration.h"

#include "Control/answers.h"

namespace chestnuthead {

/// The configuration that follows from a team's answers. Nothing is taken out
/// of service in it.
configuration_document generate_configuration(const answers& form);

}  // namespace chestnuthead
