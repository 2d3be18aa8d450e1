#include <map>
#include <mutex>

#include "Control/command_line.h"
#include "StandIns/http_stand_in.h"
#include "StandIns/platform_table.h"
#include "StandIns/platform_vms.h"

/// A stand-in for the platform: table service, object store and VM list, with faults that
/// `POST /fault` injects.
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

struct platform {
  stand_in::platform_table table;
  stand_in::platform_vms vms;
  std::mutex guard;
  std::map<std::string, std::string> objects;
};

void handle_object(platform& app, HTTPServerRequest& request, HTTPServerResponse& response) {
  const std::string& key = request.getURI();
  const std::lock_guard lock(app.guard);
  if (request.getMethod() == "PUT") {
    app.objects[key] = stand_in::read_body(request);
    stand_in::send_json(response, 200, std::string("{}"));
    return;
  }
  const auto found = app.objects.find(key);
  if (found == app.objects.end()) {
    stand_in::send_error(response, 404, "There is no such object.");
    return;
  }
  response.setContentType("application/octet-stream");
  response.sendBuffer(found->second.data(), found->second.size());
}

void handle_command(platform& app, HTTPServerRequest& request, HTTPServerResponse& response) {
  const Poco::JSON::Object::Ptr command = stand_in::read_json(request);
  const bool is_fault = request.getURI() == "/fault";
  const bool done =
      command && (is_fault ? app.table.set_fault(*command) : app.vms.change(*command));
  if (!done) {
    stand_in::send_error(response, 400, "The command is not valid.");
    return;
  }
  stand_in::send_json(response, 200, std::string("{}"));
}

void handle(platform& app, HTTPServerRequest& request, HTTPServerResponse& response) {
  const std::string& path = request.getURI();
  const bool posted = request.getMethod() == "POST";
  if (posted && path == "/table/write") {
    app.table.write(request, response);
  } else if (posted && path == "/table/read") {
    app.table.read(request, response);
  } else if (posted && (path == "/fault" || path == "/vms")) {
    handle_command(app, request, response);
  } else if (path == "/vms") {
    stand_in::send_json(response, 200, app.vms.list());
  } else if (path == "/counts") {
    stand_in::send_json(response, 200, app.table.counts());
  } else if (path.starts_with("/objects/")) {
    handle_object(app, request, response);
  } else {
    stand_in::send_error(response, 404, "There is no such path.");
  }
}

}  // namespace

int main(int argc, char** argv) {
  platform app;
  stand_in::listen_options listen;
  const auto done = chestnuthead::handle_command_line(
      argc, argv, "Stands in for the platform: table service, object store and VM list.",
      {{"port", &listen.port, "Port on 127.0.0.1; 0 selects any free port."},
       {"ready-file", &listen.ready_file,
        "File that the address is written to once the port is open."},
       {"vm-lag-ms", &app.vms.lag_ms, "Time until the VM list shows a change."},
       {"writes-per-second", &app.table.writes_per_second,
        "Write transactions per second before 429 is answered."},
       {"reads-per-second", &app.table.reads_per_second,
        "Read transactions per second before 429 is answered."}});
  if (done) {
    return *done;
  }
  return stand_in::serve(listen,
                         [&app](auto& request, auto& response) { handle(app, request, response); });
}
