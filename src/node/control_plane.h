#pragma once

/**
 * @file
 * The replicated control state of one instance.
 */

#include "fescuestream/catalogue/state.h"
#include "fescuestream/replication/replicated.h"

namespace fescue::node {

/** Adapts the control state to replication::state_machine. */
struct catalogue_state_machine {
    using state_type = catalogue::control_state;
    using command_type = catalogue::command;
    using outcome_type = catalogue::apply_result;

    static std::string encode(const command_type& cmd) { return catalogue::encode(cmd); }
    static result<command_type> decode(const std::string& bytes)
    {
        return catalogue::decode(bytes);
    }
    static std::string encode_state(const state_type& s) { return catalogue::encode_state(s); }
    static result<state_type> decode_state(const std::string& bytes)
    {
        return catalogue::decode_state(bytes);
    }
    static outcome_type apply(state_type& s, log_index index, const command_type& cmd)
    {
        return catalogue::apply(s, index, cmd);
    }
    static command_type no_operation_command() { return catalogue::no_operation{}; }
};

using apply_outcome = result<catalogue::apply_result>;
using control_plane = replication::replicated<catalogue_state_machine>;
using control_events = replication::replicated_events<catalogue_state_machine>;

} // namespace fescue::node
