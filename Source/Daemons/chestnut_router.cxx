#include "Daemons/daemon_main.h"
#include "Daemons/router_node.h"

int main(int argc, char** argv) {
  return chestnuthead::daemon_main<chestnuthead::router_node, chestnuthead::router_file_settings>(
      "chestnut-router", argc, argv, chestnuthead::parse_router_settings);
}
