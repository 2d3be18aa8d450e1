#pragma once

#include "chestnuthead/answer.h"
#include "chestnuthead/gossip.h"
#include "chestnuthead/peer_transport.h"
#include "chestnuthead/request.h"
#include "chestnuthead/timeline.h"

#include "Net/msgpack_fields.h"

/// Writes and reads the fields of each message between nodes in wire order.
/// `put` writes an array and `get` reads one, except for a timestamp, whose
/// fields are placed in the enclosing array.
namespace chestnuthead {

void put(field_writer& out, const hybrid_time& time);
void get(field_reader& in, hybrid_time& time);
void put(field_writer& out, const load_report& load);
void get(field_reader in, load_report& load);
void put(field_writer& out, const request_facts& facts);
void get(field_reader in, request_facts& facts);
void put(field_writer& out, const load_entry& entry);
void get(field_reader in, load_entry& entry);
void put(field_writer& out, const attempt_terms& terms);
void get(field_reader in, attempt_terms& terms);
void put(field_writer& out, const attempt_message& message);
void get(field_reader in, attempt_message& message);
void put(field_writer& out, const probe_message& message);
void get(field_reader in, probe_message& message);
void put(field_writer& out, const rumor& entry);
void get(field_reader in, rumor& entry);
void put(field_writer& out, const configuration_change& change);
void get(field_reader in, configuration_change& change);
void put(field_writer& out, const gossip_message& message);
void get(field_reader in, gossip_message& message);
void put(field_writer& out, const accepted_frame& frame);
void get(field_reader in, accepted_frame& frame);
void put(field_writer& out, const refused_frame& frame);
void get(field_reader in, refused_frame& frame);
void put(field_writer& out, const answer_head& frame);
void get(field_reader in, answer_head& frame);
void put(field_writer& out, const answer_chunk& frame);
void get(field_reader in, answer_chunk& frame);
void put(field_writer& out, const answer_tail& frame);
void get(field_reader in, answer_tail& frame);
void put(field_writer& out, const ended_frame& frame);
void get(field_reader in, ended_frame& frame);

}  // namespace chestnuthead
