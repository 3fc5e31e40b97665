package org.persimmonrelay.once

import org.persimmonrelay.timeline.EventCode

/** Events of idempotent calls. */
public enum class OnceEvent(override val number: Int, override val summary: String) : EventCode {
    CLAIM_REFUSED(1600, "A call was not run, because its claim could not be stored; check the table service."),
    REPLAYED(1601, "A repeated call got its recorded response."),
    OUTCOME_UNKNOWN(1602, "A call may have run and its outcome is unknown; its caller has to check the effect."),
    KEY_REUSED(1603, "An idempotency key was used again with another request and was refused."),
    OUTCOME_RECORDED_LATE(1604, "The outcome of a call was recorded only after retries; check the table service."),
    EXPIRED_CLAIMS_REMOVED(1605, "Claims older than the retention were removed."),
}
