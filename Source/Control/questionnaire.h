#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/configuration.h"
#include "chestnuthead/ids.h"

/// The questionnaire from which a configuration is generated, and its answers.
namespace chestnuthead {

/// Answers about one model or plain service.
struct service_answers {
  pool_id name;
  pool_kind kind = pool_kind::model_engine;
  std::uint32_t replicas = 1;
  /// Concurrent requests of one warm replica.
  std::uint32_t requests_at_once = 16;
  /// Concurrent requests that one replica supports just after its start.
  std::uint32_t requests_at_once_cold = 2;
  std::chrono::seconds longest_answer{60};
  std::uint32_t largest_request_kb = 1024;
  bool checks_fencing = false;
  /// Calls of a plain service, each as "METHOD /path". Calls in neither list are
  /// treated as at-most-once.
  std::vector<std::string> idempotent_calls;
  std::vector<std::string> at_most_once_calls;
  std::chrono::hours keys_kept{24};
};

enum class customer_size : std::uint8_t { small, medium, large };

struct customer_answers {
  customer_id name;
  customer_size size = customer_size::medium;
};

/// Weight of each goal of the policy, from 1 to 5.
struct policy_weights {
  std::uint32_t cache_reuse = 3;
  std::uint32_t control_traffic = 3;
  std::uint32_t skew = 3;
  std::uint32_t failure_domain_moves = 3;
};

struct questionnaire_answers {
  std::string organisation;
  std::vector<failure_domain_id> failure_domains;
  /// VMs that run a router.
  std::uint32_t routers = 2;
  std::vector<service_answers> services;
  std::vector<customer_answers> customers;
  policy_weights weights;
};

using answers_result = std::variant<questionnaire_answers, std::vector<settings_fault>>;

/// Parses answers from JSON and reports all faults at once. Keys that begin with an
/// underscore are notes for people and are ignored.
answers_result parse_answers(const std::string& text);

/// The questionnaire as JSON without answers, with a note for each question.
std::string empty_form();

}  // namespace chestnuthead
