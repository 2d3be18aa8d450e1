#include "Net/peer_fields.h"

#include <vector>

namespace chestnuthead {

namespace {

template <class Entry>
void put_list(field_writer& out, const std::vector<Entry>& entries) {
  out.array(entries.size());
  for (const Entry& entry : entries) {
    put(out, entry);
  }
}

template <class Entry>
void get_list(field_reader in, std::vector<Entry>& entries) {
  while (!in.at_end()) {
    get(in.array(), entries.emplace_back());
  }
}

}  // namespace

void put(field_writer& out, const hybrid_time& time) {
  out.put(time.wall);
  out.put(time.counter);
}

void get(field_reader& in, hybrid_time& time) {
  in.get(time.wall);
  in.get(time.counter);
}

void put(field_writer& out, const load_report& load) {
  out.array(6);
  out.put(load.in_flight);
  out.put(load.limit);
  out.put(load.pool_mean);
  out.put(load.resident_tokens);
  out.put(load.configuration_version);
  out.put(load.leaving);
}

void get(field_reader in, load_report& load) {
  in.get(load.in_flight);
  in.get(load.limit);
  in.get(load.pool_mean);
  in.get(load.resident_tokens);
  in.get(load.configuration_version);
  in.get(load.leaving);
}

void put(field_writer& out, const request_facts& facts) {
  out.array(11);
  out.put(facts.request);
  out.put(facts.customer);
  out.put(facts.pool);
  out.put(facts.chat);
  out.put(facts.importance);
  out.put(facts.rule);
  out.put(facts.key);
  out.put(facts.fingerprint);
  out.put(facts.prompt_tokens);
  out.put(facts.answer_tokens);
  out.put(facts.returning);
}

void get(field_reader in, request_facts& facts) {
  in.get(facts.request);
  in.get(facts.customer);
  in.get(facts.pool);
  in.get(facts.chat);
  in.get(facts.importance, request_class::long_plan);
  in.get(facts.rule, execution_rule::at_most_once);
  in.get(facts.key);
  in.get(facts.fingerprint);
  in.get(facts.prompt_tokens);
  in.get(facts.answer_tokens);
  in.get(facts.returning);
}

void put(field_writer& out, const load_entry& entry) {
  out.array(4);
  out.put(entry.endpoint);
  out.put(entry.in_flight);
  out.put(entry.limit);
  out.put(entry.age);
}

void get(field_reader in, load_entry& entry) {
  in.get(entry.endpoint);
  in.get(entry.in_flight);
  in.get(entry.limit);
  in.get(entry.age);
}

void put(field_writer& out, const attempt_terms& terms) {
  out.array(5);
  out.put(terms.only_if_resident);
  out.put(terms.ignore_mean);
  out.put(terms.resume_offset);
  out.put(terms.earlier_attempts);
  put_list(out, terms.refused_loads);
}

void get(field_reader in, attempt_terms& terms) {
  in.get(terms.only_if_resident);
  in.get(terms.ignore_mean);
  in.get(terms.resume_offset);
  in.get(terms.earlier_attempts);
  get_list(in.array(), terms.refused_loads);
}

void put(field_writer& out, const attempt_message& message) {
  out.array(9);
  put(out, message.facts);
  out.put(message.attempt);
  put(out, message.terms);
  out.put(message.router);
  out.put(message.time_left);
  out.put(message.configuration_version);
  out.put(message.method);
  out.put(message.path);
  out.put(message.content_type);
}

void get(field_reader in, attempt_message& message) {
  get(in.array(), message.facts);
  in.get(message.attempt);
  get(in.array(), message.terms);
  in.get(message.router);
  in.get(message.time_left);
  in.get(message.configuration_version);
  in.get(message.method);
  in.get(message.path);
  in.get(message.content_type);
}

void put(field_writer& out, const probe_message& message) {
  out.array(3);
  out.put(message.request);
  out.put(message.router);
  out.put(message.chat);
}

void get(field_reader in, probe_message& message) {
  in.get(message.request);
  in.get(message.router);
  in.get(message.chat);
}

void put(field_writer& out, const rumor& entry) {
  out.array(6);
  out.put(entry.kind);
  out.put(entry.origin);
  out.put(entry.sequence);
  out.put(entry.subject);
  out.put(entry.detail);
  out.put(entry.age);
}

void get(field_reader in, rumor& entry) {
  in.get(entry.kind, rumor_kind::request_crashed);
  in.get(entry.origin);
  in.get(entry.sequence);
  in.get(entry.subject);
  in.get(entry.detail);
  in.get(entry.age);
}

void put(field_writer& out, const configuration_change& change) {
  out.array(5);
  out.put(change.version);
  out.put(change.whole);
  out.put(change.text);
  out.put(change.base_version);
  out.put(change.checksum);
}

void get(field_reader in, configuration_change& change) {
  in.get(change.version);
  in.get(change.whole);
  in.get(change.text);
  in.get(change.base_version);
  in.get(change.checksum);
}

void put(field_writer& out, const gossip_message& message) {
  out.array(7);
  out.put(message.from);
  out.put(message.configuration_version);
  out.put(message.wants_reply);
  put_list(out, message.rumors);
  put_list(out, message.loads);
  put_list(out, message.changes);
  out.put(message.wants_all);
}

void get(field_reader in, gossip_message& message) {
  in.get(message.from);
  in.get(message.configuration_version);
  in.get(message.wants_reply);
  get_list(in.array(), message.rumors);
  get_list(in.array(), message.loads);
  get_list(in.array(), message.changes);
  in.get(message.wants_all);
}

void put(field_writer& out, const accepted_frame& frame) {
  out.array(3);
  out.put(frame.request);
  out.put(frame.attempt);
  put(out, frame.load);
}

void get(field_reader in, accepted_frame& frame) {
  in.get(frame.request);
  in.get(frame.attempt);
  get(in.array(), frame.load);
}

void put(field_writer& out, const refused_frame& frame) {
  out.array(5);
  out.put(frame.request);
  out.put(frame.attempt);
  out.put(frame.why);
  out.put(frame.retry_after);
  put(out, frame.load);
}

void get(field_reader in, refused_frame& frame) {
  in.get(frame.request);
  in.get(frame.attempt);
  in.get(frame.why, refusal_kind::crashed_here);
  in.get(frame.retry_after);
  get(in.array(), frame.load);
}

void put(field_writer& out, const answer_head& frame) {
  out.array(6);
  out.put(frame.request);
  out.put(frame.attempt);
  out.put(frame.status);
  out.put(frame.content_type);
  out.put(frame.offset);
  out.put(frame.checksum_before);
}

void get(field_reader in, answer_head& frame) {
  in.get(frame.request);
  in.get(frame.attempt);
  in.get(frame.status);
  in.get(frame.content_type);
  in.get(frame.offset);
  in.get(frame.checksum_before);
  constexpr int lowest_status = 100;
  constexpr int highest_status = 999;
  if (frame.status < lowest_status || frame.status > highest_status) {
    throw msgpack::type_error();
  }
}

void put(field_writer& out, const answer_chunk& frame) {
  out.array(4);
  out.put(frame.request);
  out.put(frame.attempt);
  out.put(frame.offset);
  out.put_bytes(frame.bytes);
}

void get(field_reader in, answer_chunk& frame) {
  in.get(frame.request);
  in.get(frame.attempt);
  in.get(frame.offset);
  in.get(frame.bytes);
}

void put(field_writer& out, const answer_tail& frame) {
  out.array(4);
  out.put(frame.request);
  out.put(frame.attempt);
  out.put(frame.length);
  out.put(frame.checksum);
}

void get(field_reader in, answer_tail& frame) {
  in.get(frame.request);
  in.get(frame.attempt);
  in.get(frame.length);
  in.get(frame.checksum);
}

void put(field_writer& out, const ended_frame& frame) {
  out.array(4);
  out.put(frame.request);
  out.put(frame.attempt);
  out.put(frame.outcome);
  put(out, frame.load);
}

void get(field_reader in, ended_frame& frame) {
  in.get(frame.request);
  in.get(frame.attempt);
  in.get(frame.outcome, attempt_outcome::outcome_unknown);
  get(in.array(), frame.load);
}

}  // namespace chestnuthead
