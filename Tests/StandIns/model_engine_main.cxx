#include <optional>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Stringifier.h>
#include <unistd.h>

#include "Control/command_line.h"
#include "StandIns/http_stand_in.h"
#include "StandIns/model_engine.h"

/// A simulated model engine with the chat-completions interface.
namespace {

using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using stand_in::engine_request;
using stand_in::model_engine;

struct engine_server {
  stand_in::engine_options options;
  std::optional<model_engine> engine;
};

// The fields of a request body that the engine uses.
struct completion_call {
  engine_request request;
  std::string model;
  bool stream = false;
};

std::optional<completion_call> parse_call(HTTPServerRequest& request) {
  const Object::Ptr body = stand_in::read_json(request);
  const Poco::JSON::Array::Ptr messages = body ? body->getArray("messages") : nullptr;
  if (!messages || messages->size() == 0) {
    return std::nullopt;
  }
  completion_call call;
  for (std::size_t index = 0; index < messages->size(); ++index) {
    const Object::Ptr message = messages->getObject(static_cast<unsigned>(index));
    if (!message) {
      return std::nullopt;
    }
    call.request.messages.push_back({message->optValue<std::string>("role", ""),
                                     message->optValue<std::string>("content", "")});
  }
  call.request.answer_tokens = body->optValue<std::uint32_t>("max_tokens", 16);
  call.request.priority = body->optValue<std::int64_t>("priority", 0);
  call.model = body->optValue<std::string>("model", "");
  call.stream = body->optValue("stream", false);
  return call;
}

Object make_usage(const completion_call& call, std::uint32_t cached) {
  const std::uint32_t prompt = chestnuthead::count_tokens(call.request.messages);
  Object details;
  details.set("cached_tokens", cached);
  Object usage;
  usage.set("prompt_tokens", prompt);
  usage.set("completion_tokens", call.request.answer_tokens);
  usage.set("total_tokens", prompt + call.request.answer_tokens);
  usage.set("prompt_tokens_details", details);
  return usage;
}

// The common first fields of whole answers and stream events. All bytes before the usage depend
// on the request alone, so that another engine can resume a truncated answer.
Object make_head(const completion_call& call, const char* object_kind) {
  Object head(Poco::JSON_PRESERVE_KEY_ORDER);
  head.set("id", "chatcmpl-" + std::to_string(chestnuthead::hash_messages(call.request.messages)));
  head.set("object", object_kind);
  head.set("created", 0);
  head.set("model", call.model);
  return head;
}

Object make_choice(const char* part, const Object& content, bool last) {
  Object choice(Poco::JSON_PRESERVE_KEY_ORDER);
  choice.set("index", 0);
  choice.set(part, content);
  choice.set("finish_reason", last ? Poco::Dynamic::Var("stop") : Poco::Dynamic::Var());
  return choice;
}

void add_choice(Object& answer, const Object& choice) {
  Poco::JSON::Array choices;
  choices.add(choice);
  answer.set("choices", choices);
}

void send_event(std::ostream& out, const Object& event) {
  out << "data: ";
  event.stringify(out);
  out << "\n\n" << std::flush;
  if (!out) {
    throw Poco::IOException("The caller has disconnected.");
  }
}

void stream_answer(engine_server& app, const completion_call& call, HTTPServerResponse& response) {
  response.setContentType("text/event-stream");
  response.setChunkedTransferEncoding(true);
  std::ostream& out = response.send();
  const auto emit = [&](const std::string& token) {
    Object delta;
    delta.set("content", token);
    Object event = make_head(call, "chat.completion.chunk");
    add_choice(event, make_choice("delta", delta, false));
    send_event(out, event);
  };
  const std::uint32_t cached = app.engine->run(call.request, emit);
  Object last = make_head(call, "chat.completion.chunk");
  add_choice(last, make_choice("delta", Object(), true));
  last.set("system_fingerprint", app.options.name);
  last.set("usage", make_usage(call, cached));
  send_event(out, last);
  out << "data: [DONE]\n\n" << std::flush;
}

void send_answer(engine_server& app, const completion_call& call, HTTPServerResponse& response) {
  std::string text;
  const std::uint32_t cached =
      app.engine->run(call.request, [&text](const std::string& token) { text += token; });
  Object message(Poco::JSON_PRESERVE_KEY_ORDER);
  message.set("role", "assistant");
  message.set("content", text);
  Object answer = make_head(call, "chat.completion");
  add_choice(answer, make_choice("message", message, true));
  answer.set("system_fingerprint", app.options.name);
  answer.set("usage", make_usage(call, cached));
  stand_in::send_json(response, 200, answer);
}

void complete(engine_server& app, HTTPServerRequest& request, HTTPServerResponse& response) {
  const std::uint64_t fencing = std::stoull("0" + request.get("Chestnut-Fencing-Number", ""));
  if (!app.engine->accept_fencing_number(fencing)) {
    stand_in::send_error(response, 409, "The fencing number is old.");
    return;
  }
  const std::optional<completion_call> call = parse_call(request);
  if (!call) {
    stand_in::send_error(response, 400, "The body has no messages.");
    return;
  }
  if (call->stream) {
    stream_answer(app, *call, response);
  } else {
    send_answer(app, *call, response);
  }
}

void handle_fault(engine_server& app, HTTPServerRequest& request, HTTPServerResponse& response) {
  const Object::Ptr command = stand_in::read_json(request);
  if (command && command->optValue("crash", false)) {
    model_engine::crash();
  }
  if (command && command->optValue("cold", false)) {
    app.engine->reset_to_cold();
  }
  stand_in::send_json(response, 200, std::string("{}"));
}

void handle(engine_server& app, HTTPServerRequest& request, HTTPServerResponse& response) {
  const std::string& path = request.getURI();
  if (path == "/v1/chat/completions") {
    complete(app, request, response);
  } else if (path == "/health") {
    Object health;
    health.set("instance", std::to_string(getpid()));
    stand_in::send_json(response, 200, health);
  } else if (path == "/load") {
    const stand_in::engine_load load = app.engine->reported_load();
    Object report;
    report.set("running", load.running);
    report.set("waiting", load.waiting);
    stand_in::send_json(response, 200, report);
  } else if (path == "/fault") {
    handle_fault(app, request, response);
  } else {
    stand_in::send_error(response, 404, "There is no such path.");
  }
}

}  // namespace

