/** Help text of each metric; a metric that is missing here shows its name instead. */

export const DESCRIPTIONS: Readonly<Record<string, string>> = {
  nutmegstack_requests_total: 'Requests of callers by outcome and code',
  nutmegstack_requests_in_flight: 'Requests of callers that are not answered yet',
  nutmegstack_request_ms: 'Time from arrival to the end of the answer',
  nutmegstack_queueing_ms: 'Time that requests wait for admission',
  nutmegstack_first_token_ms: 'Time from arrival to the first token',
  nutmegstack_between_tokens_ms: 'Time between two tokens of a stream',
  nutmegstack_attempts_total: 'Attempts sent to backend servers',
  nutmegstack_retries_total: 'Attempts after the first, by what failed before',
  nutmegstack_claims_total: 'Claims of non-repeatable requests by verdict',
  nutmegstack_claim_commit_ms: 'Time of one transaction of claims in the table service',
  nutmegstack_strikes_total: 'Strikes against requests on which a group was lost',
  nutmegstack_quarantined_total: 'Requests refused for the groups they were lost on',
  nutmegstack_group_downtime_seconds_total:
    'Seconds in which wanted replica groups could not serve',
  nutmegstack_stranded_accelerator_seconds_total:
    'Accelerator seconds held by no serving group; without a model: by no group at all',
  nutmegstack_calls_total: 'Requests of callers at the gateway by route and outcome',
  nutmegstack_failed_attempts_total:
    'Sends of the gateway that brought no answer, by how they ended and evidence against the group',
  nutmegstack_streams_not_resumed_total:
    'Streams of the gateway that ended without a whole answer, by what they lacked to go on elsewhere',
  nutmegstack_stream_moves_total:
    'Streams in groups found silent: moved to another group, or kept for what they lacked',
  nutmegstack_crash_strikes_total:
    'Requests of the gateway that were running on a group or server when it ended',
  nutmegstack_quarantined_calls_total:
    'Requests of the gateway refused because servers ended while they ran them, by standing',
  nutmegstack_refused_requests:
    'Requests and parts of prompts that this daemon refuses because they crash servers',
  nutmegstack_forwarded_calls_total: 'Requests forwarded to servers for peers, by outcome',
  nutmegstack_calls_sent_through_peers_total:
    'Requests sent to servers through peers, by outcome of the attempt',
  nutmegstack_blocked_servers: 'Servers that a peer reaches and this daemon does not',
  nutmegstack_cut_off_services: 'Services none of whose servers this daemon reaches itself',
  nutmegstack_request_unread_ms: 'Longest time that a request may have waited before it was read',
  nutmegstack_overload_total:
    'Connections closed unread and requests refused because the daemon gets more than it can serve, by outcome',
  nutmegstack_unanswered_total:
    'Connections of callers closed before the answer was complete, by who closed them and stage of the request',
  nutmegstack_close_delimited_answers_total:
    'Answers of servers that ended with their connection, so that nothing shows whether they are whole, by kind of call',
  nutmegstack_unexpected_errors_total:
    'Errors that no part of the daemon expects, by part; each is logged',
  nutmegstack_malformed_requests_total:
    'Connections of callers that brought what is no request, by code',
  nutmegstack_call_ms: 'Time from arrival to the end of the answer, by kind of call',
  nutmegstack_limited_sends_total: 'Requests sent to servers that named how many they take',
  nutmegstack_cold_sends_total:
    'Requests to cold servers by whether they were sent or held back at the last moment',
  nutmegstack_cold_servers: 'Cold servers that take requests and have a bound on them',
  nutmegstack_refusals_total: 'Requests that belong to no route or organisation, by status',
  nutmegstack_orders_total: 'Orders to members of replica groups by kind and result',
  nutmegstack_member_inspections_total: 'Inspections of the members of stalled groups, by outcome',
  nutmegstack_slow_checks_total: 'Checks of slow groups for slow members, by outcome',
  nutmegstack_slow_reports_total: 'Reports requested to find slow servers',
  nutmegstack_peer_sent_bytes_total: 'Bytes sent to peers, by kind of message',
  nutmegstack_peer_received_bytes_total: 'Bytes received from peers, by kind of message',
  nutmegstack_store_received_bytes_total:
    "Bytes of the store's answers about collections that this daemon follows",
  nutmegstack_config_help_total:
    'Configurations sent to peers that lack them, or held back for want of budget',
  nutmegstack_config_apply_ms:
    'Time from the receipt of a configuration from the store until it is in force',
  nutmegstack_loop_delay_max_ms: 'Longest delay of the event loop in the last whole 10 s',
  nutmegstack_evacuated_zones: 'Zones that the operator evacuated, as far as this daemon knows',
  nutmegstack_reassignments_total:
    'Changes of servers from one model to another by the model that gets them and step',
  nutmegstack_store_eras_total:
    'Newer eras of the store that this daemon saw, the first one included',
  nutmegstack_config_version: 'Version of the configuration in force on this daemon',
  nutmegstack_config_alarms_total: 'Configurations that could not be put in force, by code',
};
