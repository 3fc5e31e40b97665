package org.persimmonrelay.experiment.laws

import org.junit.jupiter.api.Tag
import kotlin.test.Test
import kotlin.test.assertNull

/** Schedules in which a withdrawn key was once accepted for too long, with their cause. */
class KeyFreshnessSeedsTest {
    @Test
    @Tag("known-red")
    fun `a lost poll right before a withdrawal does not delay it past its limit`() {
        assertNull(KeyFreshnessLaw.explain(1200))
    }
}
