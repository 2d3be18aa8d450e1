#include "Daemons/agent_node.h"
#include "Daemons/daemon_main.h"

int main(int argc, char** argv) {
  return chestnuthead::daemon_main<chestnuthead::agent_node, chestnuthead::agent_file_settings>(
      "chestnut-agent", argc, argv, chestnuthead::parse_agent_settings);
}
