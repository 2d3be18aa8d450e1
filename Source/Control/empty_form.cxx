#include "Control/questionnaire.h"

namespace chestnuthead {

std::string empty_form() {
  return R"({
  "_form": "Fill in every value, rename the two services and the customer, add as many as there are. Keys that begin with an underscore are notes and may stay.",

  "_organisation": "Your organisation, for people who read the configuration.",
  "organisation": "",

  "_failure_domains": "Sets of VMs that may fail or be taken out together, by the names that the platform's VM list uses.",
  "failure_domains": [],

  "_routers": "How many entry VMs run a router.",
  "routers": 0,

  "services": {
    "_services": "One entry for each model and each plain service, under the name that callers use for it.",
    "name-of-a-model": {
      "kind": "model_engine",
      "_replicas": "How many endpoints serve it.",
      "replicas": 0,
      "_requests_at_once": "Requests that one endpoint works on at once when it is warm, and those that it bears just after its start.",
      "requests_at_once": 0,
      "requests_at_once_cold": 0,
      "_longest_answer_s": "Seconds that the longest answer takes; a request that names no deadline gets this one.",
      "longest_answer_s": 0,
      "_largest_request_kb": "Largest body of a request, in kilobytes.",
      "largest_request_kb": 1024,
      "_checks_fencing": "true if the endpoint refuses an order with an old fencing number by itself.",
      "checks_fencing": false
    },
    "name-of-a-plain-service": {
      "kind": "plain_service",
      "replicas": 0,
      "requests_at_once": 0,
      "requests_at_once_cold": 0,
      "longest_answer_s": 0,
      "largest_request_kb": 64,
      "checks_fencing": false,
      "_idempotent_calls": "Calls that may be repeated without harm, as \"GET /orders\"; the longest matching path decides.",
      "idempotent_calls": [],
      "_at_most_once_calls": "Calls that must never run twice, as \"POST /payments\". A call in neither list is treated as one of these.",
      "at_most_once_calls": [],
      "_keys_kept_h": "Hours for which a call's idempotency key is remembered.",
      "keys_kept_h": 24
    }
  },

  "customers": {
    "_customers": "One entry for each customer; its size, small, medium or large, sets its share when the fleet is full.",
    "name-of-a-customer": { "size": "medium" }
  },

  "_weights": "How much you care for each measure, from 1 to 5; the policy is derived from it.",
  "weights": {
    "cache_reuse": 3,
    "control_traffic": 3,
    "skew": 3,
    "failure_domain_moves": 3
  }
}
)";
}

}  // namespace chestnuthead
