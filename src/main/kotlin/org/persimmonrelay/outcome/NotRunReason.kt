package org.persimmonrelay.outcome

/** Why a request was refused before it was run, with the HTTP status and error code returned to the caller. */
public enum class NotRunReason(public val httpStatus: Int, public val code: String) {
    BAD_REQUEST(400, "invalid_request_error"),
    INVALID_KEY(401, "invalid_api_key"),
    KEY_STATE_UNKNOWN(503, "key_state_unknown"),
    FORBIDDEN(403, "forbidden"),
    UNKNOWN_MODEL(404, "model_not_found"),
    UNKNOWN_ROUTE(404, "route_not_found"),
    PROMPT_TOO_LONG(400, "context_length_exceeded"),
    REQUEST_TIMEOUT(408, "request_timeout"),
    BODY_TOO_LARGE(413, "body_too_large"),
    WORKSPACE_LIMIT(429, "rate_limit_exceeded"),
    OVERLOADED(503, "overloaded"),
    DEADLINE(503, "deadline_unreachable"),
    NO_SERVER(503, "no_backend_server"),
    PROMPT_QUARANTINED(503, "prompt_quarantined"),
    REQUEST_QUARANTINED(503, "request_quarantined"),
    STORE_UNAVAILABLE(503, "store_unavailable"),
    IDEMPOTENCY_KEY_REUSED(422, "idempotency_key_reused"),
    IN_PROGRESS(409, "idempotent_request_in_progress"),
    NODE_LEAVING(503, "node_leaving"),
}
