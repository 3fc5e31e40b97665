package org.persimmonrelay.measure

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class MeasureSuiteTest {
    private val exact = listOf(MeasurePoint(1.0, 5.0), MeasurePoint(2.0, 7.0), MeasurePoint(3.0, 9.0))

    @Test
    fun `a line is found with its spread`() {
        val slope = Slope.fit("state", "bytes", "peer", exact)
        val noisy = Slope.fit("state", "bytes", "peer", exact + MeasurePoint(3.0, 12.0))

        assertEquals(2.0, slope.slope, TINY)
        assertEquals(23.0, slope.at(10.0), TINY)
        assertEquals(0.0, slope.spread, TINY)
        assertTrue(noisy.spread > 0.1)
    }

    @Test
    fun `two sizes are not enough`() {
        assertFailsWith<IllegalArgumentException> { Slope.fit("state", "bytes", "peer", exact.take(2) + exact.first()) }
    }

    @Test
    fun `only the chosen measures run and unknown ones are refused`() {
        val suite = MeasureSuite(listOf(fixed("one"), fixed("two")))

        assertEquals(listOf("two"), suite.run(setOf("two")).slopes.map { it.name })
        assertEquals(2, suite.run().slopes.size)
        assertFailsWith<IllegalArgumentException> { suite.run(setOf("three")) }
    }

    @Test
    fun `a small mesh is measured and reported as table and JSON`() {
        val report = MeasureSuite(listOf(MeshMeasure(listOf(3, 5, 7)))).run()

        assertTrue(report.slopes.all { slope -> slope.points.all { it.y > 0 } })
        assertTrue("membership bytes per node" in report.toTable())
        assertTrue("\"spread\"" in report.toJson())
    }

    private fun fixed(measure: String) = object : Measure {
        override val name = measure

        override fun run() = listOf(Slope.fit(measure, "bytes", "peer", exact))
    }

    private companion object {
        const val TINY = 1e-9
    }
}
