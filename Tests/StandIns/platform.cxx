#include <map>
#include <mutex>

#include "Control/command_line.h"
#include "StandIns/http_stand_in.h"
#include "StandIns/platform_table.h"
#include "StandIns/platform_vms.h"

/// The platform: table service, object store and VM list, with faults on
/// command.
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

struct platform {
  stand_in::platform_table table;
  stand_in::platform_vms vms;
  std::mutex guard;
  std::map<std::string, std::string> objects;
};

void handle_object(platform& place, HTTPServerRequest& request, HTTPServerResponse& response) {
  const std::string& key = request.getURI();
  const std::lock_guard lock(place.guard);
  if (request.getMethod() == "PUT") {
    place.objects[key] = stand_in::read_body(request);
    stand_in::send_json(response, 200, std::string("{}"));
    return;
  }
  const auto found = place.objects.find(key);
  if (found == place.objects.end()) {
    stand_in::send_error(response, 404, "There is no such object.");
    return;
  }
  response.setContentType("application/octet-stream");
  response.sendBuffer(found->second.data(), found->second.size());
}

void handle_order(platform& place, HTTPServerRequest& request, HTTPServerResponse& response) {
  const Poco::JSON::Object::Ptr order = stand_in::read_json(request);
  const bool is_fault = request.getURI() == "/fault";
  const bool done = order && (is_fault ? place.table.set_fault(*order) : place.vms.change(*order));
  if (!done) {
    stand_in::send_error(response, 400, "The order is not valid.");
    return;
  }
  stand_in::send_json(response, 200, std::string("{}"));
}

void handle(platform& place, HTTPServerRequest& request, HTTPServerResponse& response) {
  const std::string& path = request.getURI();
  const bool posted = request.getMethod() == "POST";
  if (posted && path == "/table/write") {
    place.table.write(request, response);
  } else if (posted && path == "/table/read") {
    place.table.read(request, response);
  } else if (posted && (path == "/fault" || path == "/vms")) {
    handle_order(place, request, response);
  } else if (path == "/vms") {
    stand_in::send_json(response, 200, place.vms.list());
  } else if (path == "/counts") {
    stand_in::send_json(response, 200, place.table.counts());
  } else if (path.starts_with("/objects/")) {
    handle_object(place, request, response);
  } else {
    stand_in::send_error(response, 404, "There is no such path.");
  }
}

}  // namespace

int main(int argc, char** argv) {
  platform place;
  stand_in::listen_options listen;
  const auto done = chestnuthead::handle_command_line(
      argc, argv, "Stands in for the platform: table service, object store and VM list.",
      {{"port", &listen.port, "Port on 127.0.0.1; 0 takes any."},
       {"ready-file", &listen.ready_file, "File that gets the address once it is open."},
       {"vm-lag-ms", &place.vms.lag_ms, "Time until a change shows in the VM list."},
       {"writes-per-second", &place.table.writes_per_second, "Write transactions borne."},
       {"reads-per-second", &place.table.reads_per_second, "Read transactions borne."}});
  if (done) {
    return *done;
  }
  return stand_in::serve(
      listen, [&place](auto& request, auto& response) { handle(place, request, response); });
}
