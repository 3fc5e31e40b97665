package org.persimmonrelay.routing

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.ServerId
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class OutlierDetectorTest {
    @Property(seed = "21", tries = 300)
    fun `ejection stays within its share of the pool and leaves a server, whatever fails`(
        @ForAll @IntRange(min = 1, max = 12) servers: Int,
        @ForAll @Size(max = 200) failures: List<
            @IntRange(min = 0, max = 11)
            Int,
            >,
    ) {
        val settings = OutlierSettings()
        val detector = OutlierDetector(settings)
        val pool = (0 until servers).map { ServerId("s$it") }
        detector.setPool(pool.toSet())

        failures.forEachIndexed { index, failed ->
            val now = Moment.ZERO + (index * 10).milliseconds
            detector.failed(ServerId("s${failed % servers}"), now)
            val ejected = pool.count { detector.isEjected(it, now) }
            assertTrue(ejected < servers && ejected <= servers * settings.maxShare)
        }
    }

    @Test
    fun `a server is ejected for some time after several failures in a row`() {
        val detector = OutlierDetector(OutlierSettings())
        detector.setPool((1..4).map { ServerId("s$it") }.toSet())

        repeat(3) { detector.failed(ServerId("s1"), Moment.ZERO) }

        assertTrue(detector.isEjected(ServerId("s1"), Moment.ZERO))
        assertFalse(detector.isEjected(ServerId("s1"), Moment.ZERO + 6.seconds))
    }
}
