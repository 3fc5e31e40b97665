package org.persimmonrelay.once

import org.persimmonrelay.timeline.EventCode

/** Events of calls that may not be repeated. */
public enum class OnceEvent(override val number: Int, override val summary: String) : EventCode {
    CLAIM_REFUSED(1600, "A call was not run, because its claim could not be stored; check the table service."),
    REPLAYED(1601, "A repeated call got its recorded answer."),
    OUTCOME_UNKNOWN(1602, "A call may have run without a known outcome; its caller has to find out."),
    KEY_REUSED(1603, "An idempotency key came again with another body and was refused."),
    OUTCOME_RECORDED_LATE(1604, "An outcome was recorded only after retries; the table service had trouble."),
    EXPIRED_CLAIMS_REMOVED(1605, "Claims older than the retention were removed."),
}