int main(int argc, char** argv) {
  engine_server app;
  stand_in::listen_options listen;
  stand_in::engine_options& engine = app.options;
  const auto done = chestnuthead::handle_command_line(
      argc, argv, "Stands in for a model engine.",
      {{"port", &listen.port, "Port on 127.0.0.1; 0 selects any free port."},
       {"ready-file", &listen.ready_file,
        "File that the address is written to once the port is open."},
       {"name", &engine.name, "Name that answers have as system_fingerprint."},
       {"token-us", &engine.token_us, "Time between tokens if a single request is running."},
       {"batch-slope", &engine.batch_slope,
        "Relative growth of that time with each further running request."},
       {"prefill-tokens-per-ms", &engine.prefill_tokens_per_ms,
        "Prompt tokens processed per millisecond."},
       {"batch", &engine.batch, "Requests that run at once."},
       {"cache-tokens", &engine.cache_tokens, "Size of the prefix cache in tokens."},
       {"cold-requests", &engine.cold_requests,
        "Requests that a cold engine must complete to become warm."},
       {"cold-bears", &engine.cold_request_limit,
        "Requests at once that a cold engine supports; one more crashes it."},
       {"load-lag-ms", &engine.load_lag_ms, "Age of the reported load."},
       {"crash-word", &engine.crash_word, "Exit if a message contains this word."},
       {"check-fencing", &engine.check_fencing, "Refuse old fencing numbers."}});
  if (done) {
    return *done;
  }
  app.engine.emplace(engine);
  return stand_in::serve(listen,
                         [&app](auto& request, auto& response) { handle(app, request, response); });
}
