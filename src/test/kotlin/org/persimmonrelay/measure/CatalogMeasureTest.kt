package org.persimmonrelay.measure

import org.persimmonrelay.clock.SystemClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CatalogMeasureTest {
    @Test
    fun `slopes are fitted to configurations of three sizes`() {
        val slopes = CatalogMeasure(SystemClock, seed = 1, scales = listOf(0.2, 0.3, 0.4), repeats = 1).run()

        val snapshot = slopes.single { it.name == "snapshot size" }
        assertEquals(listOf(3_600.0, 5_400.0, 7_200.0), snapshot.points.map { it.x })
        assertTrue(snapshot.slope > 0)
        assertEquals(11, slopes.size)
    }
}
